package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// sortByPriority sorts waiting permits in the order in which they are drained: voters last, then the highest urgency
// first, then the earliest end of the time window, then the most waiting stores nearby (see waitingStoresNear), as such
// a machine fits into the fewest waves, then the oldest request, then the name of the machine. All machines must be in
// the layout.
func (s State) sortByPriority(waiting []Permit) {
	waitingStoresByPosition := make([]int, s.Layout.RingSize)
	for _, permit := range waiting {
		for _, store := range s.Layout.Machine(permit.Machine).Stores {
			waitingStoresByPosition[store.RingPosition]++
		}
	}
	slices.SortStableFunc(waiting, func(a, b Permit) int {
		machineA := s.Layout.Machine(a.Machine)
		machineB := s.Layout.Machine(b.Machine)
		return cmp.Or(
			cmp.Compare(voterRank(machineA), voterRank(machineB)),
			cmp.Compare(b.Urgency, a.Urgency),
			cmp.Compare(latestStart(a), latestStart(b)),
			cmp.Compare(s.waitingStoresNear(machineB, waitingStoresByPosition), s.waitingStoresNear(machineA, waitingStoresByPosition)),
			cmp.Compare(a.RequestedAt, b.RequestedAt),
			cmp.Compare(a.Machine, b.Machine),
		)
	})
}

func voterRank(machine *Machine) int {
	if machine.Voter {
		return 1
	}
	return 0
}

// latestStart returns the latest time at which the drain of a permit may start.
func latestStart(permit Permit) Micros {
	if permit.NotAfter == 0 {
		return math.MaxInt64
	}
	return permit.NotAfter
}

// waitingStoresNear returns the number of stores on waiting machines that may share a shard with a store of the given
// machine, which are those at most ReplicationFactor - 1 ring positions away. The number is an estimate for
// comparisons: it is summed over the stores of the machine, includes these stores themselves, and counts a position
// twice if the ring has fewer than 2*ReplicationFactor - 1 positions.
func (s State) waitingStoresNear(machine *Machine, waitingStoresByPosition []int) int {
	count := 0
	for _, store := range machine.Stores {
		for offset := 1 - s.Layout.ReplicationFactor; offset < s.Layout.ReplicationFactor; offset++ {
			count += waitingStoresByPosition[s.Layout.wrap(store.RingPosition+offset)]
		}
	}
	return count
}
