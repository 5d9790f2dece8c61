package maintenance

const (
	// tolerance absorbs rounding errors in comparisons of fractions and weights.
	tolerance = 1e-9
	// noShard is the shard, and noReplicaLimit the number of replicas, at a ring position that holds no shard.
	noShard        = -1
	noReplicaLimit = 1 << 30
)

// outages counts what is out of service. Its totals are of all machines, whether out or not. Adding and removing a
// machine costs time in proportion to its stores.
type outages struct {
	layout *Layout
	rules  Rules
	// load is the fraction of the weight of all stores that is in use; 0 is unknown.
	load float64

	totalStores       int
	totalWeight       float64
	totalStoresByZone map[string]int
	totalMembers      int
	totalVoters       int

	machines        map[string]bool // whether the machine of a name is out
	healthyStores   []int           // by ring position
	stores          int
	weight          float64
	storesByZone    map[string]int
	members         int
	voters          int
	machinesByPair  map[string]int
	lastDrainByKind map[string]Micros // the last start of a drain of a machine of a kind
}

// newOutages returns the counts while nothing is out.
func newOutages(layout *Layout, rules Rules, load float64) *outages {
	o := &outages{
		layout:            layout,
		rules:             rules,
		load:              load,
		totalStoresByZone: map[string]int{},
		machines:          map[string]bool{},
		healthyStores:     make([]int, layout.RingSize),
		storesByZone:      map[string]int{},
		machinesByPair:    map[string]int{},
		lastDrainByKind:   map[string]Micros{},
	}
	for i := range layout.Machines {
		machine := &layout.Machines[i]
		for _, store := range machine.Stores {
			o.healthyStores[store.RingPosition]++
			o.totalStores++
			o.totalWeight += store.Weight
			o.totalStoresByZone[machine.Zone]++
		}
		if machine.Member {
			o.totalMembers++
		}
		if machine.Voter {
			o.totalVoters++
		}
	}
	return o
}

// setOut records that a machine is out or back in service. It does nothing if the machine is nil.
func (o *outages) setOut(machine *Machine, out bool) {
	if machine == nil || o.machines[machine.Name] == out {
		return
	}
	delta := 1
	if !out {
		delta = -1
	}
	o.machines[machine.Name] = out
	for _, store := range machine.Stores {
		o.healthyStores[store.RingPosition] -= delta
		o.stores += delta
		o.weight += float64(delta) * store.Weight
		o.storesByZone[machine.Zone] += delta
	}
	if machine.Member {
		o.members += delta
	}
	if machine.Voter {
		o.voters += delta
	}
	if machine.ExclusionGroup != "" {
		o.machinesByPair[machine.ExclusionGroup] += delta
	}
}

// startDrain records that the drain of a machine starts.
func (o *outages) startDrain(machine *Machine, now Micros) {
	o.setOut(machine, true)
	o.lastDrainByKind[machine.Type] = now
}

// healthyReplicas returns how many healthy stores hold a shard.
func (o *outages) healthyReplicas(shard int) int {
	replicas := 0
	for i := range o.layout.ReplicationFactor {
		replicas += o.healthyStores[(shard+i)%o.layout.RingSize]
	}
	return replicas
}

// weakestShard returns the shard with the fewest healthy replicas that the stores at a ring position hold, and their
// number.
func (o *outages) weakestShard(position int) (shard, replicas int) {
	shard = noShard
	replicas = noReplicaLimit
	for i := range o.layout.ReplicationFactor {
		candidate := o.layout.wrap(position - i)
		if candidate >= o.layout.Shards {
			continue
		}
		// The shards candidate, candidate + RingSize and so on have the same replicas.
		if healthy := o.healthyReplicas(candidate); healthy < replicas {
			shard = candidate
			replicas = healthy
		}
	}
	return shard, replicas
}

// violation returns the rule that forbids to take a machine out in addition to what is out, other than by time, or nil.
// While a rule is violated already, it forbids what would make it worse, and nothing else.
func (o *outages) violation(machine *Machine) *RuleViolation {
	if o.machines[machine.Name] {
		return nil // it is out already: nothing gets worse
	}
	o.setOut(machine, true)
	defer o.setOut(machine, false)
	if violation := o.storeViolation(machine); violation != nil {
		return violation
	}
	if machine.Member && exceeds(o.members, o.totalMembers, o.rules.MaxUnavailableMemberFraction) {
		return violationf(RuleMembers, "%d of %d members of the fleet would be out", o.members, o.totalMembers)
	}
	if len(machine.Stores) > 0 && o.isOverloaded() {
		return violationf(RuleLoad, "the load of %.2f would be %.2f of what remains", o.load, o.remainingLoad())
	}
	if remaining := o.totalVoters - o.voters; machine.Voter && 2*remaining <= o.totalVoters {
		return violationf(RuleVoters, "%d of %d voters would remain", remaining, o.totalVoters)
	}
	if machine.ExclusionGroup != "" && o.machinesByPair[machine.ExclusionGroup] > 1 {
		return violationf(RuleExclusionGroup, "another of the pair %s is out", machine.ExclusionGroup)
	}
	return nil
}

// storeViolation returns the violated rule on replicas and stores after a machine was taken out, or nil.
func (o *outages) storeViolation(machine *Machine) *RuleViolation {
	if len(machine.Stores) == 0 {
		return nil
	}
	required := o.rules.requiredReplicas()
	for _, store := range machine.Stores {
		shard, replicas := o.weakestShard(store.RingPosition)
		if shard != noShard && replicas < required {
			return violationf(RuleReplicas, "shard %d would have %d sound replicas of %d", shard, replicas, required)
		}
	}
	if exceeds(o.stores, o.totalStores, o.rules.MaxUnavailableStoreFraction) {
		return violationf(RuleStores, "%d of %d stores would be out", o.stores, o.totalStores)
	}
	othersOut := o.stores > len(machine.Stores) // the fraction always allows one machine
	if o.rules.MaxUnavailableWeightFraction > 0 && othersOut && o.weight > o.rules.MaxUnavailableWeightFraction*o.totalWeight+tolerance {
		return violationf(RuleWeight, "%.0f of %.0f of the stores' weight would be out", o.weight, o.totalWeight)
	}
	out, total := o.storesByZone[machine.Zone], o.totalStoresByZone[machine.Zone]
	if exceeds(out, total, o.rules.MaxUnavailableZoneFraction) {
		return violationf(RuleZone, "%d of %d stores of zone %s would be out", out, total, machine.Zone)
	}
	return nil
}

// isOverloaded reports whether the load of the remaining stores exceeds the limit.
func (o *outages) isOverloaded() bool {
	if o.rules.MaxLoad <= 0 || o.load <= 0 {
		return false
	}
	return o.load*o.totalWeight > o.rules.MaxLoad*(o.totalWeight-o.weight)+tolerance
}

// remainingLoad returns the load of the remaining stores.
func (o *outages) remainingLoad() float64 {
	return o.load * o.totalWeight / max(tolerance, o.totalWeight-o.weight)
}

// exceeds reports whether a count exceeds a fraction of a total. A fraction always allows one; 0 allows all.
func exceeds(count, total int, fraction float64) bool {
	return fraction > 0 && count > 1 && float64(count) > fraction*float64(total)+tolerance
}

// earliestDrain returns the first time from now on at which the rules on time allow the drain of a machine to start, and
// the rule that delays it until then. It returns noTime if there is none.
func (o *outages) earliestDrain(machine *Machine, now Micros) (at Micros, rule Rule) {
	at = now
	last, drained := o.lastDrainByKind[machine.Type]
	if spaced := last + o.rules.DrainSpacing; drained && o.rules.DrainSpacing > 0 && spaced > at {
		at = spaced
		rule = RuleSpacing
	}
	open, ok := o.rules.nextOpen(at)
	if !ok {
		return noTime, RuleTimeWindow
	}
	if open != at {
		return open, RuleTimeWindow
	}
	return at, rule
}
