package gossip

import "time"

// generationsPerSecond is the resolution of start times in generations. It is high enough that a process that is
// restarted within a second gets a new generation, and low enough that generations fit into 32 bits until 2043.
const generationsPerSecond = 8

// generationEpoch is the time at which generations start from 0.
var generationEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// generationAt returns the generation of a process that starts at the given time. It is at least 1, as a Generation of
// 0 in a membership.Config stands for none.
func generationAt(start time.Time) uint32 {
	return uint32(max(1, start.Sub(generationEpoch)*generationsPerSecond/time.Second))
}

// generationStart returns the start time that a generation stands for.
func generationStart(generation uint32) time.Time {
	return generationEpoch.Add(time.Duration(generation) * time.Second / generationsPerSecond)
}
