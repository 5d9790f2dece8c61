package policy

import "math"

// classifyConnection takes an answer, or lateness, as evidence on connections. If new ones mostly bring answers where
// idle ones were silent, idle connections are dropped unseen. A false verdict costs a handshake a part, from
// each of a fleet that meets its servers seldom: an answer on an idle one clears those that were idle less.
func (a *Aggregator) classifyConnection(t *attempt, status Status) {
	if status == OK && !t.freshConnection {
		if t.server.suspect = false; t.connectionIdle >= a.idleLimitBase {
			a.idleLimitBase, a.idleLimitSetAt = 2*t.connectionIdle, a.now
			a.freshConnectionSuccess -= degradationGain * a.freshConnectionSuccess
		}
	}
	if t.classified {
		return
	}
	t.classified = true
	if t.freshConnection && status == OK {
		a.freshConnectionSuccess += degradationGain * (1 - a.freshConnectionSuccess)
	} else if status == ConnectFailed { // the way is bad, not the old connections
		a.freshConnectionSuccess = 0
	}
	if status == TimedOut && float64(t.connectionIdle) > suspectIdleTime*a.meanObjective {
		t.server.suspect = true
		if float64(t.connectionIdle) < a.idleLimit() {
			a.idleLimitBase = t.connectionIdle / 2 // the true limit lies below what was seen to fail
		}
		a.idleLimitSetAt = a.now
	}
}

// idleLimit is the idle time from which connections are suspect. It grows while nothing more is found.
func (a *Aggregator) idleLimit() float64 {
	return float64(a.idleLimitBase) * math.Exp2(float64(a.now-a.idleLimitSetAt)/(penaltyHalfLife*a.meanObjective))
}
