package simfleet

import (
	"math/rand/v2"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

const (
	largeCores    = 2
	largeReplicas = 2
	// largeMeanSpeed is the assumed mean speed of the machines, from which the maximum rate of queries follows.
	largeMeanSpeed = 0.93
	// largeSlowFraction is the fraction of the machines that are of a slower type.
	largeSlowFraction = 0.3
)

// Large returns the scenario of a large fleet: each aggregator receives a few queries per second with many parts, and each
// ring position has two stores. load is the fraction of the stores' capacity that the queries need. The proportions are
// those of a production site.
func Large(seed uint64, aggregators, ringSize int, load float64) Scenario {
	settings := largeSettings(ringSize)
	mix := largeMix(settings.Shards)
	queryWork := 0.0 // mean work of a query
	for _, class := range mix {
		queryWork += class.QueryFraction * class.meanParts() * float64(class.MeanWork)
	}
	maxRate := float64(ringSize*largeReplicas) * largeCores * largeMeanSpeed * microsPerSecond / queryWork
	return Scenario{
		Seed:           seed,
		Settings:       settings,
		Aggregators:    aggregators,
		Replicas:       largeReplicas,
		Mix:            mix,
		ShardSkew:      0.2,
		AggregatorSkew: 0.5,
		Link:           simnet.Link{MinDelay: 200, MaxDelay: 1200},
		Rate:           func(Micros) float64 { return load * maxRate },
		NewMachine:     newLargeMachine,
	}
}

// largeSettings returns the settings of the scenario that Large returns.
func largeSettings(ringSize int) policy.Settings {
	const latencyObjective = 380_000
	const shardsPerPosition = 2
	return policy.Settings{
		Tick:              1000,
		Shards:            ringSize * shardsPerPosition,
		RingSize:          ringSize,
		ReplicationFactor: 1,
		MaxBatchSize:      1,
		MaxAttempts:       4,
		MaxOpen:           1000,
		AllowHedging:      true,
		AllowCancel:       true,
		AllowHealthChecks: true,
		SendRetryAfter:    true,
		MaxRetryAfter:     2_000_000,
		AnswerSlack:       5000,
		DrainGrace:        500_000,
		SlowStartFraction: 0.18,
		SlowStartDuration: 17_000_000,
		OverloadFactor:    2.5,
		OverloadDuration:  2_000_000,
		HealthCheckPrice:  0.08,
		CrossZonePrice:    0.009,
		Classes: []policy.Class{
			{
				Name:             "report",
				LatencyObjective: 2 * latencyObjective,
				Timeout:          3_340_000,
				PriorityWeight:   5,
				MinCoverage:      1,
				RequiredCoverage: 1,
			},
			{
				Name:             "lookup",
				LatencyObjective: latencyObjective,
				Timeout:          1_340_000,
				PriorityWeight:   1,
				LateWeight:       0.3,
				MinCoverage:      1,
				RequiredCoverage: 1,
			},
			{
				Name:                "save",
				LatencyObjective:    latencyObjective,
				Timeout:             1_000_000,
				PriorityWeight:      1,
				Idempotency:         policy.IdempotentByKey,
				DeduplicationWindow: 3_000_000,
				MinCoverage:         1,
				RequiredCoverage:    1,
			},
		},
	}
}

// largeMix returns the properties of the queries of each class of largeSettings.
func largeMix(shards int) []QueryClass {
	return []QueryClass{
		{QueryFraction: 0.12, WorkVariation: 0.5, MinParts: shards / 2, MaxParts: shards / 2, MeanWork: 48_000},
		{QueryFraction: 0.62, WorkVariation: 0.5, MinParts: max(3, shards/10), MaxParts: max(5, shards/10), MeanWork: 36_000},
		{QueryFraction: 0.26, WorkVariation: 0.5, MinParts: 1, MaxParts: 1, MeanWork: 36_000},
	}
}

// newLargeMachine returns a machine of the scenario that Large returns.
func newLargeMachine(_ int, rng *rand.Rand) Machine {
	machine := Machine{
		Cores:           largeCores,
		MaxRunning:      3 * largeCores,
		MaxQueued:       12 * largeCores,
		Speed:           0.92 + 0.18*rng.Float64(),
		PauseInterval:   1_800_000,
		PauseDuration:   16_000 + rng.Int64N(56_000),
		ReportInterval:  37_000 + rng.Int64N(90_000),
		HandshakeWork:   1200,
		HealthCheckWork: 300,
		ErrorRate:       0.001,
	}
	if rng.Float64() < largeSlowFraction {
		machine.Speed = 0.69 + 0.12*rng.Float64()
	}
	return machine
}

// Burst returns a rate that is 1.5 times the base rate from one time until another, and equal to the base rate otherwise.
func Burst(base func(Micros) float64, from, to Micros) func(Micros) float64 {
	return func(now Micros) float64 {
		if now >= from && now < to {
			return 1.5 * base(now)
		}
		return base(now)
	}
}
