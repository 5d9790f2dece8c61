package policy

import "testing"

// loadWarmingServer lets a fleet of aggregators, all with more parts than it can take, meet one cold server that alone
// holds their shard. It returns the most work within a span against what the rule allows, and work a second.
func loadWarmingServer(t *testing.T, fleet int, report LoadReport) (most, rate float64) {
	s := singleRingSettings()
	s.OverloadFactor, s.SlowStartFraction, s.InstanceCount = 2, 0.25, fleet
	const work = 100_000
	var hands []*harness
	for i := range fleet {
		s.InstanceIndex = i
		h := newHarness(t, s)
		h.answerQueries(0, 60, work)
		for range 40 {
			h.aggregator.recordLoad(h.aggregator.servers[1], report)
		}
		hands = append(hands, h)
	}
	start := hands[0].now
	var sent []Micros
	for now := start; now < start+s.SlowStartDuration; now += 4 * s.Tick {
		for _, h := range hands {
			h.now = now
			for _, q := range h.aggregator.openQueries { // what waits is as good as gone
				h.aggregator.closeQuery(q)
			}
			_, query := h.newQuery(0, 1)
			acts := h.step(0, append(query, EndpointList{[]Endpoint{{ID: 9, State: Ready, StartedAt: start}}})...)
			for _, p := range actionsOf[SendAttempt](acts) {
				sent = append(sent, now)
				h.step(0, AttemptResult{Part: p.Part, Server: 9, Status: OK, Report: NoLoadReport})
				h.aggregator.classes[0].referenceLatency, h.aggregator.meanLatency, h.aggregator.baseLatency = work, work, work // answered at once only for the window's sake
			}
		}
		in := 0.0
		for _, at := range sent {
			if at > now-s.OverloadDuration {
				in += work
			}
		}
		share := s.SlowStartFraction + (1-s.SlowStartFraction)*float64(now-start)/float64(s.SlowStartDuration)
		most = max(most, in/(s.OverloadFactor*share*float64(s.OverloadDuration)*hands[0].aggregator.sustainedRate))
	}
	return most, work * float64(len(sent)) / float64(s.SlowStartDuration)
}

// All aggregators together keep a cold server below its limit, and yet use it, whatever their number.
func TestWarmingServersAreNotOverloaded(t *testing.T) {
	for _, fleet := range []int{1, 2, 11, 32, 90} {
		most, rate := loadWarmingServer(t, fleet, NoLoadReport)
		if most > 1 {
			t.Errorf("%d aggregators: a span held %.2f of the limit", fleet, most)
		}
		if rate < 0.2 { // of one part at a time, where 0.62 is what it can do on the mean; turns are rounded down
			t.Errorf("%d aggregators: the cold server got work of %.2f a second only", fleet, rate)
		}
	}
	busy := NoLoadReport
	busy.Rate = 30
	_, plain := loadWarmingServer(t, 11, NoLoadReport)
	if _, more := loadWarmingServer(t, 11, busy); more <= plain {
		t.Errorf("work of %.2f a second where warm servers bear more, %.2f where they say nothing", more, plain)
	}
}
