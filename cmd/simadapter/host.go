package main

import (
	"errors"
	"fmt"

	"alderproxy/internal/platformsettings"
	"alderproxy/internal/simcodec"
	"alderproxy/policy"
)

// errNotStarted is the error of an event for an instance that does not run.
var errNotStarted = errors.New("the instance was never started or has stopped")

// host runs the instances of the decision module, which the simulator identifies by number.
type host struct {
	instances map[uint16]*instance
	pending   []uint16 // instances with a start or an event in this batch, in the order of their first one
}

// instance is one instance of the decision module.
type instance struct {
	settings  *platformsettings.Values
	policy    *policy.Aggregator
	endpoints []policy.Endpoint
	events    []policy.Event // events of this batch
	queued    bool           // it is in host.pending
}

// step passes each instance its events of the batch in a single Step, in the order of their first events, and returns all
// actions.
func (h *host) step(batch simcodec.Batch) ([]simcodec.Addressed, error) {
	h.pending = h.pending[:0]
	for _, event := range batch.Events {
		if err := h.queue(event); err != nil {
			return nil, fmt.Errorf("instance %d: %w", event.Instance, err)
		}
	}
	var actions []simcodec.Addressed
	for _, number := range h.pending {
		inst := h.instances[number]
		if inst == nil || !inst.queued {
			continue // it was stopped within the batch, or its events were passed already
		}
		for _, action := range inst.step(batch.Clock) {
			actions = append(actions, simcodec.Addressed{Instance: number, Value: action})
		}
	}
	return actions, nil
}

// queue queues one event for its instance. Start and Stop take effect immediately.
func (h *host) queue(event simcodec.Addressed) error {
	if start, ok := event.Value.(simcodec.Start); ok {
		return h.start(event.Instance, start)
	}
	inst := h.instances[event.Instance]
	if inst == nil {
		return fmt.Errorf("%T: %w", event.Value, errNotStarted)
	}
	if _, ok := event.Value.(simcodec.Stop); ok {
		delete(h.instances, event.Instance)
		return nil
	}
	if !inst.queued {
		inst.queued = true
		h.pending = append(h.pending, event.Instance)
	}
	if translated := inst.translate(event.Value); translated != nil {
		inst.events = append(inst.events, translated)
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
		return fmt.Errorf("create aggregator: %w", err)
	}
	h.instances[number] = &instance{settings: values, policy: aggregator, queued: true}
	h.pending = append(h.pending, number)
	return nil
}

// step returns the actions for the events of a batch. If the decision module panics, it returns a Crash alone.
func (inst *instance) step(now policy.Micros) (actions []any) {
	events := inst.events
	inst.queued = false
	inst.events = inst.events[:0]
	defer func() {
		if cause := recover(); cause != nil {
			actions = []any{simcodec.Crash{Text: fmt.Sprint("decision code panicked: ", cause)}}
		}
	}()
	for _, action := range inst.policy.Step(now, events) {
		actions = append(actions, action)
	}
	return actions
}

// translate returns the decision module's form of an event; nil if it has none.
func (inst *instance) translate(event any) policy.Event {
	switch e := event.(type) {
	case simcodec.List:
		if e.Mode == simcodec.Failed {
			return policy.EndpointListFailed{}
		}
		inst.endpoints = e.Apply(inst.endpoints)
		return policy.EndpointList{Endpoints: inst.endpoints}
	case simcodec.AttemptResult:
		e.Report = inst.settings.LoadReport(e.LoadValues)
		return e.AttemptResult
	case simcodec.HealthCheckResult:
		e.Report = inst.settings.LoadReport(e.LoadValues)
		return e.HealthCheckResult
	case policy.Event:
		return e
	}
	return nil
}
