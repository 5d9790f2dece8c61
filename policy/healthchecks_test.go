package policy

import "testing"

// healthCheckSettings are settings under which each part may pay for probes of all its replicas.
func healthCheckSettings() Settings {
	s := singleRingSettings()
	s.AllowHealthChecks, s.LoadByHealthCheckOnly, s.PriceHealthCheck = true, true, 0.001
	return s
}

// The wait of a probe shows the queue that other aggregators' parts made: a part goes where probes came back at once.
func TestReplicaWithASlowHealthCheckIsAvoided(t *testing.T) {
	for _, slow := range []uint32{1, 2, 3} {
		h := newHarness(t, healthCheckSettings())
		h.step(2_000_000, Timer{}) // nothing heard for long
		_, events := h.newQuery(0, 1)
		acts := h.step(0, events...)
		if n, m := len(actionsOf[HealthCheck](acts)), len(actionsOf[SendAttempt](acts)); n != 3 || m != 0 {
			t.Fatalf("%d probes and %d parts sent at once, want 3 and 0", n, m)
		}
		var back []Event
		for id := range uint32(3) {
			if id+1 != slow {
				back = append(back, HealthCheckResult{Server: id + 1, Status: OK, Report: NoLoadReport})
			}
		}
		h.step(h.aggregator.settings.Tick, back...)
		h.step(h.aggregator.settings.Tick, Timer{})
		for range 3 { // a share of the parts would go there by utility alone
			_, events := h.newQuery(0, 1)
			h.step(0, events...)
			h.step(2*h.aggregator.settings.Tick, Timer{})
		}
		sent := actionsOf[SendAttempt](h.actions)
		for _, s := range sent {
			if s.Server == slow {
				t.Errorf("server %d did not answer its probe, sent %+v", slow, sent)
			}
		}
		if len(sent) < 3 {
			t.Errorf("sent %+v, want the parts at the servers that answered", sent)
		}
	}
}

// A part never waits for probes longer than two ticks, whatever becomes of them.
func TestUnansweredHealthChecksDelayPartsByTwoTicks(t *testing.T) {
	h := newHarness(t, healthCheckSettings())
	h.step(2_000_000, Timer{})
	_, events := h.newQuery(0, 1)
	h.step(0, events...)
	if n := len(actionsOf[SendAttempt](h.step(2*h.aggregator.settings.Tick, Timer{}))); n != 1 {
		t.Fatalf("%d parts sent after two ticks of silence, want 1", n)
	}
}
