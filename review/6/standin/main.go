// Command standin is case 6: stores whose answers are noise now and then.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"alderproxy/httpwire"
	"alderproxy/review/rig"
)

const (
	queries   = 600              // at most
	length    = 20 * time.Second // of the load, at most
	storeWork = 20 * time.Millisecond
	spoiltOne = 40 // one in so many answers of each store
)

func main() { rig.Run(play) }

// answer is the body of an answer that was served.
type answer struct {
	Entire bool `json:"entire"`
	Items  []struct {
		Slice int    `json:"slice"`
		Body  string `json:"body"`
	} `json:"items"`
}

// noise returns a function that spoils one in spoiltOne values: bytes from 0x80 to 0xff in place of the value's.
func noise() func(string) string {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(3, 4))
	count := 0
	return func(made string) string {
		mu.Lock()
		defer mu.Unlock()
		if count++; count%spoiltOne != 0 {
			return made
		}
		spoilt := make([]byte, len(made))
		for i := range spoilt {
			spoilt[i] = byte(0x80 + random.IntN(0x80))
		}
		return string(spoilt)
	}
}

func play(t *rig.Trial) error {
	var stores []*rig.Store
	var entries []rig.Entry
	for _, name := range []string{"s-1", "s-2"} {
		s, err := t.StartStore(name, storeWork)
		if err != nil {
			return err
		}
		if t.Trouble {
			s.Spoil = noise()
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
	c, err := rig.Dial(gatherer.Addr)
	if err != nil {
		return err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	begin := time.Now()
	for i := 0; i < queries && time.Since(begin) < length; i++ {
		id := fmt.Sprintf("%016x", 0x9b1f03aa5c7e7d00+uint64(i))
		if _, err := c.Write(rig.Request("price-lookup", id, "4.000", "", "c41e77d0", 0, 1, 2, 3)); err != nil {
			return err
		}
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := httpwire.ReadResponse(reader)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		t.Record("%s answered %d: %s", id, response.Status, response.Body)
		if response.Status == 200 {
			if err := check(t, id, response.Body, stores); err != nil {
				return err
			}
		}
	}
	if t.Trouble && stores[0].Spoilt()+stores[1].Spoilt() == 0 {
		return errors.New("no answer was spoilt")
	}
	return nil
}

// check compares the values of an answer with those that the stores sent for its parts.
func check(t *rig.Trial, id string, body []byte, stores []*rig.Store) error {
	var served answer
	if err := json.Unmarshal(body, &served); err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	for _, item := range served.Items {
		part := fmt.Sprintf("%s.%d", id, item.Slice)
		var sent []string
		for _, s := range stores {
			sent = append(sent, s.Sent(part)...)
		}
		if !slices.Contains(sent, item.Body) {
			t.Break("lost: part %s was served as %q, entire %t; the stores sent %q", part, item.Body, served.Entire, sent)
		}
	}
	return nil
}
