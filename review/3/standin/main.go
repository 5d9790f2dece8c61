// Command standin plays case 3: a client whose requests hold bytes that are no text in UTF-8, so that they cannot be read as
// JSON, beside usual clients. Each store compares the text of each part with the texts that clients have sent.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"alderproxy/review/harness"
)

const (
	work = 120 * time.Millisecond
	// badRequests is the number of requests of the bad client.
	badRequests = 20

	clients      = 16
	clientPause  = 600 * time.Millisecond
	playDuration = 10 * time.Second
	badTimeout   = 3 * time.Second
)

func main() { harness.Main(play) }

// texts has the texts that clients have sent, and what came of them.
type texts struct {
	mu        sync.Mutex
	sent      map[string]bool
	parts     int // parts that stores got
	unsent    int // parts with a text that no client has sent
	badServed int // requests of the bad client that were served
	badEnded  int // those that ended by an error or a close
}

func (t *texts) send(filter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[filter] = true
}

func (t *texts) check(r *harness.Run, store string, p harness.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts++
	if !t.sent[p.Filter] {
		t.unsent++
		r.Logf("store %s: part %s has the text %x (%q), which no client has sent", store, p.ID, p.Filter, p.Filter)
	}
}

func play(r *harness.Run) (broken bool, err error) {
	t := &texts{sent: map[string]bool{}}
	fleet, err := r.StartFleet(func(s *harness.Store) {
		s.Work = work
		s.OnPart = func(p harness.Part) bool {
			t.check(r, s.Name, p)
			return true
		}
	})
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		runBadClient(r, fleet.Front, t)
	}()
	var mu sync.Mutex
	var served, unserved int
	load := harness.UsualLoad{Clients: clients, Pause: clientPause, Duration: playDuration, Before: func(q harness.Query) { t.send(q.Filter) }}
	load.Run(fleet.Front, func(q harness.Query, a harness.Answer, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil || a.Status != http.StatusOK {
			unserved++
			r.Logf("client: %s: status %d, error %v", q.ID, a.Status, err)
			return
		}
		served++
	})
	<-done
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Logf("bad client: %d requests, %d served, %d ended by an error or a close", badRequests, t.badServed, t.badEnded)
	r.Logf("usual clients: %d queries served, %d not", served, unserved)
	r.Logf("stores: %d parts, %d of them with a text that no client has sent", t.parts, t.unsent)
	if t.parts == 0 {
		return false, fmt.Errorf("the stores got no part")
	}
	return t.unsent > 0 || r.Trouble && t.badServed > 0, nil
}

// runBadClient sends requests for two names in turn that differ in one letter. It writes that letter in Latin-1, a byte that is
// no UTF-8. Without trouble it writes the same names in UTF-8.
func runBadClient(r *harness.Run, front string, t *texts) {
	names := []string{"M\xfcller", "M\xf6ller"}
	if !r.Trouble {
		names = []string{"Müller", "Möller"}
	}
	bad := &harness.Client{Front: front, Timeout: badTimeout}
	for n := range badRequests {
		filter := names[n%len(names)]
		t.send(filter)
		answer, err := bad.Do(harness.Query{ID: fmt.Sprintf("bad%013x", n), Filter: filter, Shards: []int{0, 1}})
		r.Logf("bad client: text %x: status %d, entire %t, values %v, error %v", filter, answer.Status, answer.Entire, answer.Values, err)
		t.mu.Lock()
		if answer.Status == http.StatusOK {
			t.badServed++
		} else {
			t.badEnded++
		}
		t.mu.Unlock()
		time.Sleep(clientPause / 4)
	}
}
