package maintenance

const (
	// tolerance absorbs rounding errors in comparisons of fractions and weights, and avoids a division by zero in
	// remainingLoad.
	tolerance = 1e-9
	// noShard and unlimitedReplicas are the results of leastReplicatedShard for a ring position that holds no shard.
	noShard           = -1
	unlimitedReplicas = 1 << 30
)

// availabilityTracker counts what is unavailable, and checks the rules against these counts. The totals include all
// machines, available or not. Recording a machine as unavailable or available takes time proportional to the number of
// its stores.
type availabilityTracker struct {
	layout *Layout
	rules  Rules
	// load is the load of all stores as a ratio of the total store weight; 0 if unknown.
	load float64

	totalStores       int
	totalWeight       float64
	totalStoresByZone map[string]int
	totalMembers      int
	totalVoters       int

	unavailableMachines         map[string]bool // by name
	availableStoresByPosition   []int           // by ring position
	unavailableStores           int
	unavailableWeight           float64
	unavailableStoresByZone     map[string]int
	unavailableMembers          int
	unavailableVoters           int
	unavailableByExclusionGroup map[string]int
	lastDrainStartByType        map[string]Micros
}

// newAvailabilityTracker returns a tracker in which all machines are available.
func newAvailabilityTracker(layout *Layout, rules Rules, load float64) *availabilityTracker {
	t := &availabilityTracker{
		layout:                      layout,
		rules:                       rules,
		load:                        load,
		totalStoresByZone:           map[string]int{},
		unavailableMachines:         map[string]bool{},
		availableStoresByPosition:   make([]int, layout.RingSize),
		unavailableStoresByZone:     map[string]int{},
		unavailableByExclusionGroup: map[string]int{},
		lastDrainStartByType:        map[string]Micros{},
	}
	for i := range layout.Machines {
		machine := &layout.Machines[i]
		for _, store := range machine.Stores {
			t.availableStoresByPosition[store.RingPosition]++
			t.totalStores++
			t.totalWeight += store.Weight
			t.totalStoresByZone[machine.Zone]++
		}
		if machine.Member {
			t.totalMembers++
		}
		if machine.Voter {
			t.totalVoters++
		}
	}
	return t
}

// setUnavailable records that a machine is unavailable, or available again. It does nothing if the machine is nil.
func (t *availabilityTracker) setUnavailable(machine *Machine, unavailable bool) {
	if machine == nil || t.unavailableMachines[machine.Name] == unavailable {
		return
	}
	delta := 1
	if !unavailable {
		delta = -1
	}
	t.unavailableMachines[machine.Name] = unavailable
	for _, store := range machine.Stores {
		t.availableStoresByPosition[store.RingPosition] -= delta
		t.unavailableStores += delta
		t.unavailableWeight += float64(delta) * store.Weight
		t.unavailableStoresByZone[machine.Zone] += delta
	}
	if machine.Member {
		t.unavailableMembers += delta
	}
	if machine.Voter {
		t.unavailableVoters += delta
	}
	if machine.ExclusionGroup != "" {
		t.unavailableByExclusionGroup[machine.ExclusionGroup] += delta
	}
}

// startDrain records that the drain of a machine starts.
func (t *availabilityTracker) startDrain(machine *Machine, now Micros) {
	t.setUnavailable(machine, true)
	t.lastDrainStartByType[machine.Type] = now
}

// availableReplicas returns the number of available stores that hold a shard.
func (t *availabilityTracker) availableReplicas(shard int) int {
	replicas := 0
	for i := range t.layout.ReplicationFactor {
		replicas += t.availableStoresByPosition[(shard+i)%t.layout.RingSize]
	}
	return replicas
}

// leastReplicatedShard returns the shard with the fewest available replicas of those that the stores at a ring position
// hold, and the number of these replicas. It returns noShard and unlimitedReplicas if the stores hold no shard.
func (t *availabilityTracker) leastReplicatedShard(position int) (shard, replicas int) {
	shard = noShard
	replicas = unlimitedReplicas
	for i := range t.layout.ReplicationFactor {
		candidate := t.layout.wrap(position - i)
		if candidate >= t.layout.Shards {
			continue
		}
		// The shards candidate, candidate + RingSize and so on are held by the same stores.
		if available := t.availableReplicas(candidate); available < replicas {
			shard = candidate
			replicas = available
		}
	}
	return shard, replicas
}

// violationIfUnavailable returns the rule violation that would result if a machine became unavailable as well, or nil.
// It does not check the rules on time. A rule that is already violated forbids only what makes the violation worse.
func (t *availabilityTracker) violationIfUnavailable(machine *Machine) *RuleViolation {
	if t.unavailableMachines[machine.Name] {
		return nil // already unavailable: no violation gets worse
	}
	t.setUnavailable(machine, true)
	defer t.setUnavailable(machine, false)
	if violation := t.storeViolation(machine); violation != nil {
		return violation
	}
	if machine.Member && exceedsFraction(t.unavailableMembers, t.totalMembers, t.rules.MaxUnavailableMemberFraction) {
		return violationf(RuleMembers, "%d of %d members would be unavailable", t.unavailableMembers, t.totalMembers)
	}
	if len(machine.Stores) > 0 && t.isOverloaded() {
		return violationf(RuleLoad, "the load of %.2f would rise to %.2f on the remaining stores", t.load, t.remainingLoad())
	}
	if remaining := t.totalVoters - t.unavailableVoters; machine.Voter && 2*remaining <= t.totalVoters {
		return violationf(RuleVoters, "%d of %d voters would remain, which is not a majority", remaining, t.totalVoters)
	}
	if machine.ExclusionGroup != "" && t.unavailableByExclusionGroup[machine.ExclusionGroup] > 1 {
		return violationf(RuleExclusionGroup, "another machine of pair %s is unavailable", machine.ExclusionGroup)
	}
	return nil
}

// storeViolation returns the violation of a rule on replicas, stores, store weight or zones, or nil. The machine must
// be recorded as unavailable.
func (t *availabilityTracker) storeViolation(machine *Machine) *RuleViolation {
	if len(machine.Stores) == 0 {
		return nil
	}
	required := t.rules.requiredReplicas()
	for _, store := range machine.Stores {
		shard, replicas := t.leastReplicatedShard(store.RingPosition)
		if shard != noShard && replicas < required {
			return violationf(RuleReplicas, "shard %d would have %d available replicas, but needs %d", shard, replicas, required)
		}
	}
	if exceedsFraction(t.unavailableStores, t.totalStores, t.rules.MaxUnavailableStoreFraction) {
		return violationf(RuleStores, "%d of %d stores would be unavailable", t.unavailableStores, t.totalStores)
	}
	othersUnavailable := t.unavailableStores > len(machine.Stores) // the fraction always allows one machine
	if t.rules.MaxUnavailableWeightFraction > 0 && othersUnavailable && t.unavailableWeight > t.rules.MaxUnavailableWeightFraction*t.totalWeight+tolerance {
		return violationf(RuleWeight, "weight %.0f of a total store weight of %.0f would be unavailable", t.unavailableWeight, t.totalWeight)
	}
	unavailable, total := t.unavailableStoresByZone[machine.Zone], t.totalStoresByZone[machine.Zone]
	if exceedsFraction(unavailable, total, t.rules.MaxUnavailableZoneFraction) {
		return violationf(RuleZone, "%d of %d stores of zone %s would be unavailable", unavailable, total, machine.Zone)
	}
	return nil
}

// isOverloaded reports whether the load of the remaining stores exceeds the limit.
func (t *availabilityTracker) isOverloaded() bool {
	if t.rules.MaxLoad <= 0 || t.load <= 0 {
		return false
	}
	return t.load*t.totalWeight > t.rules.MaxLoad*(t.totalWeight-t.unavailableWeight)+tolerance
}

// remainingLoad returns the load of the remaining stores.
func (t *availabilityTracker) remainingLoad() float64 {
	return t.load * t.totalWeight / max(tolerance, t.totalWeight-t.unavailableWeight)
}

// exceedsFraction reports whether a count exceeds a fraction of a total. A count of 1 never does, and a fraction of 0
// is no limit.
func exceedsFraction(count, total int, fraction float64) bool {
	return fraction > 0 && count > 1 && float64(count) > fraction*float64(total)+tolerance
}

// earliestDrainStart returns the first time, now or later, at which the rules on time allow the drain of a machine to
// start, and the rule that delays it until then. It returns noTime if there is no such time.
func (t *availabilityTracker) earliestDrainStart(machine *Machine, now Micros) (start Micros, rule Rule) {
	start = now
	lastStart, found := t.lastDrainStartByType[machine.Type]
	if spacingEnd := lastStart + t.rules.DrainSpacing; found && t.rules.DrainSpacing > 0 && spacingEnd > start {
		start = spacingEnd
		rule = RuleSpacing
	}
	openTime, ok := t.rules.nextOpenTime(start)
	if !ok {
		return noTime, RuleTimeWindow
	}
	if openTime != start {
		return openTime, RuleTimeWindow
	}
	return start, rule
}
