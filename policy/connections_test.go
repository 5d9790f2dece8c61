package policy

import "testing"

// closesAfterTimeouts leaves an aggregator's attempts on idle connections without answer and ends those on new ones as
// told. It returns how many connections are closed after that where no server is under suspicion itself.
func closesAfterTimeouts(t *testing.T, again Status) int {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 30, 100_000)
	for range 20 {
		h.actions = nil
		h.step(2*Micros(h.aggregator.meanObjective), Timer{}) // no connection was in use for long
		_, events := h.newQuery(0, 1)
		sent := actionsOf[SendAttempt](h.step(0, events...))
		if len(sent) != 1 {
			t.Fatalf("sent %+v, want one attempt", sent)
		}
		status := TimedOut
		if len(actionsOf[CloseIdleConnections](h.actions)) > 0 {
			status = again
		}
		h.step(300_000, AttemptResult{Part: sent[0].Part, Server: sent[0].Server, Status: status, Report: NoLoadReport})
		for _, q := range h.aggregator.openQueries {
			h.aggregator.closeQuery(q)
		}
	}
	for _, s := range h.aggregator.serversByID {
		s.suspect = false
	}
	if again == ConnectFailed { // what was proven before falls with the first connection that can't be made
		h.aggregator.freshConnectionSuccess = 0.9
		h.aggregator.classifyConnection(&attempt{server: h.aggregator.serversByID[0], freshConnection: true}, ConnectFailed)
	}
	h.actions = nil
	h.step(2*Micros(h.aggregator.meanObjective), Timer{})
	_, events := h.newQuery(0, 3)
	h.step(0, events...)
	if len(actionsOf[SendAttempt](h.actions)) == 0 {
		t.Fatal("nothing was sent")
	}
	return len(actionsOf[CloseIdleConnections](h.actions))
}

// Connections dropped unseen: silence on idle ones that ends on new ones condemns all idle ones. A server bad for
// this aggregator alone loses new connections too, and then nothing is closed.
func TestIdleConnectionsAreClosedOnceProvenStale(t *testing.T) {
	if n := closesAfterTimeouts(t, OK); n == 0 {
		t.Error("idle connections are still used though new ones to the same servers were answered")
	}
	if n := closesAfterTimeouts(t, ConnectFailed); n != 0 {
		t.Errorf("%d idle connections closed though new ones can't be made", n)
	}
}

// Parts that are late at busy servers look like parts on dropped connections, and new connections bring answers there
// too. Among many aggregators each server is met so seldom that all connections are idle: if those answer, late or in
// time, none may be closed unseen, or each part of the fleet costs a handshake.
func TestLateAnswersClearIdleConnections(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 30, 100_000)
	hung := 0
	for i := range 60 {
		h.actions = nil
		for _, s := range h.aggregator.serversByID {
			s.latencyRatio = 1 // what is late now was quick before, and the fleet as a whole keeps its pace
		}
		h.aggregator.classes[0].referenceLatency = 100_000
		h.step(Micros(h.aggregator.meanObjective), Timer{})
		_, events := h.newQuery(0, 1)
		for _, s := range actionsOf[SendAttempt](h.step(0, events...)) {
			took := Micros(100_000)
			if i%2 == 0 {
				took = 700_000
			}
			for range took / 50_000 {
				h.step(50_000, Timer{})
			}
			h.step(0, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
		}
		hung += len(actionsOf[CloseIdleConnections](h.actions))
	}
	if hung > 3 {
		t.Errorf("%d of 60 idle connections closed, though each was answered on", hung)
	}
}
