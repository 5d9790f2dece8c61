package simcodec

import (
	"cmp"
	"slices"

	"alderproxy/policy"
)

// Batch is one frame of events, in the order in which they happened.
type Batch struct {
	Clock  policy.Micros
	Events []Addressed
}

// Addressed is an event or action with the number of the instance that it concerns.
type Addressed struct {
	Instance uint16
	Value    any
}

// Start starts an instance.
type Start struct {
	Seed     uint64 // the seed of its random numbers
	Settings string // see platformsettings.Parse
}

// Stop kills an instance.
type Stop struct{}

// ListMode says how a List relates to the list before.
type ListMode uint8

// The modes of a list.
const (
	Delta  ListMode = iota // it has the endpoints that changed
	Full                   // it has all endpoints
	Cached                 // it has all endpoints as they were known before
	Failed                 // the list could not be read
)

// List is an endpoint list, or a change of it.
type List struct {
	Version uint64
	Mode    ListMode
	Entries []policy.Endpoint
}

// Apply returns the endpoint list after a change, sorted by id. A delta replaces the endpoints that it has, any other mode
// replaces the whole list.
func (l List) Apply(current []policy.Endpoint) []policy.Endpoint {
	byID := map[uint32]policy.Endpoint{}
	if l.Mode == Delta {
		for _, endpoint := range current {
			byID[endpoint.ID] = endpoint
		}
	}
	for _, endpoint := range l.Entries {
		byID[endpoint.ID] = endpoint
	}
	endpoints := make([]policy.Endpoint, 0, len(byID))
	for _, endpoint := range byID {
		if endpoint.State != policy.Removed {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.SortFunc(endpoints, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return endpoints
}

// Streaming says that an answer has begun to arrive.
type Streaming struct {
	PartID       uint64
	AttemptIndex int
	ServerID     uint32
}

// Message is a message of another instance.
type Message struct {
	From uint16
	Data []byte
}

// AttemptResult is the result of an attempt with the values of its load report, which platformsettings.Values.LoadReport names.
type AttemptResult struct {
	policy.AttemptResult

	LoadValues []float32
	Final      bool
}

// HealthCheckResult is the result of a health check with the values of its load report, which platformsettings.Values.LoadReport names.
type HealthCheckResult struct {
	policy.HealthCheckResult

	LoadValues []float32
}
