package policy

import "math"

const (
	// suspectIdleTime is the idle time, in mean latency objectives, above which a late attempt makes its server's
	// idle connections suspect.
	suspectIdleTime = 0.4

	// freshSuccessGain is the gain, 0 to 1, of freshSuccessRate.
	freshSuccessGain = 0.40

	// initialFreshSuccessRate is freshSuccessRate before there is any evidence.
	initialFreshSuccessRate = 0.5

	// probablyStaleThreshold is the freshSuccessRate from which every server with suspect idle connections gets a fresh
	// connection. Below it, at most one server gets one per mean latency objective.
	probablyStaleThreshold = 0.5

	// provenStaleThreshold is the freshSuccessRate above which all connections that have been idle beyond the idle
	// limit are closed before use.
	provenStaleThreshold = 0.7

	// idleLimitDoublingTime is the time without new evidence, in mean latency objectives, in which the idle limit
	// doubles.
	idleLimitDoublingTime = 4.0
)

// connectionStats is the evidence on whether idle connections become stale, which means that attempts on them stay
// unanswered.
type connectionStats struct {
	// freshSuccessRate is the smoothed success rate, 0 to 1, of attempts on fresh connections that replaced idle ones.
	// An answer on a connection that was idle for long lowers it, and a failure to connect resets it to 0.
	freshSuccessRate float64

	// freshSentAt is the time at which an attempt was last sent on a fresh connection.
	freshSentAt Micros

	// idleLimitBase is the idle limit as of idleLimitChangedAt; see idleLimit.
	idleLimitBase      Micros
	idleLimitChangedAt Micros
}

// recordConnectionResult records the result of an attempt, or TimedOut for a late attempt, as evidence on idle
// connections. If fresh connections mostly bring answers where idle connections did not, idle connections are closed
// before use. A wrong conclusion costs a handshake for each part, so an answer on a connection that was idle for at
// least idleLimitBase raises idleLimitBase to twice that idle time.
func (a *Aggregator) recordConnectionResult(attempt *attempt, status Status) {
	if status == OK && !attempt.freshConnection {
		a.recordIdleConnectionAnswer(attempt)
	}
	if attempt.connectionResultRecorded {
		return
	}
	attempt.connectionResultRecorded = true
	switch {
	case attempt.freshConnection && status == OK:
		smooth(&a.connections.freshSuccessRate, 1, freshSuccessGain)
	case status == ConnectFailed:
		// The server cannot be reached at all, so idle connections are not the cause.
		a.connections.freshSuccessRate = 0
	}
	if status == TimedOut && float64(attempt.connectionIdleTime) > suspectIdleTime*a.meanLatencyObjective {
		a.recordIdleConnectionTimeout(attempt)
	}
}

// recordIdleConnectionAnswer records an answer on a connection that was not fresh.
func (a *Aggregator) recordIdleConnectionAnswer(answered *attempt) {
	answered.server.idleConnectionsSuspect = false
	if answered.connectionIdleTime >= a.connections.idleLimitBase {
		a.connections.idleLimitBase = 2 * answered.connectionIdleTime
		a.connections.idleLimitChangedAt = a.now
		smooth(&a.connections.freshSuccessRate, 0, freshSuccessGain)
	}
}

// recordIdleConnectionTimeout records a late attempt on an idle connection. If the connection was idle for less than
// the idle limit, the limit falls to half of its idle time, since the true limit lies below the idle time that failed.
func (a *Aggregator) recordIdleConnectionTimeout(late *attempt) {
	late.server.idleConnectionsSuspect = true
	if float64(late.connectionIdleTime) < a.idleLimit() {
		a.connections.idleLimitBase = late.connectionIdleTime / 2
	}
	a.connections.idleLimitChangedAt = a.now
}

// idleLimit returns the idle time, in microseconds, from which connections may be stale. It doubles with every
// idleLimitDoublingTime without new evidence.
func (a *Aggregator) idleLimit() float64 {
	age := float64(a.now - a.connections.idleLimitChangedAt)
	return float64(a.connections.idleLimitBase) * math.Exp2(age/(idleLimitDoublingTime*a.meanLatencyObjective))
}

// prepareConnection records the idle time of the connection that an attempt will use, and closes the server's idle
// connections first if they may be stale.
func (a *Aggregator) prepareConnection(sent *attempt) {
	s := sent.server
	if len(s.inFlight) == 0 { // otherwise the attempt may use a connection that is not idle
		sent.connectionIdleTime = a.now - s.connectionUsedAt
	}
	if !a.needsFreshConnection(sent) {
		return
	}
	a.emit(CloseIdleConnections{ServerID: s.ID})
	sent.connectionIdleTime = 0
	sent.freshConnection = true
	s.connectionUsedAt = a.now
	s.idleConnectionsSuspect = false
	a.connections.freshSentAt = a.now
}

// needsFreshConnection reports whether idle connections are to be closed before an attempt is sent.
func (a *Aggregator) needsFreshConnection(sent *attempt) bool {
	allowsFresh := a.connections.freshSuccessRate >= probablyStaleThreshold ||
		a.now-a.connections.freshSentAt > Micros(a.meanLatencyObjective)
	if sent.server.idleConnectionsSuspect && allowsFresh {
		return true
	}
	return a.connections.freshSuccessRate > provenStaleThreshold && float64(sent.connectionIdleTime) >= a.idleLimit()
}
