package main

import (
	"errors"
	"fmt"

	"alderproxy/internal/platformsettings"
	"alderproxy/internal/simcodec"
	"alderproxy/policy"
)

// errNotStarted is the error of an event for an instance that does not exist.
var errNotStarted = errors.New("an instance that was never started")

// host is the instances by number.
type host struct {
	instances map[uint16]*instance
	order     []uint16 // instances with events in this batch, by first mention
}

// instance is one decision module.
type instance struct {
	settings  *platformsettings.Values
	policy    *policy.Aggregator
	endpoints []policy.Endpoint
	events    []policy.Event // of this batch
	queued    bool           // it is in the host's order
}

// step hands each instance its events of the batch in one Step, in the order of first mention.
func (h *host) step(batch simcodec.Batch) ([]simcodec.Addressed, error) {
	h.order = h.order[:0]
	for _, event := range batch.Events {
		if err := h.queue(event); err != nil {
			return nil, fmt.Errorf("instance %d: %w", event.Instance, err)
		}
	}
	var actions []simcodec.Addressed
	for _, number := range h.order {
		it := h.instances[number]
		if it == nil || !it.queued {
			continue // stopped within the batch, or served already
		}
		for _, action := range it.step(batch.Clock) {
			actions = append(actions, simcodec.Addressed{Instance: number, Value: action})
		}
	}
	return actions, nil
}

// queue takes one event of a batch.
func (h *host) queue(event simcodec.Addressed) error {
	if start, ok := event.Value.(simcodec.Start); ok {
		return h.start(event.Instance, start)
	}
	it := h.instances[event.Instance]
	if it == nil {
		return fmt.Errorf("%T for %w", event.Value, errNotStarted)
	}
	if _, ok := event.Value.(simcodec.Stop); ok {
		delete(h.instances, event.Instance)
		return nil
	}
	if !it.queued {
		it.queued = true
		h.order = append(h.order, event.Instance)
	}
	if translated := it.translate(event.Value); translated != nil {
		it.events = append(it.events, translated)
	}
	return nil
}

func (h *host) start(number uint16, start simcodec.Start) error {
	values := platformsettings.Parse(start.Settings)
	settings, err := values.Settings()
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	aggregator, err := policy.New(settings, start.Seed)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	h.instances[number] = &instance{settings: values, policy: aggregator, queued: true}
	h.order = append(h.order, number)
	return nil
}

// step returns the actions of a batch, or, where the decision module panics, a crash.
func (it *instance) step(now policy.Micros) (actions []any) {
	events := it.events
	it.queued = false
	it.events = it.events[:0]
	defer func() {
		if cause := recover(); cause != nil {
			actions = []any{simcodec.Crash{Text: fmt.Sprint("decision code panicked: ", cause)}}
		}
	}()
	for _, action := range it.policy.Step(now, events) {
		actions = append(actions, action)
	}
	return actions
}

// translate returns the decision module's event; nil: it has none.
func (it *instance) translate(event any) policy.Event {
	switch e := event.(type) {
	case simcodec.List:
		if e.Mode == simcodec.Failed {
			return policy.EndpointListFailed{}
		}
		it.endpoints = e.Apply(it.endpoints)
		return policy.EndpointList{Endpoints: it.endpoints}
	case simcodec.AttemptResult:
		e.Report = it.settings.LoadReport(e.LoadValues)
		return e.AttemptResult
	case simcodec.HealthCheckResult:
		e.Report = it.settings.LoadReport(e.LoadValues)
		return e.HealthCheckResult
	case policy.Event:
		return e
	}
	return nil
}
