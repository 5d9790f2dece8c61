package policy

import "math"

const (
	// suspectIdleTime is the idle time, in mean latency objectives, above which a late attempt makes its server's
	// idle connections suspect.
	suspectIdleTime = 0.4

	// freshSuccessGain is the gain, 0 to 1, of the success of fresh connections.
	freshSuccessGain = 0.40

	// initialFreshSuccessRate is the success of fresh connections, 0 to 1, before any was seen.
	initialFreshSuccessRate = 0.5

	// probablyStaleThreshold is the success of fresh connections, 0 to 1, from which every suspect server gets a
	// fresh connection. Below it, only one server gets one in a mean latency objective.
	probablyStaleThreshold = 0.5

	// provenStaleThreshold is the success of fresh connections, 0 to 1, above which connections that have been
	// idle beyond the limit are closed before use.
	provenStaleThreshold = 0.7

	// idleLimitDoublingTime is the time without evidence, in mean latency objectives, in which the idle limit doubles.
	idleLimitDoublingTime = 4.0
)

// connectionStats is what is known of idle connections.
type connectionStats struct {
	// freshSuccessRate is the smoothed share, 0 to 1, of attempts that were answered on fresh connections after a silence
	// on idle ones.
	freshSuccessRate float64

	// freshSentAt is when an attempt was last sent on a fresh connection.
	freshSentAt Micros

	// idleLimitBase is the idle time from which connections were suspect at idleLimitChangedAt.
	idleLimitBase      Micros
	idleLimitChangedAt Micros
}

// recordConnectionResult takes the end of an attempt, or its lateness as TimedOut, as evidence on idle connections. If
// fresh connections mostly bring answers where idle ones were silent, idle connections are closed before use. Wrong
// conclusions cost a handshake for each part, so an answer on an idle connection clears those that were idle for
// less time.
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
		// The server can't be reached at all, so idle connections are not to blame.
		a.connections.freshSuccessRate = 0
	}
	if status == TimedOut && float64(attempt.connectionIdleTime) > suspectIdleTime*a.meanLatencyObjective {
		a.recordIdleConnectionTimeout(attempt)
	}
}

// recordIdleConnectionAnswer counts an answer on a connection that was not fresh.
func (a *Aggregator) recordIdleConnectionAnswer(answered *attempt) {
	answered.server.idleConnectionsSuspect = false
	if answered.connectionIdleTime >= a.connections.idleLimitBase {
		a.connections.idleLimitBase = 2 * answered.connectionIdleTime
		a.connections.idleLimitChangedAt = a.now
		smooth(&a.connections.freshSuccessRate, 0, freshSuccessGain)
	}
}

// recordIdleConnectionTimeout counts a late attempt on an idle connection. The limit falls to half of its idle time,
// since the true limit lies below what was seen to fail.
func (a *Aggregator) recordIdleConnectionTimeout(late *attempt) {
	late.server.idleConnectionsSuspect = true
	if float64(late.connectionIdleTime) < a.idleLimit() {
		a.connections.idleLimitBase = late.connectionIdleTime / 2
	}
	a.connections.idleLimitChangedAt = a.now
}

// idleLimit returns the idle time, in microseconds, from which connections are suspect. It grows without evidence.
func (a *Aggregator) idleLimit() float64 {
	age := float64(a.now - a.connections.idleLimitChangedAt)
	return float64(a.connections.idleLimitBase) * math.Exp2(age/(idleLimitDoublingTime*a.meanLatencyObjective))
}

// prepareConnection records how long an attempt's connection was idle, and closes idle connections first if they
// are suspect.
func (a *Aggregator) prepareConnection(sent *attempt) {
	s := sent.server
	if len(s.inFlight) == 0 { // otherwise another connection than the idle one may be used
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

func (a *Aggregator) needsFreshConnection(sent *attempt) bool {
	mayTest := a.connections.freshSuccessRate >= probablyStaleThreshold ||
		a.now-a.connections.freshSentAt > Micros(a.meanLatencyObjective)
	if sent.server.idleConnectionsSuspect && mayTest {
		return true
	}
	return a.connections.freshSuccessRate > provenStaleThreshold && float64(sent.connectionIdleTime) >= a.idleLimit()
}
