package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// queryLoad is queries on both fronts of some instances, one after the other on a connection each, until it is stopped.
type queryLoad struct {
	cluster    *cluster
	stopping   atomic.Bool
	mu         sync.Mutex
	replacedAt map[string]time.Time // when a version was known to be replaced
	results    chan loadResult
	workers    int
}

// loadResult is what became of queries. Each must have one final answer, by a version that was not replaced for longer
// than the bound; versions never go back.
type loadResult struct {
	sent, served, rejected int
	violations             []string
}

func (r *cluster) startLoad(names ...string) *queryLoad {
	l := &queryLoad{cluster: r, replacedAt: map[string]time.Time{}, results: make(chan loadResult)}
	for _, name := range names {
		i := r.instances[name]
		go l.run(i.searchAddr, func(int) []byte { return searchRequest() })
		go l.run(i.platformAddr, func(n int) []byte { return platformRequest(fmt.Sprint(name, "-", n)) })
		l.workers += 2
	}
	return l
}

// versionReplaced notes that a version is replaced by now.
func (l *queryLoad) versionReplaced(old uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replacedAt[fmt.Sprint(old)] = time.Now()
}

func (l *queryLoad) run(addr string, request func(int) []byte) {
	var sum loadResult
	defer func() { l.results <- sum }()
	last := ""
	c, err := net.Dial("tcp", addr) // one connection: a second answer to a query would come before the next one's
	if err != nil {
		sum.violations = append(sum.violations, err.Error())
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; !l.stopping.Load() && len(sum.violations) == 0; n++ {
		began := time.Now()
		c.SetDeadline(began.Add(5 * time.Second))
		c.Write(request(n))
		status, version, err := readAnswer(in)
		sum.sent++
		l.mu.Lock()
		at, old := l.replacedAt[version]
		l.mu.Unlock()
		switch {
		case err != nil || in.Buffered() > 0 || status != 200 && status != 429 && status != 503:
			sum.violations = append(sum.violations, fmt.Sprint(status, " ", err, " ", in.Buffered()))
		case status != 200:
			sum.rejected++
		case len(version) < len(last) || len(version) == len(last) && version < last:
			sum.violations = append(sum.violations, version+" after "+last)
		case old && began.Sub(at) > l.cluster.stalenessBound:
			sum.violations = append(sum.violations, fmt.Sprint("version ", version, " served ", began.Sub(at), " after it was replaced"))
		default:
			sum.served, last = sum.served+1, version
		}
		if status != 200 {
			time.Sleep(10 * time.Millisecond) // as Retry-After asks, but sooner
		}
	}
	if len(sum.violations) > 0 {
		return
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		sum.violations = append(sum.violations, fmt.Sprint("more came than was asked for: ", err))
	}
}

func (l *queryLoad) stop() (sum loadResult) {
	l.stopping.Store(true)
	for range l.workers {
		t := <-l.results
		sum.sent, sum.served, sum.rejected, sum.violations = sum.sent+t.sent, sum.served+t.served, sum.rejected+t.rejected, append(sum.violations, t.violations...)
	}
	return sum
}
