package policy

import (
	"cmp"
	"slices"
)

// timedAmount is an amount at a point in time.
type timedAmount struct {
	at     Micros
	amount float64 // of work in microseconds, or of parts, queries or retries
}

func (t timedAmount) compareTime(at Micros) int { return cmp.Compare(t.at, at) }

// dropBefore returns the amounts from a point in time on. The amounts must be in order of time.
func dropBefore(amounts []timedAmount, before Micros) []timedAmount {
	first, _ := slices.BinarySearchFunc(amounts, before, timedAmount.compareTime)
	return amounts[first:]
}
