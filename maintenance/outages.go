package maintenance

const (
	// tolerance absorbs rounding errors in comparisons of fractions and weights.
	tolerance = 1e-9
	// noShard and noReplicaLimit stand for the shard and its number of replicas at a ring position that holds no shard.
	noShard        = -1
	noReplicaLimit = 1 << 30
)

// outageCounts counts what is unavailable. The totals include all machines, available or not. Adding or removing a
// machine takes time proportional to the number of its stores.
type outageCounts struct {
	layout *Layout
	rules  Rules
	// load is the fraction of the total store weight that is in use; 0 if unknown.
	load float64

	totalStores       int
	totalWeight       float64
	totalStoresByZone map[string]int
	totalMembers      int
	totalVoters       int

	unavailableMachines         map[string]bool // by name
	availableStores             []int           // by ring position
	unavailableStores           int
	unavailableWeight           float64
	unavailableStoresByZone     map[string]int
	unavailableMembers          int
	unavailableVoters           int
	unavailableByExclusionGroup map[string]int
	lastDrainStartByType        map[string]Micros
}

// newOutageCounts returns the counts while everything is available.
func newOutageCounts(layout *Layout, rules Rules, load float64) *outageCounts {
	o := &outageCounts{
		layout:                      layout,
		rules:                       rules,
		load:                        load,
		totalStoresByZone:           map[string]int{},
		unavailableMachines:         map[string]bool{},
		availableStores:             make([]int, layout.RingSize),
		unavailableStoresByZone:     map[string]int{},
		unavailableByExclusionGroup: map[string]int{},
		lastDrainStartByType:        map[string]Micros{},
	}
	for i := range layout.Machines {
		machine := &layout.Machines[i]
		for _, store := range machine.Stores {
			o.availableStores[store.RingPosition]++
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

// setUnavailable records that a machine is unavailable, or available again. It does nothing if the machine is nil.
func (o *outageCounts) setUnavailable(machine *Machine, unavailable bool) {
	if machine == nil || o.unavailableMachines[machine.Name] == unavailable {
		return
	}
	delta := 1
	if !unavailable {
		delta = -1
	}
	o.unavailableMachines[machine.Name] = unavailable
	for _, store := range machine.Stores {
		o.availableStores[store.RingPosition] -= delta
		o.unavailableStores += delta
		o.unavailableWeight += float64(delta) * store.Weight
		o.unavailableStoresByZone[machine.Zone] += delta
	}
	if machine.Member {
		o.unavailableMembers += delta
	}
	if machine.Voter {
		o.unavailableVoters += delta
	}
	if machine.ExclusionGroup != "" {
		o.unavailableByExclusionGroup[machine.ExclusionGroup] += delta
	}
}

// startDrain records that the drain of a machine starts.
func (o *outageCounts) startDrain(machine *Machine, now Micros) {
	o.setUnavailable(machine, true)
	o.lastDrainStartByType[machine.Type] = now
}

// availableReplicas returns the number of available stores that hold a shard.
func (o *outageCounts) availableReplicas(shard int) int {
	replicas := 0
	for i := range o.layout.ReplicationFactor {
		replicas += o.availableStores[(shard+i)%o.layout.RingSize]
	}
	return replicas
}

// leastReplicatedShard returns the shard with the fewest available replicas of those that the stores at a ring position
// hold, and the number of these replicas. It returns noShard and noReplicaLimit if the stores hold no shard.
func (o *outageCounts) leastReplicatedShard(position int) (shard, replicas int) {
	shard = noShard
	replicas = noReplicaLimit
	for i := range o.layout.ReplicationFactor {
		candidate := o.layout.wrap(position - i)
		if candidate >= o.layout.Shards {
			continue
		}
		// The shards candidate, candidate + RingSize and so on are held by the same stores.
		if available := o.availableReplicas(candidate); available < replicas {
			shard = candidate
			replicas = available
		}
	}
	return shard, replicas
}

// violationIfUnavailable returns the rule violation that would result if a machine became unavailable as well, or nil.
// It does not check the rules on time. A rule that is already violated forbids only what makes the violation worse.
func (o *outageCounts) violationIfUnavailable(machine *Machine) *RuleViolation {
	if o.unavailableMachines[machine.Name] {
		return nil // already unavailable: no violation gets worse
	}
	o.setUnavailable(machine, true)
	defer o.setUnavailable(machine, false)
	if violation := o.storeViolation(machine); violation != nil {
		return violation
	}
	if machine.Member && exceedsFraction(o.unavailableMembers, o.totalMembers, o.rules.MaxUnavailableMemberFraction) {
		return violationf(RuleMembers, "%d of %d members would be unavailable", o.unavailableMembers, o.totalMembers)
	}
	if len(machine.Stores) > 0 && o.isOverloaded() {
		return violationf(RuleLoad, "the load of %.2f would rise to %.2f on the remaining stores", o.load, o.remainingLoad())
	}
	if remaining := o.totalVoters - o.unavailableVoters; machine.Voter && 2*remaining <= o.totalVoters {
		return violationf(RuleVoters, "%d of %d voters would remain, which is not a majority", remaining, o.totalVoters)
	}
	if machine.ExclusionGroup != "" && o.unavailableByExclusionGroup[machine.ExclusionGroup] > 1 {
		return violationf(RuleExclusionGroup, "another machine of pair %s is unavailable", machine.ExclusionGroup)
	}
	return nil
}

// storeViolation returns the violation of a rule on replicas or stores, or nil. The machine must be recorded as
// unavailable.
func (o *outageCounts) storeViolation(machine *Machine) *RuleViolation {
	if len(machine.Stores) == 0 {
		return nil
	}
	required := o.rules.requiredReplicas()
	for _, store := range machine.Stores {
		shard, replicas := o.leastReplicatedShard(store.RingPosition)
		if shard != noShard && replicas < required {
			return violationf(RuleReplicas, "shard %d would have %d available replicas, but needs %d", shard, replicas, required)
		}
	}
	if exceedsFraction(o.unavailableStores, o.totalStores, o.rules.MaxUnavailableStoreFraction) {
		return violationf(RuleStores, "%d of %d stores would be unavailable", o.unavailableStores, o.totalStores)
	}
	othersUnavailable := o.unavailableStores > len(machine.Stores) // the fraction always allows one machine
	if o.rules.MaxUnavailableWeightFraction > 0 && othersUnavailable && o.unavailableWeight > o.rules.MaxUnavailableWeightFraction*o.totalWeight+tolerance {
		return violationf(RuleWeight, "weight %.0f of a total store weight of %.0f would be unavailable", o.unavailableWeight, o.totalWeight)
	}
	unavailable, total := o.unavailableStoresByZone[machine.Zone], o.totalStoresByZone[machine.Zone]
	if exceedsFraction(unavailable, total, o.rules.MaxUnavailableZoneFraction) {
		return violationf(RuleZone, "%d of %d stores of zone %s would be unavailable", unavailable, total, machine.Zone)
	}
	return nil
}

// isOverloaded reports whether the load of the remaining stores exceeds the limit.
func (o *outageCounts) isOverloaded() bool {
	if o.rules.MaxLoad <= 0 || o.load <= 0 {
		return false
	}
	return o.load*o.totalWeight > o.rules.MaxLoad*(o.totalWeight-o.unavailableWeight)+tolerance
}

// remainingLoad returns the load of the remaining stores.
func (o *outageCounts) remainingLoad() float64 {
	return o.load * o.totalWeight / max(tolerance, o.totalWeight-o.unavailableWeight)
}

// exceedsFraction reports whether a count exceeds a fraction of a total. A count of 1 never does, and a fraction of 0
// is no limit.
func exceedsFraction(count, total int, fraction float64) bool {
	return fraction > 0 && count > 1 && float64(count) > fraction*float64(total)+tolerance
}

// earliestDrainStart returns the first time, now or later, at which the rules on time allow the drain of a machine to
// start, and the rule that delays it until then. It returns noTime if there is no such time.
func (o *outageCounts) earliestDrainStart(machine *Machine, now Micros) (start Micros, rule Rule) {
	start = now
	lastStart, found := o.lastDrainStartByType[machine.Type]
	if spacingEnd := lastStart + o.rules.DrainSpacing; found && o.rules.DrainSpacing > 0 && spacingEnd > start {
		start = spacingEnd
		rule = RuleSpacing
	}
	openTime, ok := o.rules.nextOpenTime(start)
	if !ok {
		return noTime, RuleTimeWindow
	}
	if openTime != start {
		return openTime, RuleTimeWindow
	}
	return start, rule
}
