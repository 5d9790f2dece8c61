// Command standin is case 6: a client that sends many requests at once on one connection.
package main

import (
	"bufio"
	"fmt"
	"strings"
	"time"

	"alderproxy/httpwire"
	"alderproxy/review/rig"
)

const (
	requests  = 20
	timeout   = 4 * time.Second
	slack     = 500 * time.Millisecond // up to half a second after its time an answer only earns nothing
	storeWork = 20 * time.Millisecond
)

func main() { rig.Run(play) }

// request is one request and what became of it.
type request struct {
	id     string
	text   []byte
	sentAt time.Time
	status int
}

func play(t *rig.Trial) error {
	var entries []rig.Entry
	for _, name := range []string{"s-1", "s-2"} {
		s, err := t.StartStore(name, storeWork)
		if err != nil {
			return err
		}
		entries = append(entries, s.Entry(0, "in_service"))
	}
	discovery, err := rig.StartDiscovery(entries...)
	if err != nil {
		return err
	}
	gatherer, err := t.StartGatherer("n0", discovery.Addr, rig.Settings(rig.KlangClasses()))
	if err != nil {
		return err
	}
	var pending []*request
	for i := range requests {
		id := fmt.Sprintf("%016x", 0x9b1f03aa5c7e2d00+uint64(i))
		drawing := strings.Repeat(fmt.Sprintf("c41e77%02x", i), 150) // 1.2 kB
		pending = append(pending, &request{id: id, text: rig.Request("price-lookup", id, "4.000", "", drawing, i%4)})
	}
	atOnce := 1
	if t.Trouble {
		atOnce = len(pending)
	}
	// A request whose connection the gatherer closes is sent once more on a new connection, with all others that were unanswered.
	for try := 1; try <= 2 && len(pending) > 0; try++ {
		if pending, err = send(t, gatherer.Addr, pending, atOnce); err != nil {
			return err
		}
		t.Record("try %d: %d requests have no answer", try, len(pending))
	}
	for _, r := range pending {
		t.Break("lost: %s was written twice to a connection that the gatherer accepted, and has no answer", r.id)
	}
	return nil
}

// send writes requests to one connection, at most atOnce before their answers, and returns those without an answer.
func send(t *rig.Trial, addr string, all []*request, atOnce int) (unanswered []*request, err error) {
	c, err := rig.Dial(addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for len(all) > 0 {
		batch := all[:min(atOnce, len(all))]
		var text []byte
		for _, r := range batch {
			text = append(text, r.text...)
		}
		if _, err := c.Write(text); err != nil {
			t.Record("cannot write %d requests: %v", len(batch), err)
			return all, nil
		}
		for _, r := range batch {
			r.sentAt = time.Now()
		}
		t.Record("wrote %d requests, %d bytes, to %s", len(batch), len(text), addr)
		for _, r := range batch {
			c.SetReadDeadline(r.sentAt.Add(timeout + slack))
			response, err := httpwire.ReadResponse(reader)
			if err != nil {
				t.Record("%s has no answer %.3f s after it was sent: %v", r.id, time.Since(r.sentAt).Seconds(), err)
				return all, nil
			}
			r.status = response.Status
			t.Record("%s answered %d after %.3f s, connection ends: %t", r.id, r.status, time.Since(r.sentAt).Seconds(), response.Close)
			all = all[1:]
		}
	}
	return nil, nil
}
