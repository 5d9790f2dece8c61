package gossip

import "time"

// generationsPerSecond is high enough for a process that is restarted within a second to get another generation, and
// low enough for generations to last until 2043.
const generationsPerSecond = 8

var generationEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// generationAt returns the generation of a process that starts at a time.
func generationAt(start time.Time) uint32 {
	return uint32(max(1, start.Sub(generationEpoch)*generationsPerSecond/time.Second))
}

// generationStart returns the start time of the processes of a generation.
func generationStart(generation uint32) time.Time {
	return generationEpoch.Add(time.Duration(generation) * time.Second / generationsPerSecond)
}
