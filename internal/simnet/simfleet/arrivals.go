package simfleet

import (
	"math"
	"math/rand/v2"
	"slices"

	"alderproxy/internal/simnet"
)

// scheduleArrivals starts a query and schedules the next call of itself. Arrivals are a Poisson process.
func (f *Fleet) scheduleArrivals() {
	rate := f.scenario.Rate(f.Network.Now() - simnet.StartTime)
	if rate > 0 {
		f.startQuery()
	}
	interval := f.queryRand.ExpFloat64() * microsPerSecond / math.Max(rate, 1)
	f.Network.Schedule(noNode, Micros(interval), f.scheduleArrivals)
}

// startQuery sends a random query to a random aggregator. If the aggregator is down, the query counts as offered only.
func (f *Fleet) startQuery() {
	aggregator := f.Aggregators[drawIndex(f.aggregatorWeights, f.queryRand)]
	class := f.drawClass()
	settings := f.scenario.Settings.Classes[class]
	now := f.Network.Now()
	q := &query{class: class, startedAt: now, deadline: now + settings.Timeout}
	f.addRandomParts(q)
	f.result.Queries++
	f.result.Parts += len(q.parts)
	f.result.Offered += settings.PriorityWeight
	f.offeredByClass[class] += settings.PriorityWeight
	f.result.second(q.startedAt).Offered += settings.PriorityWeight
	if f.Network.IsAlive(aggregator.node) {
		aggregator.accept(q)
	}
}

func (f *Fleet) drawClass() int {
	class := 0
	remaining := f.queryRand.Float64()
	for class < len(f.scenario.Mix)-1 && remaining >= f.scenario.Mix[class].QueryFraction {
		remaining -= f.scenario.Mix[class].QueryFraction
		class++
	}
	return class
}

// addRandomParts adds parts for distinct random shards to a query. The work of a part has a log-normal distribution.
func (f *Fleet) addRandomParts(q *query) {
	class := f.scenario.Mix[q.class]
	shards := len(f.shardWeights)
	count := class.MinParts + f.queryRand.IntN(class.MaxParts-class.MinParts+1)
	used := map[int]bool{}
	for range min(count, shards) {
		shard := drawIndex(f.shardWeights, f.queryRand)
		for used[shard] {
			shard = (shard + 1) % shards
		}
		used[shard] = true
		sigma := math.Sqrt(math.Log1p(class.WorkVariation * class.WorkVariation))
		work := float64(class.MeanWork) * math.Exp(sigma*f.queryRand.NormFloat64()-sigma*sigma/2)
		q.parts = append(q.parts, &part{query: q, shard: shard, work: work})
	}
}

// drawIndex returns a random index with a probability proportional to its weight. The weights are cumulative.
func drawIndex(cumulativeWeights []float64, rng *rand.Rand) int {
	last := len(cumulativeWeights) - 1
	index, _ := slices.BinarySearch(cumulativeWeights, rng.Float64()*cumulativeWeights[last])
	return min(index, last)
}
