// Command standin plays case 3: a store some of whose answers hold noise in place of the value.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"alderproxy/review/harness"
)

const (
	work = 120 * time.Millisecond
	// badStore is the store that spoils answers: one of every noiseEvery.
	badStore   = "s-1"
	noiseEvery = 5
	// noise is what stands in place of a value. It is no text in UTF-8, so that no JSON string can hold it.
	noise = "\xff\x9c\xfe\x80\xc3\x28\xf5\xff\x81\xfe"

	clients      = 16
	clientPause  = 600 * time.Millisecond
	playDuration = 15 * time.Second
)

func main() { harness.Main(play) }

func play(r *harness.Run) (broken bool, err error) {
	var spoilt, answers atomic.Int64
	fleet, err := r.StartFleet(func(s *harness.Store) {
		s.Work = work
		if s.Name != badStore || !r.Trouble {
			return
		}
		s.MakeValue = func(p harness.Part) string {
			if answers.Add(1)%noiseEvery != 0 {
				return harness.Value(p.Shard, p.Filter)
			}
			spoilt.Add(1)
			r.Logf("store %s: answers part %s with noise %x", badStore, p.ID, noise)
			return noise
		}
	})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var served, altered, unserved int
	harness.Load(fleet.Front, clients, clientPause, playDuration, func(q harness.Query, a harness.Answer, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil || a.Status != 200 {
			unserved++
			r.Logf("client: %s: status %d, error %v", q.ID, a.Status, err)
			return
		}
		served++
		var wrong []string
		for _, shard := range q.Shards {
			if value := a.Values[shard]; value != harness.Value(shard, q.Filter) {
				wrong = append(wrong, fmt.Sprintf("shard %d: %q in place of %q", shard, value, harness.Value(shard, q.Filter)))
			}
		}
		if len(wrong) > 0 {
			altered++
			r.Logf("client: %s: status 200, entire %t, with values that no store made: %s", q.ID, a.Entire, strings.Join(wrong, "; "))
			return
		}
		r.Logf("client: %s: status 200, entire %t, all values as the stores made them", q.ID, a.Entire)
	})
	r.Logf("queries: %d served, %d of them with a value that no store made, %d not served", served, altered, unserved)
	r.Logf("spoilt answers of %s: %d", badStore, spoilt.Load())
	if served == 0 {
		return false, fmt.Errorf("no query was served")
	}
	return altered > 0, nil
}
