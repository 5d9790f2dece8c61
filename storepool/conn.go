package storepool

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/policy"
)

var (
	errClosed = errors.New("connection closed by us")
	errIdle   = errors.New("connection idle")
)

// item is something to write: a call, a probe, or the id of a part that is given up.
type item struct {
	call   []*broker.Attempt
	probe  *probe
	cancel string
}

// conn is one connection to a store. One goroutine dials and writes, a second reads: an answer may come
// while a write waits for a peer that does not read.
type conn struct {
	pool   *Pool
	to     Store
	opened time.Time
	wake   chan struct{} // has something once there is something to write
	gone   chan struct{} // closed with the connection

	mu     sync.Mutex
	out    []item // to be written
	nc     net.Conn
	err    error // why it was closed; nil while open
	last   bool  // nothing new may be put on it
	fenced bool  // nor may anything that waits to be written go out on it, but the word that a part is given up
	calls  map[string]*sent
	stale  map[string]bool // ids given up here: a late answer could be taken for that of a new attempt
	probes []*probe        // written, in order
	busy   int             // attempts queued or out
	used   time.Time
	waits  time.Time // since when something is out and nothing has come; zero: nothing is
}

// sent is an attempt on a connection.
type sent struct {
	*broker.Attempt
	written bool // its frame is out whole: from then on it may have run
}

// mostOut bounds what waits to be written on one connection: its calls, and as many words about given up ones again.
func (c *conn) mostOut() int { return 4*c.pool.limits.Load().MaxInFlight + 16 }

// put has an item written, unless the other side does not read and too much waits already. The lock is held.
func (c *conn) put(it item) bool {
	if len(c.out) >= c.mostOut() {
		return false
	}
	c.out = append(c.out, it)
	select {
	case c.wake <- struct{}{}:
	default: // the writer is still to look
	}
	return true
}

// pop takes off the next item to write.
func (c *conn) pop() (it item, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out) == 0 {
		c.out = nil // what a burst took is given back
		return it, false
	}
	it, c.out[0] = c.out[0], item{}
	c.out = c.out[1:]
	return it, true
}

// staleLook is how often a connection looks whether the list may be gone by again: a new call to an agent takes about as
// long.
const staleLook = time.Millisecond

// maxStale bounds the ids remembered for one connection. A connection that has more takes nothing new.
const maxStale = 512

func newConn(p *Pool, to Store) *conn {
	now := time.Now()
	return &conn{
		pool: p, to: to, opened: now, used: now, wake: make(chan struct{}, 1),
		gone: make(chan struct{}), calls: map[string]*sent{}, stale: map[string]bool{},
	}
}

// silent tells that an answer is due on the connection and nothing has come for long. A way that leads nowhere any
// more looks like that, and TCP does not tell: what else is put on it is lost, for as long as something is. The
// lock is held.
func (c *conn) silent() bool {
	return !c.waits.IsZero() && time.Since(c.waits) > c.pool.connectTimeout()/2
}

// fit is how well a connection must suit a call.
type fit uint8

const (
	anyRoom fit = iota // it has room
	sound              // and is not silent
	apart              // and no other call is out on it
)

// push queues an item if the connection can take it now and fits.
func (c *conn) push(it item, want fit) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.last || c.busy >= c.pool.limits.Load().MaxInFlight && it.call != nil ||
		want >= sound && c.silent() || want == apart && c.busy > 0 {
		return false
	}
	// Nobody looked for so long (a process that stood still): its store may have closed it by now.
	if it.call != nil && c.nc != nil && c.busy == 0 && time.Since(c.used) >= c.pool.idleLimit() {
		c.last = true
		go c.close(errIdle)
		return false
	}
	for _, a := range it.call {
		if id := PartID(a); c.stale[id] || c.calls[id] != nil {
			return false
		}
	}
	if !c.put(it) {
		return false
	}
	c.used = time.Now()
	c.busy += len(it.call)
	for _, a := range it.call {
		c.calls[PartID(a)] = &sent{Attempt: a}
	}
	return true
}

// cancel tells the store that nobody waits for an attempt, if it is on this connection.
func (c *conn) cancel(a *broker.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := PartID(a)
	s := c.calls[id]
	if s == nil || s.Attempt != a {
		return false
	}
	delete(c.calls, id)
	c.busy--
	if a.Withdraw() { // never written: the store knows nothing of it
		return true
	}
	c.stale[id] = true
	c.last = c.last || len(c.stale) >= maxStale
	if c.busy == 0 && (c.last || c.silent()) { // nothing new comes on it, and its store may never answer
		go c.close(errIdle)
		return true
	}
	if len(c.pool.codec.AppendCancel(nil, id)) == 0 {
		c.last = true
		go c.close(errClosed) // not from here: other attempts' ends may wait for the owner
		return true
	}
	c.put(item{cancel: id}) // to a peer that does not read the word is lost, as it would be on the way
	return true
}

// stopSending takes back what was not written yet. Nothing new goes out on the connection.
func (c *conn) stopSending() {
	c.mu.Lock()
	c.last, c.fenced = true, true
	var never []*broker.Attempt
	for id, s := range c.calls {
		if !s.written && s.Withdraw() { // from here the writer can't begin it any more
			never = append(never, s.Attempt)
			delete(c.calls, id)
			c.busy--
		}
	}
	c.mu.Unlock()
	for _, a := range never {
		a.Finish(broker.AttemptResult{Status: policy.Withdrawn, Report: policy.NoLoadReport})
	}
}

// done tells that the connection takes nothing new and nothing is out on it any more.
func (c *conn) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last && c.busy+len(c.out)+len(c.probes) == 0
}

// retire lets what is out come to its end and takes nothing new.
func (c *conn) retire() {
	c.mu.Lock()
	c.last = true
	c.mu.Unlock()
	c.closeIfIdle(0)
}

// closeIdle takes an idle connection out of use at once, so that the next call opens a new one: the owner's next Send
// follows so closely that a close from another goroutine would come too late. A probe that is out may still end.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.busy > 0 && !c.silent() {
		return
	}
	if c.last = true; c.busy > 0 { // silent: what is out comes to its end
		return
	}
	if len(c.probes) == 0 && len(c.out) == 0 {
		go c.close(errIdle)
	} else {
		time.AfterFunc(c.pool.connectTimeout(), func() { c.close(errIdle) })
	}
}

// idleSince is when an idle connection was last used; not ok where it is not idle.
func (c *conn) idleSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.err == nil && !c.last && c.nc != nil && c.busy+len(c.out)+len(c.probes) == 0
}

// closeIfIdle closes the connection if nothing is out on it and it was not used for that long, or takes nothing new.
func (c *conn) closeIfIdle(unused time.Duration) {
	c.mu.Lock()
	idle := c.busy == 0 && (c.last || time.Since(c.used) >= unused || c.silent()) && len(c.out) == 0
	if idle {
		c.last = true // before the lock is let go: no call may slip in between
	}
	c.mu.Unlock()
	if idle {
		c.close(errIdle)
	}
}

// close ends the connection and everything that is out on it. What was not written whole has never run.
func (c *conn) close(why error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err, c.last = why, true
	if c.nc != nil {
		c.nc.Close()
	}
	close(c.gone)
	type end struct {
		a *broker.Attempt
		s policy.Status
	}
	var over []end
	for id, s := range c.calls {
		if s.written {
			over = append(over, end{s.Attempt, policy.ConnectionBroken})
		} else if s.Withdraw() {
			over = append(over, end{s.Attempt, policy.ConnectFailed})
		} else {
			continue // being written: the writer sees the error and tells which it was
		}
		delete(c.calls, id)
	}
	probes := c.probes
	for _, it := range c.out {
		if it.probe != nil {
			probes = append(probes, it.probe)
		}
	}
	c.probes, c.out = nil, nil
	c.mu.Unlock()
	ours := errors.Is(why, errIdle) || errors.Is(why, errClosed)
	if line := c.pool.forget(c, len(over) > 0 && !ours); line != nil && !ours {
		if more, due := line.Due(time.Now()); due {
			c.pool.log.WithFields(logrus.Fields{"store": c.to.Name, "out": len(over), "more": more}).WithError(why).Info("store connection ended")
		}
	}
	status := policy.ConnectionBroken
	if c.nc == nil {
		status = policy.ConnectFailed
	}
	for _, e := range over {
		e.a.Finish(broker.AttemptResult{Status: e.s, Report: policy.NoLoadReport})
	}
	for _, p := range probes {
		p.end(broker.AttemptResult{Status: status, Report: policy.NoLoadReport})
	}
}

func (c *conn) run(dial Dial) {
	defer c.pool.ended() // closed or not, it is dialled to the end
	nc, err := dial(c.to.Addr, c.pool.connectTimeout())
	if err != nil {
		c.close(fmt.Errorf("connect: %w", err))
		return
	}
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		nc.Close()
		return
	}
	c.nc = nc
	c.mu.Unlock()
	go c.read(nc)
	var buf []byte
	for {
		it, ok := c.pop()
		if !ok && c.done() {
			c.close(errIdle)
			return
		}
		if !ok {
			select {
			case <-c.gone:
				return
			case <-c.wake:
			}
			continue
		}
		for it.call != nil && c.pool.EndpointsStale != nil && c.pool.EndpointsStale() {
			select {
			case <-c.gone:
				return
			case <-time.After(staleLook):
			}
		}
		if buf, err = c.write(nc, it, buf[:0]); err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// takeBack ends an attempt that was put on the connection and must not be written any more.
func (c *conn) takeBack(a *broker.Attempt) {
	c.mu.Lock()
	s := c.calls[PartID(a)]
	ours := s != nil && s.Attempt == a
	if ours {
		delete(c.calls, PartID(a))
		c.busy--
	}
	c.mu.Unlock()
	if ours {
		a.Finish(broker.AttemptResult{Status: policy.Withdrawn, Report: policy.NoLoadReport})
	}
}

// write sends one item. The outcome of a call whose last byte did not go out is that it never ran.
func (c *conn) write(nc net.Conn, it item, buf []byte) ([]byte, error) {
	now := time.Now()
	var begun []*broker.Attempt
	switch {
	case it.cancel != "":
		buf = c.pool.codec.AppendCancel(buf, it.cancel)
	case it.probe != nil:
		c.mu.Lock()
		if c.err != nil || c.fenced {
			c.mu.Unlock()
			it.probe.end(broker.AttemptResult{Status: policy.ConnectFailed, Report: policy.NoLoadReport})
			return buf, nil
		}
		c.probes = append(c.probes, it.probe)
		c.mu.Unlock()
		buf = c.pool.codec.AppendHealthCheck(buf)
	default:
		for _, a := range it.call {
			if a.Start() {
				begun = append(begun, a)
			} else if a.Withdraw() {
				c.takeBack(a)
			}
		}
		if len(begun) == 0 {
			return buf, nil
		}
		buf = c.pool.codec.AppendCall(buf, c.to, begun, now)
	}
	if it.cancel == "" {
		c.mu.Lock()
		if c.waits.IsZero() {
			c.waits = now
		}
		c.mu.Unlock()
	}
	// A vanished machine takes no more once its buffers are full: no write without a deadline.
	nc.SetWriteDeadline(now.Add(c.pool.connectTimeout()))
	n, err := nc.Write(buf)
	whole := n == len(buf)
	var over []*broker.Attempt
	c.mu.Lock()
	for _, a := range begun {
		s := c.calls[PartID(a)]
		if s == nil || s.Attempt != a {
			continue // answered or given up meanwhile
		}
		if s.written = whole; !whole || c.err != nil {
			delete(c.calls, PartID(a))
			over = append(over, a)
		}
	}
	c.mu.Unlock()
	status := policy.ConnectionBroken
	if !whole {
		status = policy.ConnectFailed
	}
	for _, a := range over {
		a.Finish(broker.AttemptResult{Status: status, Report: policy.NoLoadReport})
	}
	return buf, err
}

// read takes answers until the connection ends.
func (c *conn) read(nc net.Conn) {
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		m, err := c.next(nc, r)
		if err == nil {
			err = c.take(m, r.Buffered() > 0)
		}
		if err != nil {
			c.close(fmt.Errorf("read: %w", err))
			return
		}
	}
}

// next waits for a message. Silence is no error: it is what an idle connection and a hung store have in common.
func (c *conn) next(nc net.Conn, r *bufio.Reader) (Message, error) {
	for {
		nc.SetReadDeadline(time.Now().Add(c.pool.idleLimit() / 8))
		_, err := r.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return Message{}, err
		}
		c.closeIfIdle(c.pool.idleLimit() * 7 / 8)
	}
	// Others wait behind a message that does not end: its length may not fit.
	nc.SetReadDeadline(time.Now().Add(c.pool.connectTimeout()))
	return c.pool.codec.Read(r)
}

// take hands on what a store said. What nobody waits for any more is passed over. more tells that something stands
// behind it already: where nothing else is out, it belongs to nothing, and the connection serves no further use.
func (c *conn) take(m Message, more bool) error {
	var s *sent
	known := true
	var p *probe
	c.mu.Lock()
	switch m.Kind {
	case Answer:
		if m.ID == "" {
			for m.ID = range c.calls { // the only one
			}
		}
		if s = c.calls[m.ID]; s != nil {
			delete(c.calls, m.ID)
			c.busy--
		}
		known = s != nil || c.stale[m.ID]
		delete(c.stale, m.ID)
		c.used = time.Now()
	case LoadReport:
		if len(c.probes) > 0 {
			p, c.probes = c.probes[0], c.probes[1:]
		}
	}
	c.waits = time.Time{}
	if len(c.calls)+len(c.probes) > 0 {
		c.waits = time.Now()
	}
	c.last = c.last || m.Last || more && len(c.calls)+len(c.stale)+len(c.probes) == 0
	retired := c.last
	c.mu.Unlock()
	switch {
	case s != nil:
		s.Finish(m.Outcome)
	case p != nil:
		p.end(m.Outcome)
	case m.Kind == LoadReport:
		return fmt.Errorf("%w: a load report that nobody asked for", ErrMalformed)
	case !known: // a spoilt id: the answer that it stands for will not come
		return fmt.Errorf("%w: an answer that nobody asked for", ErrMalformed)
	}
	if retired {
		c.closeIfIdle(0)
	}
	return nil
}
