package policy

import (
	"cmp"
	"slices"
)

// timedAmount is an amount of work at a point in time.
type timedAmount struct {
	at     Micros
	amount float64 // microseconds of work, or a number of parts
}

func (e timedAmount) compareTime(at Micros) int { return cmp.Compare(e.at, at) }

// dropBefore returns the entries from a point in time on. The entries must be in order of time.
func dropBefore(entries []timedAmount, before Micros) []timedAmount {
	first, _ := slices.BinarySearchFunc(entries, before, timedAmount.compareTime)
	return entries[first:]
}
