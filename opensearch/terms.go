package opensearch

import (
	"fmt"
	"slices"

	"alderproxy/broker"
	"alderproxy/document"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// Config is the configuration of the front itself. What it serves by comes from a document; see Terms.
type Config struct {
	Listen         string
	MaxConnections int // of clients
	Limits         storepool.Limits
	Stores         []storepool.Store
	InstanceIndex  int // of this instance among those that share the stores' capacity
	InstanceCount  int
	// Quota returns the present index and count; nil: InstanceIndex and InstanceCount hold.
	Quota func() (index, count int)
}

// Terms returns the terms by which the front serves a version of the document; version 0: the instance's own document. An
// error says why it cannot.
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
			return nil, fmt.Errorf("store %s is in cell %d, and the layout has %d", store.Name, store.RingPosition, terms.Settings.RingSize)
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

// checkIndex returns an error where no store holds one of an index's shards.
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

// unknownTermsTick is the tick of an instance without terms, in microseconds.
const unknownTermsTick = 5000

// UnknownTerms returns the terms of an instance that does not know the shared document yet. They have no index, so every
// query is rejected.
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
