package policy

import "testing"

func TestUnresponsiveServerIsAnOutlierBeforeTheTimeout(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 30, 200_000)
	_, events := h.newQuery(0, 3)
	h.step(h.aggregator.settings.Tick, events...)
	h.step(900_000, Timer{})
	if !h.aggregator.isOutlier(h.aggregator.servers[1]) {
		t.Fatalf("silent for several latencies, yet slowness is %v", h.aggregator.slowness(h.aggregator.servers[1]))
	}
}

func TestUniformSlowdownMakesNoOutliers(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 60, 100_000)
	h.answerQueries(0, 60, 250_000)
	for _, s := range h.aggregator.serversByID {
		if h.aggregator.isOutlier(s) {
			t.Errorf("server %d is an outlier though all slowed alike", s.ID)
		}
	}
}

// countTrials counts the parts that go to a server 1 that answers none within twenty mean aims.
func countTrials(t *testing.T, s Settings, probe Status) int {
	h := newHarness(t, s)
	h.answerQueries(0, 40, 100_000)
	n := 0
	for end := h.now + 20*Micros(h.aggregator.meanObjective); h.now < end; {
		_, events := h.newQuery(0, 1)
		acts := h.step(100_000, events...)
		asked := actionsOf[HealthCheck](h.actions)
		h.actions = nil
		for _, p := range asked {
			status := OK
			if p.Server == 1 {
				status = probe
			}
			h.step(0, HealthCheckResult{Server: p.Server, Status: status, Report: NoLoadReport})
		}
		for queue := actionsOf[SendAttempt](acts); len(queue) > 0; queue = queue[1:] { // retries join the queue
			sent, status, after := queue[0], OK, Micros(100_000)
			if sent.Server == 1 {
				n++
				status, after = TimedOut, 400_000
			}
			queue = append(queue, actionsOf[SendAttempt](h.step(after, AttemptResult{
				Part: sent.Part, Attempt: h.aggregator.parts[sent.Part].attempts - 1,
				Server: sent.Server, Status: status, Report: NoLoadReport,
			}))...)
		}
	}
	return n
}

// A silent server gets few trials, ever further apart; none while its probes fail.
func TestUnresponsiveServerIsTriedRarely(t *testing.T) {
	s := singleRingSettings()
	plain := countTrials(t, s, OK)
	s.AllowHealthChecks, s.LoadByHealthCheckOnly, s.PriceHealthCheck = true, true, 0.001
	muted := countTrials(t, s, TimedOut)
	if plain < 2 || plain > 10 {
		t.Errorf("%d parts risked at a silent server in twenty aims, want a few", plain)
	}
	if muted >= plain {
		t.Errorf("%d parts risked where its probes fail, %d where nothing is probed", muted, plain)
	}
}
