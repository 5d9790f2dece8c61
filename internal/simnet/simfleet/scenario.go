package simfleet

import (
	"math/rand/v2"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

// Micros is a duration or a time in microseconds.
type Micros = policy.Micros

const microsPerSecond = 1e6

// Scenario describes a fleet, its stores and the queries that it receives.
type Scenario struct {
	Seed uint64
	// Settings apply to all aggregators. The fleet sets InstanceIndex and InstanceCount.
	Settings    policy.Settings
	Aggregators int
	// NewMachine returns the machine of the store with an index.
	NewMachine func(index int, rng *rand.Rand) Machine
	// Replicas is the number of stores at each ring position.
	Replicas int
	// Link contains the properties of all links between aggregators and stores.
	Link simnet.Link
	// Rate returns the queries per second of the whole fleet at a time relative to the start.
	Rate func(now Micros) float64
	// Mix describes the queries of each class, in the order of Settings.Classes.
	Mix []QueryClass
	// ShardSkew is the skew of the shards' popularity: the weight of shard i is (1+i)^-ShardSkew.
	ShardSkew float64
	// AggregatorSkew is the standard deviation of the logarithm of the aggregators' weights, by which queries are distributed.
	AggregatorSkew float64
	// RandomReplicas replaces the policy by a baseline: aggregators send each part to a random replica, without retries.
	RandomReplicas bool
}

// QueryClass describes the queries of a class.
type QueryClass struct {
	// QueryFraction is the fraction of all queries that are of this class.
	QueryFraction float64
	// WorkVariation is the coefficient of variation of the work of a part.
	WorkVariation float64
	// MinParts and MaxParts are the limits of the number of parts, which is uniformly distributed.
	MinParts int
	MaxParts int
	// MeanWork is the mean work of a part, in microseconds of a core of speed 1.
	MeanWork Micros
}

// meanParts returns the mean number of parts of a query.
func (c QueryClass) meanParts() float64 { return float64(c.MinParts+c.MaxParts) / 2 }

// meanPartWork returns the mean work of a part over all classes.
func (s Scenario) meanPartWork() float64 {
	work := 0.0
	parts := 0.0
	for _, class := range s.Mix {
		classParts := class.QueryFraction * class.meanParts()
		work += classParts * float64(class.MeanWork)
		parts += classParts
	}
	return work / parts
}
