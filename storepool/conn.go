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

// writeRequest is something to write: a call, a probe, or the id of a part that is given up.
type writeRequest struct {
	attempts   []*broker.Attempt
	healthCheck  *healthCheck
	cancelID string
}

// connection is one connection to a store. One goroutine dials and writes, a second reads: an answer may come
// while a write waits for a peer that does not read.
type connection struct {
	pool   *Pool
	store     Store
	createdAt time.Time
	writeReady   chan struct{} // has something once there is something to write
	closed   chan struct{} // closed with the connection

	mu     sync.Mutex
	writeQueue    []writeRequest // to be written
	netConn     net.Conn
	closeCause    error // why it was closed; nil while open
	retired   bool  // nothing new may be put on it
	fenced bool  // nor may anything that waits to be written go out on it, but the word that a part is given up
	inFlight  map[string]*inFlightAttempt
	canceledIDs  map[string]bool // ids given up here: a late answer could be taken for that of a new attempt
	healthChecks []*healthCheck        // written, in order
	inFlightCount   int             // attempts queued or out
	lastUsed   time.Time
	awaitingSince  time.Time // since when something is out and nothing has come; zero: nothing is
}

// inFlightAttempt is an attempt on a connection.
type inFlightAttempt struct {
	*broker.Attempt
	written bool // its frame is out whole: from then on it may have run
}

// maxWriteQueue bounds what waits to be written on one connection: its calls, and as many words about given up ones again.
func (c *connection) maxWriteQueue() int { return 4*c.pool.limits.Load().MaxInFlight + 16 }

// enqueueLocked has an item written, unless the other side does not read and too much waits already. The lock is held.
func (c *connection) enqueueLocked(it writeRequest) bool {
	if len(c.writeQueue) >= c.maxWriteQueue() {
		return false
	}
	c.writeQueue = append(c.writeQueue, it)
	select {
	case c.writeReady <- struct{}{}:
	default: // the writer is still to look
	}
	return true
}

// dequeue takes off the next item to write.
func (c *connection) dequeue() (it writeRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.writeQueue) == 0 {
		c.writeQueue = nil // what a burst took is given back
		return it, false
	}
	it, c.writeQueue[0] = c.writeQueue[0], writeRequest{}
	c.writeQueue = c.writeQueue[1:]
	return it, true
}

// staleEndpointsPollInterval is how often a connection looks whether the list may be gone by again: a new call to an agent takes about as
// long.
const staleEndpointsPollInterval = time.Millisecond

// maxCanceledIDs bounds the ids remembered for one connection. A connection that has more takes nothing new.
const maxCanceledIDs = 512

func newConnection(p *Pool, to Store) *connection {
	now := time.Now()
	return &connection{
		pool: p, store: to, createdAt: now, lastUsed: now, writeReady: make(chan struct{}, 1),
		closed: make(chan struct{}), inFlight: map[string]*inFlightAttempt{}, canceledIDs: map[string]bool{},
	}
}

// unresponsiveLocked tells that an answer is due on the connection and nothing has come for long. A way that leads nowhere any
// more looks like that, and TCP does not tell: what else is put on it is lost, for as long as something is. The
// lock is held.
func (c *connection) unresponsiveLocked() bool {
	return !c.awaitingSince.IsZero() && time.Since(c.awaitingSince) > c.pool.connectTimeout()/2
}

// requirement is how well a connection must suit a call.
type requirement uint8

const (
	hasCapacity requirement = iota // it has room
	isResponsive              // and is not silent
	isUnused              // and no other call is out on it
)

// tryEnqueue queues an item if the connection can take it now and fits.
func (c *connection) tryEnqueue(it writeRequest, want requirement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil || c.retired || c.inFlightCount >= c.pool.limits.Load().MaxInFlight && it.attempts != nil ||
		want >= isResponsive && c.unresponsiveLocked() || want == isUnused && c.inFlightCount > 0 {
		return false
	}
	// Nobody looked for so long (a process that stood still): its store may have closed it by now.
	if it.attempts != nil && c.netConn != nil && c.inFlightCount == 0 && time.Since(c.lastUsed) >= c.pool.idleLimit() {
		c.retired = true
		go c.close(errIdle)
		return false
	}
	for _, a := range it.attempts {
		if id := PartID(a); c.canceledIDs[id] || c.inFlight[id] != nil {
			return false
		}
	}
	if !c.enqueueLocked(it) {
		return false
	}
	c.lastUsed = time.Now()
	c.inFlightCount += len(it.attempts)
	for _, a := range it.attempts {
		c.inFlight[PartID(a)] = &inFlightAttempt{Attempt: a}
	}
	return true
}

// cancel tells the store that nobody waits for an attempt, if it is on this connection.
func (c *connection) cancel(a *broker.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := PartID(a)
	s := c.inFlight[id]
	if s == nil || s.Attempt != a {
		return false
	}
	delete(c.inFlight, id)
	c.inFlightCount--
	if a.Withdraw() { // never written: the store knows nothing of it
		return true
	}
	c.canceledIDs[id] = true
	c.retired = c.retired || len(c.canceledIDs) >= maxCanceledIDs
	if c.inFlightCount == 0 && (c.retired || c.unresponsiveLocked()) { // nothing new comes on it, and its store may never answer
		go c.close(errIdle)
		return true
	}
	if len(c.pool.codec.AppendCancel(nil, id)) == 0 {
		c.retired = true
		go c.close(errClosed) // not from here: other attempts' ends may wait for the owner
		return true
	}
	c.enqueueLocked(writeRequest{cancelID: id}) // to a peer that does not read the word is lost, as it would be on the way
	return true
}

// fence takes back what was not written yet. Nothing new goes out on the connection.
func (c *connection) fence() {
	c.mu.Lock()
	c.retired, c.fenced = true, true
	var never []*broker.Attempt
	for id, s := range c.inFlight {
		if !s.written && s.Withdraw() { // from here the writer can't begin it any more
			never = append(never, s.Attempt)
			delete(c.inFlight, id)
			c.inFlightCount--
		}
	}
	c.mu.Unlock()
	for _, a := range never {
		a.Finish(broker.AttemptResult{Status: policy.Withdrawn, Report: policy.NoLoadReport})
	}
}

// drained tells that the connection takes nothing new and nothing is out on it any more.
func (c *connection) drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired && c.inFlightCount+len(c.writeQueue)+len(c.healthChecks) == 0
}

// retire lets what is out come to its end and takes nothing new.
func (c *connection) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.closeIfIdle(0)
}

// retireIdle takes an idle connection out of use at once, so that the next call opens a new one: the owner's next Send
// follows so closely that a close from another goroutine would come too late. A probe that is out may still end.
func (c *connection) retireIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil || c.inFlightCount > 0 && !c.unresponsiveLocked() {
		return
	}
	if c.retired = true; c.inFlightCount > 0 { // silent: what is out comes to its end
		return
	}
	if len(c.healthChecks) == 0 && len(c.writeQueue) == 0 {
		go c.close(errIdle)
	} else {
		time.AfterFunc(c.pool.connectTimeout(), func() { c.close(errIdle) })
	}
}

// idleSince is when an idle connection was last used; not ok where it is not idle.
func (c *connection) idleSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.closeCause == nil && !c.retired && c.netConn != nil && c.inFlightCount+len(c.writeQueue)+len(c.healthChecks) == 0
}

// closeIfIdle closes the connection if nothing is out on it and it was not used for that long, or takes nothing new.
func (c *connection) closeIfIdle(unused time.Duration) {
	c.mu.Lock()
	idle := c.inFlightCount == 0 && (c.retired || time.Since(c.lastUsed) >= unused || c.unresponsiveLocked()) && len(c.writeQueue) == 0
	if idle {
		c.retired = true // before the lock is let go: no call may slip in between
	}
	c.mu.Unlock()
	if idle {
		c.close(errIdle)
	}
}

// close ends the connection and everything that is out on it. What was not written whole has never run.
func (c *connection) close(why error) {
	c.mu.Lock()
	if c.closeCause != nil {
		c.mu.Unlock()
		return
	}
	c.closeCause, c.retired = why, true
	if c.netConn != nil {
		c.netConn.Close()
	}
	close(c.closed)
	type end struct {
		a *broker.Attempt
		s policy.Status
	}
	var over []end
	for id, s := range c.inFlight {
		if s.written {
			over = append(over, end{s.Attempt, policy.ConnectionBroken})
		} else if s.Withdraw() {
			over = append(over, end{s.Attempt, policy.ConnectFailed})
		} else {
			continue // being written: the writer sees the error and tells which it was
		}
		delete(c.inFlight, id)
	}
	probes := c.healthChecks
	for _, it := range c.writeQueue {
		if it.healthCheck != nil {
			probes = append(probes, it.healthCheck)
		}
	}
	c.healthChecks, c.writeQueue = nil, nil
	c.mu.Unlock()
	ours := errors.Is(why, errIdle) || errors.Is(why, errClosed)
	if line := c.pool.remove(c, len(over) > 0 && !ours); line != nil && !ours {
		if more, due := line.Due(time.Now()); due {
			c.pool.log.WithFields(logrus.Fields{"store": c.store.Name, "out": len(over), "more": more}).WithError(why).Info("store connection ended")
		}
	}
	status := policy.ConnectionBroken
	if c.netConn == nil {
		status = policy.ConnectFailed
	}
	for _, e := range over {
		e.a.Finish(broker.AttemptResult{Status: e.s, Report: policy.NoLoadReport})
	}
	for _, p := range probes {
		p.finish(broker.AttemptResult{Status: status, Report: policy.NoLoadReport})
	}
}

func (c *connection) run(dial Dial) {
	defer c.pool.connectionReleased() // closed or not, it is dialled to the end
	nc, err := dial(c.store.Addr, c.pool.connectTimeout())
	if err != nil {
		c.close(fmt.Errorf("connect: %w", err))
		return
	}
	c.mu.Lock()
	if c.closeCause != nil {
		c.mu.Unlock()
		nc.Close()
		return
	}
	c.netConn = nc
	c.mu.Unlock()
	go c.readLoop(nc)
	var buf []byte
	for {
		it, ok := c.dequeue()
		if !ok && c.drained() {
			c.close(errIdle)
			return
		}
		if !ok {
			select {
			case <-c.closed:
				return
			case <-c.writeReady:
			}
			continue
		}
		for it.attempts != nil && c.pool.EndpointsStale != nil && c.pool.EndpointsStale() {
			select {
			case <-c.closed:
				return
			case <-time.After(staleEndpointsPollInterval):
			}
		}
		if buf, err = c.write(nc, it, buf[:0]); err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// withdrawQueued ends an attempt that was put on the connection and must not be written any more.
func (c *connection) withdrawQueued(a *broker.Attempt) {
	c.mu.Lock()
	s := c.inFlight[PartID(a)]
	ours := s != nil && s.Attempt == a
	if ours {
		delete(c.inFlight, PartID(a))
		c.inFlightCount--
	}
	c.mu.Unlock()
	if ours {
		a.Finish(broker.AttemptResult{Status: policy.Withdrawn, Report: policy.NoLoadReport})
	}
}

// write sends one item. The outcome of a call whose last byte did not go out is that it never ran.
func (c *connection) write(nc net.Conn, it writeRequest, buf []byte) ([]byte, error) {
	now := time.Now()
	var begun []*broker.Attempt
	switch {
	case it.cancelID != "":
		buf = c.pool.codec.AppendCancel(buf, it.cancelID)
	case it.healthCheck != nil:
		c.mu.Lock()
		if c.closeCause != nil || c.fenced {
			c.mu.Unlock()
			it.healthCheck.finish(broker.AttemptResult{Status: policy.ConnectFailed, Report: policy.NoLoadReport})
			return buf, nil
		}
		c.healthChecks = append(c.healthChecks, it.healthCheck)
		c.mu.Unlock()
		buf = c.pool.codec.AppendHealthCheck(buf)
	default:
		for _, a := range it.attempts {
			if a.Start() {
				begun = append(begun, a)
			} else if a.Withdraw() {
				c.withdrawQueued(a)
			}
		}
		if len(begun) == 0 {
			return buf, nil
		}
		buf = c.pool.codec.AppendCall(buf, c.store, begun, now)
	}
	if it.cancelID == "" {
		c.mu.Lock()
		if c.awaitingSince.IsZero() {
			c.awaitingSince = now
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
		s := c.inFlight[PartID(a)]
		if s == nil || s.Attempt != a {
			continue // answered or given up meanwhile
		}
		if s.written = whole; !whole || c.closeCause != nil {
			delete(c.inFlight, PartID(a))
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

// readLoop takes answers until the connection ends.
func (c *connection) readLoop(nc net.Conn) {
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		m, err := c.readMessage(nc, r)
		if err == nil {
			err = c.handleMessage(m, r.Buffered() > 0)
		}
		if err != nil {
			c.close(fmt.Errorf("read: %w", err))
			return
		}
	}
}

// readMessage waits for a message. Silence is no error: it is what an idle connection and a hung store have in common.
func (c *connection) readMessage(nc net.Conn, r *bufio.Reader) (Message, error) {
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

// handleMessage hands on what a store said. What nobody waits for any more is passed over. more tells that something stands
// behind it already: where nothing else is out, it belongs to nothing, and the connection serves no further use.
func (c *connection) handleMessage(m Message, more bool) error {
	var s *inFlightAttempt
	known := true
	var p *healthCheck
	c.mu.Lock()
	switch m.Kind {
	case Answer:
		if m.ID == "" {
			for m.ID = range c.inFlight { // the only one
			}
		}
		if s = c.inFlight[m.ID]; s != nil {
			delete(c.inFlight, m.ID)
			c.inFlightCount--
		}
		known = s != nil || c.canceledIDs[m.ID]
		delete(c.canceledIDs, m.ID)
		c.lastUsed = time.Now()
	case LoadReport:
		if len(c.healthChecks) > 0 {
			p, c.healthChecks = c.healthChecks[0], c.healthChecks[1:]
		}
	}
	c.awaitingSince = time.Time{}
	if len(c.inFlight)+len(c.healthChecks) > 0 {
		c.awaitingSince = time.Now()
	}
	c.retired = c.retired || m.Last || more && len(c.inFlight)+len(c.canceledIDs)+len(c.healthChecks) == 0
	retired := c.retired
	c.mu.Unlock()
	switch {
	case s != nil:
		s.Finish(m.Outcome)
	case p != nil:
		p.finish(m.Outcome)
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
