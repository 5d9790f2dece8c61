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

// queryLoad sends queries to both fronts of instances, one after the other on one connection for each front, until it is
// stopped.
type queryLoad struct {
	cluster    *cluster
	stopping   atomic.Bool
	mu         sync.Mutex
	replacedAt map[string]time.Time // by version: the time at which it was known to be replaced
	results    chan loadResult
	workers    int
}

// loadResult contains the outcomes of queries. A violation is a query without exactly one final answer, or an answer by a
// version that was replaced longer ago than the staleness bound or that is older than the one of the previous answer.
type loadResult struct {
	sent       int
	served     int
	rejected   int
	violations []string
}

func (r *loadResult) addViolation(values ...any) {
	r.violations = append(r.violations, fmt.Sprint(values...))
}

func (r *cluster) startLoad(names ...string) *queryLoad {
	l := &queryLoad{cluster: r, replacedAt: map[string]time.Time{}, results: make(chan loadResult)}
	for _, name := range names {
		i := r.instances[name]
		go l.run(i.searchAddr, func(int) []byte { return searchRequest() })
		go l.run(i.platformAddr, func(n int) []byte { return lookupRequest(fmt.Sprint(name, "-", n)) })
		l.workers += 2
	}
	return l
}

// versionReplaced records that a version has been replaced by now.
func (l *queryLoad) versionReplaced(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replacedAt[fmt.Sprint(version)] = time.Now()
}

func (l *queryLoad) run(addr string, request func(int) []byte) {
	var sum loadResult
	defer func() { l.results <- sum }()
	last := ""
	// On a single connection, a second answer to a query would be read before the answer to the next one.
	c, err := new(net.Dialer).DialContext(l.cluster.t.Context(), "tcp", addr)
	if err != nil {
		sum.addViolation(err)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; !l.stopping.Load() && len(sum.violations) == 0; n++ {
		began := time.Now()
		c.SetDeadline(began.Add(5 * time.Second))
		_, _ = c.Write(request(n)) // a failed write makes the read fail
		status, version, err := readAnswer(in)
		sum.sent++
		l.mu.Lock()
		replacedAt, replaced := l.replacedAt[version]
		l.mu.Unlock()
		switch {
		case err != nil || in.Buffered() > 0 || status != 200 && status != 429 && status != 503:
			sum.addViolation("status ", status, ", error ", err, ", unread bytes ", in.Buffered())
		case status != 200:
			sum.rejected++
		case len(version) < len(last) || len(version) == len(last) && version < last:
			sum.addViolation("version ", version, " after version ", last)
		case replaced && began.Sub(replacedAt) > l.cluster.stalenessBound:
			sum.addViolation("version ", version, " served ", began.Sub(replacedAt), " after it was replaced")
		default:
			sum.served++
			last = version
		}
		if status != 200 {
			time.Sleep(10 * time.Millisecond) // retries as Retry-After demands, but sooner
		}
	}
	if len(sum.violations) > 0 {
		return
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		sum.addViolation("data or an error other than a timeout after the last answer: ", err)
	}
}

func (l *queryLoad) stop() (sum loadResult) {
	l.stopping.Store(true)
	for range l.workers {
		t := <-l.results
		sum.sent += t.sent
		sum.served += t.served
		sum.rejected += t.rejected
		sum.violations = append(sum.violations, t.violations...)
	}
	return sum
}
