package membership

// safeguard is a bit set of measures against false positives. All of them are enabled in production; measurements
// disable one at a time to determine its effect and cost.
type safeguard uint8

const (
	probeRetry         safeguard = 1 << iota // a ping that was not acknowledged is repeated
	indirectProbing                          // helpers ping the target if the direct ping gets no ack
	pauseDetection                           // a pause of this process extends its time limits
	localHealthScaling                       // a bad local health score extends this member's time limits
	suspicionRestart                         // a message, an indirect ack or a later incarnation of a suspect restarts its timeout
	accuserComparison                        // an accuser is distrusted only if others are refuted far less often
)

// enabled reports whether a safeguard is enabled.
func (g *Group) enabled(measure safeguard) bool { return g.disabledSafeguards&measure == 0 }
