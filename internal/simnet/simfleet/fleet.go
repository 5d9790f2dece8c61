package simfleet

import (
	"math"
	"math/rand/v2"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

const (
	// firstStoreNode is the network node of the first store. The nodes of aggregators are numbered from 0.
	firstStoreNode simnet.NodeID = 100_000
	// noNode is the network node of events that belong to no node, so that no fault affects them.
	noNode simnet.NodeID = -1
	// The ID of the store of index i is firstStoreID + i*storeIDStep: production IDs are not contiguous either.
	firstStoreID = 1000
	storeIDStep  = 7919
)

// Fleet is a running scenario.
type Fleet struct {
	Network     *simnet.Network
	Stores      []*Store
	Aggregators []*Aggregator

	scenario Scenario
	// queryRand is the random number generator of the queries. It is separate from the network's, so that the queries do not
	// depend on the decisions of the aggregators.
	queryRand         *rand.Rand
	shardWeights      []float64 // cumulative
	aggregatorWeights []float64 // cumulative
	result            Result
	offeredByClass    []float64
	servedByClass     []float64
}

// New returns the fleet of a scenario at the start of its run.
func New(scenario Scenario) *Fleet {
	scenario.Settings.InstanceCount = scenario.Aggregators
	f := &Fleet{
		Network:        simnet.New(scenario.Seed, scenario.Link),
		scenario:       scenario,
		queryRand:      rand.New(rand.NewPCG(scenario.Seed, 1)),
		offeredByClass: make([]float64, len(scenario.Mix)),
		servedByClass:  make([]float64, len(scenario.Mix)),
	}
	sum := 0.0
	for shard := range scenario.Settings.Shards {
		sum += math.Pow(float64(1+shard), -scenario.ShardSkew)
		f.shardWeights = append(f.shardWeights, sum)
	}
	for i := range scenario.Settings.RingSize * scenario.Replicas {
		f.AddStore(i%scenario.Settings.RingSize, 0)
	}
	sum = 0
	for i := range scenario.Aggregators {
		sum += math.Exp(scenario.AggregatorSkew * f.queryRand.NormFloat64())
		f.aggregatorWeights = append(f.aggregatorWeights, sum)
		aggregator := &Aggregator{fleet: f, node: simnet.NodeID(i)}
		f.Aggregators = append(f.Aggregators, aggregator)
		aggregator.start()
	}
	f.Network.Schedule(noNode, 0, f.scheduleArrivals)
	return f
}

// AddStore adds a store at a ring position. startedAt is the time of its start, from which its slow start is counted; 0
// means that it is not in slow start. The aggregators learn of the store only by AnnounceEndpoints, which the caller calls.
func (f *Fleet) AddStore(position int, startedAt Micros) *Store {
	index := len(f.Stores)
	rng := rand.New(rand.NewPCG(f.scenario.Seed, uint64(index)+7))
	store := &Store{
		Machine: f.scenario.NewMachine(index, rng),
		Endpoint: policy.Endpoint{
			ID:           uint32(firstStoreID + storeIDStep*index),
			State:        policy.Ready,
			RingPosition: position,
			Capacity:     1,
			StartedAt:    startedAt,
		},
		Stats:        StoreStats{ExcessParts: math.Inf(-1)},
		network:      f.Network,
		node:         firstStoreNode + simnet.NodeID(index),
		rng:          rng,
		settings:     &f.scenario.Settings,
		meanPartWork: f.scenario.meanPartWork(),
	}
	f.Stores = append(f.Stores, store)
	store.schedulePauses()
	return store
}

// store returns the store with an ID.
func (f *Fleet) store(id uint32) *Store { return f.Stores[(id-firstStoreID)/storeIDStep] }

// ReplaceStore marks a store as draining and adds a new one, in slow start, at its ring position. The aggregators learn of
// it only by AnnounceEndpoints, which the caller calls.
func (f *Fleet) ReplaceStore(index int) {
	replaced := f.Stores[index]
	replaced.Endpoint.State = policy.Draining
	f.AddStore(replaced.Endpoint.RingPosition, f.Network.Now())
}

// AnnounceEndpoints sends the current endpoint list to each aggregator after a random delay of at most maxDelay.
func (f *Fleet) AnnounceEndpoints(maxDelay Micros) {
	endpoints := f.endpoints()
	for _, aggregator := range f.Aggregators {
		delay := f.Network.Rand().Int64N(maxDelay + 1)
		f.Network.Schedule(aggregator.node, delay, func() {
			aggregator.step(policy.EndpointList{Endpoints: endpoints})
		})
	}
}

func (f *Fleet) endpoints() []policy.Endpoint {
	var endpoints []policy.Endpoint
	for _, store := range f.Stores {
		endpoints = append(endpoints, store.Endpoint)
	}
	return endpoints
}

// ScheduleAt schedules a callback at a time relative to the start.
func (f *Fleet) ScheduleAt(at Micros, callback func()) {
	f.Network.Schedule(noNode, simnet.StartTime+at-f.Network.Now(), callback)
}

// RestartAggregator kills an aggregator and restarts it after a downtime, with no state but the current endpoint list.
func (f *Fleet) RestartAggregator(index int, downtime Micros) {
	aggregator := f.Aggregators[index]
	f.Network.Kill(aggregator.node)
	f.Network.Schedule(noNode, downtime, func() {
		f.Network.Restart(aggregator.node)
		aggregator.start()
	})
}

// Run runs the fleet until a time relative to the start and returns the result so far.
func (f *Fleet) Run(until Micros) Result {
	f.Network.Run(simnet.StartTime + until)
	result := f.result
	result.ExcessParts = math.Inf(-1)
	for _, store := range f.Stores {
		result.addStore(store.Stats)
	}
	for class := range f.offeredByClass {
		result.ServedFractionByClass = append(result.ServedFractionByClass, f.servedByClass[class]/math.Max(f.offeredByClass[class], minOffered))
	}
	result.Digest = f.Network.Digest()
	return result
}
