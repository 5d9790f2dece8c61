// Command standin is case 7: a client that sends many requests at once on one connection, which the stores answer at their
// usual pace.
package main

import (
	"bufio"
	"fmt"
	"time"

	"alderproxy/httpwire"
	"alderproxy/review/rig"
)

const (
	requests  = 30
	timeout   = 2400 * time.Millisecond // 60 % of the class's give-up time
	slack     = 500 * time.Millisecond  // up to half a second after its time an answer only earns nothing
	leftSlack = 150 * time.Millisecond  // of the time that an attempt tells its store
	storeWork = 150 * time.Millisecond
)

func main() { rig.Run(play) }

func play(t *rig.Trial) error {
	var stores []*rig.Store
	var entries []rig.Entry
	for _, name := range []string{"s-1", "s-2"} {
		s, err := t.StartStore(name, storeWork)
		if err != nil {
			return err
		}
		stores = append(stores, s)
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
	atOnce := 1
	if t.Trouble {
		atOnce = requests
	}
	sentAt, err := ask(t, gatherer.Addr, atOnce)
	if err != nil {
		return err
	}
	for _, s := range stores {
		for _, a := range s.Attempts() {
			if left := sentAt[a.QueryID()].Add(timeout).Sub(a.At); a.TimeLeft > left+leftSlack {
				t.Record("attempt %s tells its store %d ms, its client has %d ms left", a.ID, a.TimeLeft.Milliseconds(), left.Milliseconds())
			}
		}
	}
	return nil
}

// ask sends the requests on one connection, at most atOnce before their answers, and reads the answers. It returns the times at
// which the last bytes of the requests were written.
func ask(t *rig.Trial, addr string, atOnce int) (map[string]time.Time, error) {
	c, err := rig.Dial(addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	sentAt := map[string]time.Time{}
	for first := 0; first < requests; first += atOnce {
		var text []byte
		var ids []string
		for i := range atOnce {
			id := fmt.Sprintf("%016x", 0x9b1f03aa5c7e3d00+uint64(first+i))
			ids = append(ids, id)
			text = append(text, rig.Request("price-lookup", id, "2.400", "", "c41e77d0", (first+i)%4)...)
		}
		if _, err := c.Write(text); err != nil {
			return nil, err
		}
		written := time.Now()
		t.Record("wrote %d requests, %d bytes", len(ids), len(text))
		for _, id := range ids {
			sentAt[id] = written
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			response, err := httpwire.ReadResponse(reader)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", id, err)
			}
			after := time.Since(written)
			t.Record("%s answered %d after %.3f s", id, response.Status, after.Seconds())
			if after > timeout+slack {
				t.Break("lost: %s got its final answer %.3f s after it was sent, its time is %.3f s", id, after.Seconds(), timeout.Seconds())
			}
		}
	}
	return sentAt, nil
}
