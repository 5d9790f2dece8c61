package policy

import "math"

const (
	// suspectIdleTime is the idle time, in mean latency objectives, above which a late attempt makes its server's
	// idle connections suspect.
	suspectIdleTime = 0.4

	// connectionGain is the gain, 0 to 1, of the success of fresh connections.
	connectionGain = 0.40

	// initialConnectionSuccess is the success of fresh connections, 0 to 1, before any was seen.
	initialConnectionSuccess = 0.5

	// probableConnectionSuccess is the success of fresh connections, 0 to 1, from which every suspect server gets a
	// fresh connection. Below it, only one server gets one in a mean latency objective.
	probableConnectionSuccess = 0.5

	// provenConnectionSuccess is the success of fresh connections, 0 to 1, above which connections that have been
	// idle beyond the limit are closed before use.
	provenConnectionSuccess = 0.7

	// idleLimitDoublingTime is the time without evidence, in mean latency objectives, in which the idle limit doubles.
	idleLimitDoublingTime = 4.0
)

// connectionEvidence is what is known of idle connections.
type connectionEvidence struct {
	// freshSuccess is the smoothed share, 0 to 1, of attempts that were answered on fresh connections after a silence
	// on idle ones.
	freshSuccess float64

	// freshSentAt is when an attempt was last sent on a fresh connection.
	freshSentAt Micros

	// idleLimitBase is the idle time from which connections were suspect at idleLimitChangedAt.
	idleLimitBase      Micros
	idleLimitChangedAt Micros
}

// classifyConnection takes the end of an attempt, or its lateness as TimedOut, as evidence on idle connections. If
// fresh connections mostly bring answers where idle ones were silent, idle connections are closed before use. Wrong
// conclusions cost a handshake for each part, so an answer on an idle connection clears those that were idle for
// less time.
func (a *Aggregator) classifyConnection(attempt *attempt, status Status) {
	if status == OK && !attempt.freshConnection {
		a.clearIdleConnections(attempt)
	}
	if attempt.classified {
		return
	}
	attempt.classified = true
	switch {
	case attempt.freshConnection && status == OK:
		smooth(&a.connections.freshSuccess, 1, connectionGain)
	case status == ConnectFailed:
		// The server can't be reached at all, so idle connections are not to blame.
		a.connections.freshSuccess = 0
	}
	if status == TimedOut && float64(attempt.connectionIdle) > suspectIdleTime*a.meanObjective {
		a.suspectIdleConnections(attempt)
	}
}

// clearIdleConnections counts an answer on a connection that was not fresh.
func (a *Aggregator) clearIdleConnections(answered *attempt) {
	answered.server.suspect = false
	if answered.connectionIdle >= a.connections.idleLimitBase {
		a.connections.idleLimitBase = 2 * answered.connectionIdle
		a.connections.idleLimitChangedAt = a.now
		smooth(&a.connections.freshSuccess, 0, connectionGain)
	}
}

// suspectIdleConnections counts a late attempt on an idle connection. The limit falls to half of its idle time,
// since the true limit lies below what was seen to fail.
func (a *Aggregator) suspectIdleConnections(late *attempt) {
	late.server.suspect = true
	if float64(late.connectionIdle) < a.idleLimit() {
		a.connections.idleLimitBase = late.connectionIdle / 2
	}
	a.connections.idleLimitChangedAt = a.now
}

// idleLimit returns the idle time, in microseconds, from which connections are suspect. It grows without evidence.
func (a *Aggregator) idleLimit() float64 {
	age := float64(a.now - a.connections.idleLimitChangedAt)
	return float64(a.connections.idleLimitBase) * math.Exp2(age/(idleLimitDoublingTime*a.meanObjective))
}

// prepareConnection records how long an attempt's connection was idle, and closes idle connections first if they
// are suspect.
func (a *Aggregator) prepareConnection(sent *attempt) {
	s := sent.server
	if len(s.inFlight) == 0 { // otherwise another connection than the idle one may be used
		sent.connectionIdle = a.now - s.connectionUsedAt
	}
	if !a.needsFreshConnection(sent) {
		return
	}
	a.emit(CloseIdleConnections{ServerID: s.ID})
	sent.connectionIdle = 0
	sent.freshConnection = true
	s.connectionUsedAt = a.now
	s.suspect = false
	a.connections.freshSentAt = a.now
}

func (a *Aggregator) needsFreshConnection(sent *attempt) bool {
	mayTest := a.connections.freshSuccess >= probableConnectionSuccess ||
		a.now-a.connections.freshSentAt > Micros(a.meanObjective)
	if sent.server.suspect && mayTest {
		return true
	}
	return a.connections.freshSuccess > provenConnectionSuccess && float64(sent.connectionIdle) >= a.idleLimit()
}
