package policy

import (
	"cmp"
	"slices"
)

// historyEntry is work that was taken in or sent, of one part where only the number counts.
type historyEntry struct {
	at   Micros
	work float64
}

func (e historyEntry) compareTime(at Micros) int { return cmp.Compare(e.at, at) }

// dropBefore cuts what lies before a moment; times are in order.
func dropBefore(times []historyEntry, before Micros) []historyEntry {
	i, _ := slices.BinarySearchFunc(times, before, historyEntry.compareTime)
	return times[i:]
}
