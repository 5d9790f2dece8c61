// Command simadapter is the adapter between the policy and the simulator's wire: it hosts any number
// of aggregators, keeps each one's server list, and translates. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"alderproxy/internal/simcodec"
	"alderproxy/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	decoder := simcodec.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	host := host{instances: map[uint16]*instance{}}
	replies := bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read events: %w", err)
		}
		actions, err := host.turn(batch)
		if err != nil {
			return fmt.Errorf("at clock %d: %w", batch.Clock, err)
		}
		if err := simcodec.WriteReply(replies, actions); err != nil {
			return err
		}
		if err := replies.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
	}
}

// instance is one aggregator with what the adapter keeps for it.
type instance struct {
	facts   *simcodec.Facts
	policy  *policy.Aggregator
	servers []policy.Endpoint
	events  []policy.Event
	queued  bool
}

type host struct {
	instances map[uint16]*instance
	order     []uint16 // instances with events in this batch
}

// turn hands each instance its events of the batch as one Step, in order of first mention.
func (h *host) turn(batch simcodec.Batch) ([]simcodec.Addressed, error) {
	h.order = h.order[:0]
	for _, e := range batch.Events {
		if err := h.take(e); err != nil {
			return nil, fmt.Errorf("instance %d: %w", e.Instance, err)
		}
	}
	var out []simcodec.Addressed
	for _, number := range h.order {
		it := h.instances[number]
		if it == nil || !it.queued {
			continue // killed within the batch, or already served
		}
		it.queued = false
		actions, crash := step(it.policy, batch.Clock, it.events)
		for _, a := range actions {
			out = append(out, simcodec.Addressed{Instance: number, What: a})
		}
		if crash != "" {
			out = append(out, simcodec.Addressed{Instance: number, What: simcodec.Crash{Text: crash}})
		}
		it.events = it.events[:0]
	}
	return out, nil
}

func step(p *policy.Aggregator, now policy.Micros, events []policy.Event) (out []policy.Action, crash string) {
	defer func() {
		if r := recover(); r != nil {
			out, crash = nil, fmt.Sprint("decision code panicked: ", r)
		}
	}()
	return p.Step(now, events), ""
}

func (h *host) take(e simcodec.Addressed) error {
	if hello, ok := e.What.(simcodec.Hello); ok {
		return h.start(e.Instance, hello)
	}
	it := h.instances[e.Instance]
	if it == nil {
		return fmt.Errorf("%T for an instance that was never started", e.What)
	}
	if _, ok := e.What.(simcodec.Down); ok {
		delete(h.instances, e.Instance)
		return nil
	}
	if !it.queued {
		it.queued = true
		h.order = append(h.order, e.Instance)
	}
	if event := it.translate(e.What); event != nil {
		it.events = append(it.events, event)
	}
	return nil
}

func (h *host) start(number uint16, hello simcodec.Hello) error {
	facts := simcodec.ParseFacts(hello.Facts)
	settings, err := facts.Settings()
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	p, err := policy.New(settings, hello.Salt)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	h.instances[number] = &instance{facts: facts, policy: p, queued: true}
	h.order = append(h.order, number)
	return nil
}

func (it *instance) translate(what any) policy.Event {
	switch e := what.(type) {
	case simcodec.List:
		if e.Mode == simcodec.Failed {
			return policy.EndpointListFailed{}
		}
		it.servers = e.Apply(it.servers)
		return policy.EndpointList{Endpoints: it.servers}
	case simcodec.Answered:
		e.AttemptResult.Report = it.facts.Report(e.Figures)
		return e.AttemptResult
	case simcodec.Probed:
		e.HealthCheckResult.Report = it.facts.Report(e.Figures)
		return e.HealthCheckResult
	case policy.Event:
		return e
	}
	return nil // streams and peer messages: the policy uses neither
}
