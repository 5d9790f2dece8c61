package policy

import (
	"cmp"
	"slices"
)

// historyEntry is an amount of work at a point in time.
type historyEntry struct {
	at   Micros
	work float64 // microseconds of work, or a number of parts
}

func (e historyEntry) compareTime(at Micros) int { return cmp.Compare(e.at, at) }

// dropBefore returns the entries from a point in time on. The entries must be in order of time.
func dropBefore(entries []historyEntry, before Micros) []historyEntry {
	first, _ := slices.BinarySearchFunc(entries, before, historyEntry.compareTime)
	return entries[first:]
}
