package membership

// safeguard is a bit set of the measures against false positives. All of them are in force in operation; measurements
// disable one at a time to determine its effect and cost.
type safeguard uint8

const (
	probeRetry         safeguard = 1 << iota // an unanswered ping is repeated
	indirectProbing                          // helpers ping the target when the direct ping gets no ack
	pauseDetection                           // a pause of this process extends its time limits
	localHealthScaling                       // Lifeguard's local health multiplier extends this member's time limits
	suspicionRestart                         // a message of a suspect, or a later accusation, restarts the suspicion
	accuserComparison                        // an accuser is distrusted only if the others' accusations fare better
)

// enabled reports whether a safeguard is in force.
func (g *Group) enabled(measure safeguard) bool { return g.disabledSafeguards&measure == 0 }
