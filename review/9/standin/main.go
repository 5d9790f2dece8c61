// Command standin is case 9: a discovery that takes some time for each answer, where lists are asked for.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"time"

	"alderproxy/httpwire"
	"alderproxy/review/rig"
)

const (
	stores    = 8
	delay     = 2500 * time.Millisecond // of each answer of a slow discovery
	storeWork = 20 * time.Millisecond
	told      = 6 * time.Second        // a change counts as told that long after discovery had it
	grace     = 550 * time.Millisecond // drain_grace_us, and 50 ms on sockets
	interval  = 20 * time.Millisecond  // between two requests
	before    = 10 * time.Second       // from the start of the load to the drain
	after     = 15 * time.Second       // from the drain to the end of the load
)

func main() { rig.Run(play) }

func play(t *rig.Trial) error {
	var all []*rig.Store
	var listed, drained []rig.Entry
	for i := range stores {
		s, err := t.StartStore(fmt.Sprintf("s-%08x", 0x5be2a07c+i), storeWork)
		if err != nil {
			return err
		}
		all = append(all, s)
		listed = append(listed, s.Entry(0, "in_service"))
		state := "in_service"
		if i%4 == 0 {
			state = "terminating"
		}
		drained = append(drained, s.Entry(0, state))
	}
	discovery, err := rig.StartDiscovery(listed...)
	if err != nil {
		return err
	}
	if t.Trouble {
		discovery.Delay = delay
	}
	settings := rig.Settings(rig.KlangClasses())
	settings["discovery"] = "subscribe"
	gatherer, err := t.StartGathererKnowing("n0", discovery.Addr, settings, map[string]any{"version": 1, "full": true, "servers": listed})
	if err != nil {
		return err
	}
	drainAt := time.Now().Add(before)
	time.AfterFunc(before, func() {
		t.Record("a quarter of the stores drain")
		discovery.SetEntries(drained...)
	})
	if err := load(t, gatherer.Addr, drainAt.Add(after)); err != nil {
		return err
	}
	for i, s := range all {
		for _, a := range s.Attempts() {
			if late := a.At.Sub(drainAt); drained[i].State == "terminating" && late > told+grace {
				t.Break("drain: %s was sent part %s %.3f s after discovery had its drain", s.Name, a.ID, late.Seconds())
			}
		}
	}
	t.Record("the gatherer's log: %s", t.Log("n0"))
	_, err = t.StartGatherer("n1", discovery.Addr, settings)
	if errors.Is(err, rig.ErrNotReady) {
		t.Break("ready: %v", err)
		return nil
	}
	return err
}

// load sends requests one after the other until a time.
func load(t *rig.Trial, addr string, until time.Time) error {
	c, err := rig.Dial(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	served := map[int]int{}
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("%016x", 0x9b1f03aa5c7e5d00+uint64(i))
		if _, err := c.Write(rig.Request("price-lookup", id, "4.000", "", "c41e77d0", 0, 1, 2, 3)); err != nil {
			return err
		}
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := httpwire.ReadResponse(reader)
		if err != nil {
			return err
		}
		served[response.Status]++
		t.Record("%s answered %d", id, response.Status)
		time.Sleep(interval)
	}
	t.Record("answers by status: %v", served)
	return nil
}
