package opensearch

import (
	"fmt"
	"slices"

	"alderproxy/broker"
	"alderproxy/document"
	"alderproxy/httpwire"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// Config is the configuration of the front on this instance. Its classes and indices come from a document; see Terms.
type Config struct {
	Listen         string
	MaxConnections int                     // the maximum number of client connections
	RequestMemory  *httpwire.RequestMemory // limits the memory of clients' requests; nil: no limit
	Limits         storepool.Limits
	Stores         []storepool.Store
	InstanceIndex  int // the index of this instance among those that share the stores' capacity
	InstanceCount  int // the number of those instances
	// Quota returns the current index and count. If it is nil, InstanceIndex and InstanceCount apply.
	Quota func() (index, count int)
}

// Terms returns the terms by which the front serves a version of the document; version 0 is the instance's own document. It
// returns an error if the front cannot serve it.
func (c *Config) Terms(version uint64, d *document.Document) (*broker.Terms, error) {
	instanceIndex, instanceCount := c.InstanceIndex, c.InstanceCount
	if c.Quota != nil {
		instanceIndex, instanceCount = c.Quota()
	}
	terms := &broker.Terms{Version: version, Settings: d.Settings(instanceIndex, instanceCount)}
	if err := terms.Check(); err != nil {
		return nil, err
	}
	for _, store := range c.Stores {
		if store.RingPosition >= terms.Settings.RingSize {
			return nil, fmt.Errorf("store %s is in cell %d, but the layout has only %d cells", store.Name, store.RingPosition, terms.Settings.RingSize)
		}
	}
	served := indices{}
	for _, indexConfig := range d.Indices {
		if err := c.checkIndex(terms.Settings, indexConfig); err != nil {
			return nil, err
		}
		isClass := func(class policy.Class) bool { return class.Name == indexConfig.Class }
		served[indexConfig.Name] = index{class: slices.IndexFunc(terms.Settings.Classes, isClass), shards: indexConfig.Shards}
	}
	terms.FrontData = served
	return terms, nil
}

// checkIndex returns an error if one of an index's shards is held by no store.
func (c *Config) checkIndex(settings policy.Settings, indexConfig document.Index) error {
	for _, shard := range indexConfig.Shards {
		holdsShard := func(store storepool.Store) bool {
			distance := ((store.RingPosition-shard)%settings.RingSize + settings.RingSize) % settings.RingSize
			return distance < settings.ReplicationFactor
		}
		if !slices.ContainsFunc(c.Stores, holdsShard) {
			return fmt.Errorf("index %s: no store here holds slice %d", indexConfig.Name, shard)
		}
	}
	return nil
}

// unknownTermsTick is the tick, in microseconds, of an instance that does not know the replicated configuration yet.
const unknownTermsTick = 5000

// UnknownTerms returns the terms of an instance that does not know the replicated configuration yet. They have no index, so
// every search is rejected.
func UnknownTerms() *broker.Terms {
	settings := policy.Settings{
		InstanceCount:     1,
		Tick:              unknownTermsTick,
		Shards:            1,
		RingSize:          1,
		ReplicationFactor: 1,
		Classes:           []policy.Class{{LatencyObjective: 1, Timeout: 1, RequiredCoverage: 1, MinCoverage: 1}},
	}
	return &broker.Terms{Settings: settings, FrontData: indices{}}
}
