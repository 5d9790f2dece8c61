// Command standin plays case 1: stores that speak the search API, one of which sends a second copy right behind some of its
// answers, and clients that check that every hit they get was made for their own search.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"alderproxy/review/harness"
)

const (
	shards = 4
	// workDuration is the time that a store takes for a part, as the pages state it for this deployment.
	workDuration = 120 * time.Millisecond
	// copyEvery is the number of answers of the bad store of which one has a second copy right behind it. A connection gets
	// at most one copy, so that nothing else waits on the connection when the copy is sent.
	copyEvery = 20
	// hitsPerPart and hitBytes give an answer of some 20 KB.
	hitsPerPart = 10
	hitBytes    = 2000

	clients       = 20
	playDuration  = 20 * time.Second
	clientPause   = 700 * time.Millisecond
	searchTimeout = 6 * time.Second
)

func main() { harness.Main(play) }

// counts are the totals of a run.
type counts struct{ served, foreign, unserved, copies, calls atomic.Int64 }

func play(r *harness.Run) (broken bool, err error) {
	var total counts
	var addrs []string
	for i := range 2 {
		listener, err := harness.Listen()
		if err != nil {
			return false, err
		}
		s := &store{run: r, total: &total, sendsCopies: r.Trouble && i == 0}
		go s.accept(listener)
		addrs = append(addrs, listener.Addr().String())
	}
	front, err := harness.FreeAddr()
	if err != nil {
		return false, err
	}
	path, err := r.WriteFile("instance.ini", fmt.Sprintf(`[instance]
id = n0
[opensearch]
listen = %s
[store s-1]
addr = %s
[store s-2]
addr = %s
[layout]
slices = %d
[limits]
max_open = 150
[class price-lookup]
aim = 1500ms
give_up = 4s
late_worth = 0.3
[index catalogue]
class = price-lookup
slices = 0-3
`, front, addrs[0], addrs[1], shards))
	if err != nil {
		return false, err
	}
	if _, err := r.StartProgram("ALDERPROXY_CONFIG="+path, "EDGE_CONFIG="); err != nil {
		return false, err
	}
	if err := r.AwaitReady(front); err != nil {
		return false, err
	}
	runClients(r, front, &total)
	r.Logf("searches: %d served, %d of them with hits made for another search, %d refused or failed",
		total.served.Load(), total.foreign.Load(), total.unserved.Load())
	r.Logf("stores: %d calls, %d answers with a second copy", total.calls.Load(), total.copies.Load())
	if total.served.Load() == 0 {
		return false, fmt.Errorf("no search was served")
	}
	if r.Trouble && total.copies.Load() == 0 {
		return false, fmt.Errorf("no second copy was sent")
	}
	return total.foreign.Load() > 0, nil
}

// runClients runs all clients until the end of the play.
func runClients(r *harness.Run, front string, total *counts) {
	var group sync.WaitGroup
	end := time.Now().Add(playDuration)
	for i := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			httpClient := &http.Client{Timeout: searchTimeout, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				search(r, httpClient, front, fmt.Sprintf("drawing-%02d-%04d", i, n), total)
				time.Sleep(clientPause)
			}
		}()
	}
	group.Wait()
}

// search makes one search and checks its hits.
func search(r *harness.Run, httpClient *http.Client, front, name string, total *counts) {
	body := fmt.Sprintf(`{"query":{"match":{"name":%q}},"size":%d}`, name, shards*hitsPerPart)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+front+"/catalogue/_search", strings.NewReader(body))
	if err != nil {
		r.Logf("%s: %v", name, err)
		return
	}
	request.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(request)
	if err != nil {
		total.unserved.Add(1)
		r.Logf("%s: %v", name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		total.unserved.Add(1)
		r.Logf("%s: status %d, error %v", name, resp.StatusCode, err)
		return
	}
	others, err := madeForOthers(text, name)
	if err != nil { // the client can tell
		total.unserved.Add(1)
		r.Logf("%s: status 200, not readable: %v", name, err)
		return
	}
	total.served.Add(1)
	if len(others) > 0 {
		total.foreign.Add(1)
		r.Logf("%s: status 200 with hits that a store made for %q", name, others)
		return
	}
	r.Logf("%s: status 200, all hits are its own", name)
}

// madeForOthers returns the names of other searches for which hits of a response were made.
func madeForOthers(text []byte, name string) (others []string, err error) {
	var response struct {
		Hits struct {
			Hits []struct {
				Source struct {
					Asked string `json:"asked"`
				} `json:"_source"`
			} `json:"hits"`
		} `json:"hits"`
	}
	if err := json.Unmarshal(text, &response); err != nil {
		return nil, err
	}
	for _, hit := range response.Hits.Hits {
		if hit.Source.Asked != name && !slices.Contains(others, hit.Source.Asked) {
			others = append(others, hit.Source.Asked)
		}
	}
	return others, nil
}

// store is a stand-in for a store that answers searches, one at a time on each connection.
type store struct {
	run         *harness.Run
	total       *counts
	sendsCopies bool
	answers     atomic.Int64
}

func (s *store) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *store) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	copySent := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.total.calls.Add(1)
		time.Sleep(workDuration)
		answer := answerTo(request.URL.RawQuery, body)
		if s.sendsCopies && !copySent && s.answers.Add(1)%copyEvery == 0 {
			copySent = true
			s.total.copies.Add(1)
			s.run.Logf("store s-1: a second copy right behind the answer to %s, shard %s", searchName(body), shardOf(request.URL.RawQuery))
			answer = append(answer, answer...)
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answerTo returns the answer to a search of one shard. Each hit names the search that it was made for.
func answerTo(query string, body []byte) []byte {
	var hits []string
	for i := range hitsPerPart {
		hits = append(hits, fmt.Sprintf(`{"_index":"catalogue","_id":"%s-%d","_score":%d.5,"_source":{"asked":%q,"text":%q}}`,
			shardOf(query), i, hitsPerPart-i, searchName(body), strings.Repeat("x", hitBytes)))
	}
	text := fmt.Sprintf(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
		`"hits":{"total":{"value":%d,"relation":"eq"},"max_score":%d.5,"hits":[%s]}}`, len(hits), hitsPerPart, strings.Join(hits, ","))
	return []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
}

// shardOf returns the shard that the parameters of a search name.
func shardOf(query string) string {
	_, shard, _ := strings.Cut(query, "_shards:")
	shard, _, _ = strings.Cut(shard, "&")
	return shard
}

// searchName returns the name that a search looks for.
func searchName(body []byte) string {
	var search struct {
		Query struct {
			Match struct {
				Name string `json:"name"`
			} `json:"match"`
		} `json:"query"`
	}
	_ = json.Unmarshal(body, &search) // a search without a name gets hits without one
	return search.Query.Match.Name
}
