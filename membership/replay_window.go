package membership

// replayWindowSize is the number of the highest message numbers of a sender that the window covers.
const replayWindowSize = 64

// replayWindow accepts each message number of a sender once and rejects numbers below the window.
type replayWindow struct {
	highest uint32
	seen    uint64 // bit i is set if the number highest-i was accepted
}

// accept records a number and reports whether it is in the window and was not accepted before.
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
