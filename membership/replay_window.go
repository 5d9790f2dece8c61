package membership

// replayWindowSize is the number of the newest message numbers of a sender that are remembered.
const replayWindowSize = 64

// replayWindow accepts each message number of a sender once, and none that is older than the window.
type replayWindow struct {
	highest uint32
	seen    uint64 // bit i is set if the number highest-i was seen
}

// accept reports whether a number is seen for the first time, and records it.
func (w *replayWindow) accept(number uint32) bool {
	if number > w.highest {
		w.seen <<= number - w.highest
		w.seen |= 1
		w.highest = number
		return true
	}
	age := w.highest - number
	if age >= replayWindowSize || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}
