// Package storepool is the store transport of both fronts: pooled connections with their time limits, the fence
// before stores that drain, and the account of what has been written. How a call looks on the wire is a Codec's.
package storepool

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/internal/ratelog"
	"alderproxy/policy"
)

// Store is where a server of the decisions can be reached.
type Store struct {
	policy.Endpoint
	Name, Addr string
}

// Digest is equal for two lists that name the same stores in the same states, in whatever order. Addresses are left
// out: they may differ between instances.
func Digest(list []Store) (sum uint64) {
	for _, s := range list {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s %d %d %d", s.Name, s.RingPosition, s.Zone, s.State))
	}
	return sum
}

// Limits are settings that concern sockets and not the decisions.
type Limits struct {
	ConnectTimeout, IdleTimeout policy.Micros
	MaxInFlight                 int // attempts that one connection carries at once
	MaxConnections              int // connections to one store; 0: as many as are needed
}

// Codec words what goes between a gatherer and a store.
type Codec interface {
	// AppendCall appends attempts that share one call to a store.
	AppendCall(to []byte, store Store, call []*broker.Attempt, now time.Time) []byte
	// AppendCancel appends the word that a part is given up. Where it appends nothing, the connection is closed.
	AppendCancel(to []byte, id string) []byte
	// AppendHealthCheck appends a probe for load. Where it appends nothing, stores take none.
	AppendHealthCheck(to []byte) []byte
	// Read reads one message. Its first byte is known to be there.
	Read(r *bufio.Reader) (Message, error)
}

// Kind is what a message of a store is.
type Kind uint8

// The kinds of message.
const (
	Other Kind = iota // of no matter
	Answer
	LoadReport // answers the oldest probe
)

// Message is one message of a store.
type Message struct {
	Kind    Kind
	ID      string // of the part answered; empty: of the only one that is out
	Last    bool   // the connection takes nothing more
	Outcome broker.AttemptResult
}

// ErrMalformed is behind the errors about messages that do not follow the protocol. They close the connection.
var ErrMalformed = errors.New("malformed store message")

// PartID is the name of an attempt's part on the wire.
func PartID(a *broker.Attempt) string { return a.Query.ID + "." + strconv.Itoa(a.Shard) }

// Pool holds, for each store, the connections to it, opened as needed. It is a broker.Transport.
type Pool struct {
	// ConnectionAllowance tells how many connections there may be now, to all stores together; nil: as many as are needed. Beyond it
	// the idle ones that were used longest ago make room. It is set before the first Follow.
	ConnectionAllowance func() int
	// EndpointsStale tells that the list may not be gone by now: calls wait, within their time. nil: it always may. It is set
	// before the first Follow.
	EndpointsStale func() bool

	limits atomic.Pointer[Limits]
	codec  Codec
	log    *logrus.Entry

	mu     sync.Mutex
	dial   Dial
	stores map[uint32]*storeConnections
	// retiring are connections to stores, or to processes of them, that the list has no more. They take nothing new and end
	// once what is out on them has.
	retiring []*connection
	openConnections    int // connections, those that are to end included
	closed  bool
}

// Dial opens a connection to an address within a limit.
type Dial func(addr string, limit time.Duration) (net.Conn, error)

// SetDialer has connections that are opened from now on opened in another way than by TCP alone.
func (p *Pool) SetDialer(dial Dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial = dial
}

// storeConnections is what the pool keeps for one store. The pool's lock guards it.
type storeConnections struct {
	Store
	connections []*connection
	brokenAt time.Time // when a connection last broke under a call
	closeLog  ratelog.Line
}

// isolationDuration is how long after a connection broke under a call calls to that store leave on connections of their own:
// a reset ends all that is out on a connection, and where one came more may.
const (
	isolationDuration = 10 * time.Second
	// maxIsolatedConnections is how many connections to one store are opened for calls to leave apart, or not to follow others into
	// silence. Beyond it calls share what there is.
	maxIsolatedConnections = 8
)

// New returns a pool that knows no store.
func New(limits Limits, codec Codec, log *logrus.Entry) *Pool {
	dial := func(addr string, limit time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", addr, limit) }
	p := &Pool{codec: codec, log: log, stores: map[uint32]*storeConnections{}, dial: dial}
	p.limits.Store(&limits)
	return p
}

// SetLimits has the pool go by other limits from now on.
func (p *Pool) SetLimits(limits Limits) { p.limits.Store(&limits) }

func (p *Pool) connectTimeout() time.Duration {
	return time.Duration(p.limits.Load().ConnectTimeout) * time.Microsecond
}

// idleLimit is when we close an idle connection: before the store does, since a request that crosses its close
// would end as a reset, which may have run.
func (p *Pool) idleLimit() time.Duration {
	return time.Duration(p.limits.Load().IdleTimeout) * time.Microsecond * 9 / 10
}

// UpdateEndpoints takes the list as it now is. It must be called before the broker hears of it. Calls still waiting to be
// written to a store that drains or is gone are dropped at once: the rule counts when a frame is sent, and not
// when it was queued.
func (p *Pool) UpdateEndpoints(list []Store) {
	p.mu.Lock()
	var retire, drop []*connection
	named := map[uint32]bool{}
	for _, s := range list {
		named[s.ID] = true
		st := p.stores[s.ID]
		if st == nil {
			st = &storeConnections{}
			p.stores[s.ID] = st
		} else if st.Addr != s.Addr || st.StartedAt != s.StartedAt || st.RingPosition != s.RingPosition {
			// A fresh process knows nothing of connections to the old one, and at a machine that had vanished
			// these look open until something is written to them.
			keep := st.connections[:0:0]
			for _, c := range st.connections {
				if st.Addr == s.Addr && st.RingPosition == s.RingPosition && c.createdAt.UnixMicro() > s.StartedAt {
					keep = append(keep, c)
				} else { // nor may what waits there go to the old one
					drop, retire = append(drop, c), append(retire, c)
				}
			}
			st.connections = keep
		}
		st.Store = s
		if s.State != policy.Ready {
			drop = append(drop, st.connections...)
		}
	}
	for id, st := range p.stores {
		if !named[id] {
			drop, retire = append(drop, st.connections...), append(retire, st.connections...)
			delete(p.stores, id)
		}
	}
	p.retiring = append(p.retiring, retire...)
	p.mu.Unlock()
	for _, c := range drop {
		c.fence()
	}
	for _, c := range retire {
		c.retire()
	}
}

// Send queues a call on a connection with room, or on a new one.
func (p *Pool) Send(server uint32, call []*broker.Attempt) error {
	return p.enqueue(server, writeRequest{attempts: call})
}

func (p *Pool) enqueue(server uint32, it writeRequest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stores[server]
	if st == nil || st.State != policy.Ready || p.closed {
		return fmt.Errorf("store %d takes nothing new", server)
	}
	left := 1 // connections that may be opened
	if p.ConnectionAllowance != nil {
		left = p.ConnectionAllowance() - p.openConnections
	}
	if left < 0 {
		p.evictIdleLocked(nil)
	}
	want := isResponsive
	if it.attempts != nil && time.Since(st.brokenAt) < isolationDuration {
		want = isUnused
	}
	if p.enqueueOnExistingLocked(st, it, want) || len(st.connections) >= maxIsolatedConnections && p.enqueueOnExistingLocked(st, it, hasCapacity) {
		return nil
	}
	if most := p.limits.Load().MaxConnections; most > 0 && len(st.connections) >= most {
		return fmt.Errorf("store %s: all %d connections are busy", st.Name, len(st.connections))
	}
	if left <= 0 && !p.evictIdleLocked(st) {
		return fmt.Errorf("store %s: no room for another connection beside %d", st.Name, p.openConnections)
	}
	c := newConnection(p, st.Store)
	if !c.tryEnqueue(it, hasCapacity) {
		return fmt.Errorf("store %s: call of %d parts is over the limit", st.Name, len(it.attempts))
	}
	st.connections = append(st.connections, c)
	p.openConnections++
	go c.run(p.dial)
	return nil
}

// evictIdleLocked has the idle connection that was used longest ago end, except those to one store, and tells whether there is
// one. The lock is held, so nothing is put on it meanwhile.
func (p *Pool) evictIdleLocked(but *storeConnections) bool {
	var oldest *connection
	var since time.Time
	for _, st := range p.stores {
		if st == but {
			continue
		}
		for _, c := range st.connections {
			if at, idle := c.idleSince(); idle && (oldest == nil || at.Before(since)) {
				oldest, since = c, at
			}
		}
	}
	if oldest != nil {
		oldest.retireIdle()
	}
	return oldest != nil
}

func (p *Pool) enqueueOnExistingLocked(st *storeConnections, it writeRequest, want requirement) bool {
	return slices.ContainsFunc(st.connections, func(c *connection) bool { return c.tryEnqueue(it, want) })
}

// Cancel tells the store that an attempt is given up.
func (p *Pool) Cancel(a *broker.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var own []*connection
	if st := p.stores[a.Server]; st != nil {
		own = st.connections
	}
	on := func(c *connection) bool { return c.cancel(a) }
	_ = slices.ContainsFunc(own, on) || slices.ContainsFunc(p.retiring, on)
}

// CloseIdleConnections closes the idle connections to a store.
func (p *Pool) CloseIdleConnections(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.stores[server]; st != nil {
		for _, c := range st.connections {
			c.retireIdle()
		}
	}
}

// CheckHealth asks a store for its load. The answer, or that none came, is told from another goroutine.
func (p *Pool) CheckHealth(server uint32, done func(broker.AttemptResult)) {
	pr := &healthCheck{done: done}
	if len(p.codec.AppendHealthCheck(nil)) == 0 {
		go pr.finish(broker.AttemptResult{Status: policy.ServerError, Report: policy.NoLoadReport})
		return
	}
	if err := p.enqueue(server, writeRequest{healthCheck: pr}); err != nil {
		go pr.finish(broker.AttemptResult{Status: policy.ConnectFailed, Report: policy.NoLoadReport})
		return
	}
	// The settings name no time-out for probes: the one for connecting says how long silence means silence.
	time.AfterFunc(p.connectTimeout(), func() {
		pr.finish(broker.AttemptResult{Status: policy.TimedOut, Report: policy.NoLoadReport})
	})
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	all := slices.Clone(p.retiring)
	for _, st := range p.stores {
		all = append(all, st.connections...)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.close(errClosed)
	}
}

// remove takes a closed connection out of its store. broke tells that a call was out on it. It returns the log line about
// such ends, of which a store can cause any number; nil: its store is gone.
func (p *Pool) remove(c *connection, broke bool) *ratelog.Line {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.retiring, c); i >= 0 {
		p.retiring = slices.Delete(p.retiring, i, i+1)
	}
	st := p.stores[c.store.ID]
	if st == nil {
		return nil
	}
	if broke {
		st.brokenAt = time.Now()
	}
	for i, o := range st.connections {
		if o == c {
			st.connections = append(st.connections[:i:i], st.connections[i+1:]...)
			break
		}
	}
	return &st.closeLog
}

// connectionReleased notes that a connection has given its descriptor back.
func (p *Pool) connectionReleased() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
}

// healthCheck is one question for load.
type healthCheck struct {
	once sync.Once
	done func(broker.AttemptResult)
}

func (p *healthCheck) finish(o broker.AttemptResult) { p.once.Do(func() { p.done(o) }) }
