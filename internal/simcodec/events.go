package simcodec

import (
	"cmp"
	"slices"

	"alderproxy/policy"
)

// Batch is one frame of events, in the order in which they occurred.
type Batch struct {
	Clock  policy.Micros
	Events []Addressed
}

// Addressed is an event or action and the number of the instance that it concerns.
type Addressed struct {
	Instance uint16
	Value    any
}

// Start starts an instance.
type Start struct {
	Seed     uint64 // the seed of the instance's random numbers
	Settings string // in the form that platformsettings.Parse reads
}

// Stop terminates an instance without notice.
type Stop struct{}

// ListMode is the relation of a List to the list that the instance has.
type ListMode uint8

// List modes.
const (
	Delta  ListMode = iota // contains the endpoints that changed
	Full                   // contains all endpoints
	Cached                 // contains all endpoints as they were last known
	Failed                 // contains nothing, as the list could not be read
)

// List is an endpoint list or a change to one.
type List struct {
	Version uint64
	Mode    ListMode
	Entries []policy.Endpoint
}

// Apply returns the endpoint list that results from the current one, sorted by ID. A delta replaces the endpoints that it
// contains, any other mode replaces the whole list. Endpoints in the state Removed are left out.
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

// Streaming reports that the answer to an attempt has begun to arrive.
type Streaming struct {
	PartID       uint64
	AttemptIndex int
	ServerID     uint32
}

// Message is a message from another instance.
type Message struct {
	From uint16
	Data []byte
}

// AttemptResult is the result of an attempt with the values of its load report, which platformsettings.Values.LoadReport
// decodes.
type AttemptResult struct {
	policy.AttemptResult

	LoadValues []float32
	Final      bool
}

// HealthCheckResult is the result of a health check with the values of its load report, which
// platformsettings.Values.LoadReport decodes.
type HealthCheckResult struct {
	policy.HealthCheckResult

	LoadValues []float32
}
