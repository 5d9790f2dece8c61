package simfleet

import (
	"math/rand/v2"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

// Large is a large fleet at work: gatherers that each see a few queries a second, of many parts, and stores in pairs
// that are loaded to a share of what they can do. The proportions are those of our operators' site.
func Large(seed uint64, gatherers, cells int, load float64) Plan {
	const aim, replicas, perCell = 380_000, 2, 2
	shards := cells * perCell
	set := policy.Settings{
		Tick: 1000, Shards: shards, RingSize: cells, ReplicationFactor: 1, MaxBatchSize: 1, MaxAttempts: 4,
		MaxOpen: 1000, AllowHedging: true, AllowCancel: true, AllowHealthChecks: true, SendRetryAfter: true, MaxRetryAfter: 2_000_000,
		AnswerSlack: 5000, DrainGrace: 500_000, SlowStartFraction: 0.18, SlowStartDuration: 17_000_000, OverloadFactor: 2.5,
		OverloadDuration: 2_000_000, PriceHealthCheck: 0.08, PriceCrossZone: 0.009,
		Classes: []policy.Class{
			{Name: "report", LatencyObjective: 2 * aim, Timeout: 3_340_000, PriorityWeight: 5, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "lookup", LatencyObjective: aim, Timeout: 1_340_000, PriorityWeight: 1, LateWeight: 0.3, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "save", LatencyObjective: aim, Timeout: 1_000_000, PriorityWeight: 1, Idempotency: policy.IdempotentByKey, DeduplicationWindow: 3_000_000, MinCoverage: 1, RequiredCoverage: 1},
		},
	}
	mix := []Kind{
		{Share: 0.12, Spread: 0.5, Least: shards / 2, Most: shards / 2, Work: 48_000},
		{Share: 0.62, Spread: 0.5, Least: max(3, shards/10), Most: max(5, shards/10), Work: 36_000},
		{Share: 0.26, Spread: 0.5, Least: 1, Most: 1, Work: 36_000},
	}
	work := 0.0 // of a query, in microseconds
	for _, k := range mix {
		work += k.Share * float64(k.Least+k.Most) / 2 * float64(k.Work)
	}
	const cores, speed = 2, 0.93
	full := float64(cells*replicas) * cores * speed * 1e6 / work
	return Plan{
		Seed: seed, Settings: set, Gatherers: gatherers, Replicas: replicas, Mix: mix, Skew: 0.2, Uneven: 0.5,
		Link: simnet.Link{Least: 200, Most: 1200},
		Rate: func(Micros) float64 { return load * full },
		Machines: func(_ int, rng *rand.Rand) Machine {
			m := Machine{
				Cores: cores, Slots: 3 * cores, Queue: 12 * cores, Speed: 0.92 + 0.18*rng.Float64(),
				PauseEvery: 1_800_000, Pause: 16_000 + rng.Int64N(56_000), Report: 37_000 + rng.Int64N(90_000),
				Handshake: 1200, ProbeWork: 300, Errors: 0.001,
			}
			if rng.Float64() < 0.3 {
				m.Speed = 0.69 + 0.12*rng.Float64()
			}
			return m
		},
	}
}

// Burst is a load that grows by half for a while.
func Burst(base func(Micros) float64, from, to Micros) func(Micros) float64 {
	return func(now Micros) float64 {
		if now >= from && now < to {
			return 1.5 * base(now)
		}
		return base(now)
	}
}
