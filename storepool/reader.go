package storepool

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"alderproxy/broker"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// idleChecksPerTimeout is the number of times per idle limit that a connection without incoming messages is checked.
	idleChecksPerTimeout = 8
)

// resultReceiver is an attempt or health check that awaits its result.
type resultReceiver interface{ Finish(broker.AttemptResult) }

// readLoop handles messages until the connection is closed.
func (c *connection) readLoop(netConn net.Conn, in *input) {
	for {
		m, err := c.readMessage(netConn, in)
		if err == nil {
			err = c.handleMessage(m, in.Buffered() > 0)
		}
		if err != nil {
			c.close(fmt.Errorf("read: %w", err))
			return
		}
	}
}

// readMessage waits for a message and reads it. The wait has no time limit, since the connection may be idle or the store
// may be slow, but closeIfIdle is called at intervals.
func (c *connection) readMessage(netConn net.Conn, in *input) (Message, error) {
	for {
		netConn.SetReadDeadline(time.Now().Add(c.pool.idleLimit() / idleChecksPerTimeout))
		err := in.await(&c.mu, func() { c.receiving = true })
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return Message{}, err
		}
		// Close the connection one interval early, since the next check may come after the idle limit.
		c.closeIfIdle(c.pool.idleLimit() * (idleChecksPerTimeout - 1) / idleChecksPerTimeout)
	}
	// An incomplete message, for example one with a wrong length, would block all answers after it.
	netConn.SetReadDeadline(time.Now().Add(c.pool.connectTimeout()))
	if _, err := in.Peek(1); err != nil {
		return Message{}, err // the end of the stream, which is no part of a message
	}
	return c.pool.codec.Read(in.Reader)
}

// handleMessage passes a result to the attempt or health check that awaits it. It ignores results of canceled attempts.
// moreBuffered reports whether further bytes have been received. If no answer is outstanding, they belong to no request,
// and the connection is retired.
func (c *connection) handleMessage(m Message, moreBuffered bool) error {
	var receiver resultReceiver
	var err error
	c.mu.Lock()
	switch m.Kind {
	case Answer:
		receiver, err = c.answeredAttemptLocked(m.ID)
	case LoadReport:
		receiver, err = c.nextHealthCheckLocked()
	case OtherMessage:
	}
	c.awaitingAnswerSince = time.Time{}
	if len(c.inFlight)+len(c.healthChecks) > 0 {
		c.awaitingAnswerSince = time.Now()
	}
	c.receiving = moreBuffered
	if m.Closing || c.hasUnexpectedBytesLocked() {
		c.retired = true
	}
	retired := c.retired
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if receiver != nil {
		receiver.Finish(m.Result)
	}
	if retired {
		c.closeIfIdle(0)
	}
	return nil
}

// hasUnexpectedBytesLocked reports whether bytes have been received that are no part of an answer to a request on this
// connection. They must not be taken for the answer to a later request.
func (c *connection) hasUnexpectedBytesLocked() bool { return c.receiving && !c.awaitsMessageLocked() }

// awaitsMessageLocked reports whether the store may send a message because of a request that was written.
func (c *connection) awaitsMessageLocked() bool {
	if len(c.canceledIDs)+len(c.healthChecks) > 0 {
		return true
	}
	for _, attempt := range c.inFlight {
		if attempt.begun {
			return true
		}
	}
	return false
}

// answeredAttemptLocked removes and returns the attempt with the given ID, or the only attempt if the ID is empty. It
// returns nil for an attempt that was canceled. An unknown ID is an error, since some attempt will then not get its
// answer. An attempt whose write has not begun cannot be answered yet.
func (c *connection) answeredAttemptLocked(id string) (resultReceiver, error) {
	if id == "" {
		for candidate, attempt := range c.inFlight {
			if attempt.begun {
				id = candidate
			}
		}
	}
	c.lastUsed = time.Now()
	wasCanceled := c.canceledIDs[id]
	delete(c.canceledIDs, id)
	if attempt := c.inFlight[id]; attempt != nil && attempt.begun {
		c.removeInFlightLocked(id)
		return attempt, nil
	}
	if wasCanceled {
		return nil, nil
	}
	return nil, fmt.Errorf("%w: answer to an unknown part", ErrMalformed)
}

// nextHealthCheckLocked removes and returns the oldest health check that was written and not answered.
func (c *connection) nextHealthCheckLocked() (resultReceiver, error) {
	if len(c.healthChecks) == 0 {
		return nil, fmt.Errorf("%w: unrequested load report", ErrMalformed)
	}
	check := c.healthChecks[0]
	c.healthChecks = c.healthChecks[1:]
	return check, nil
}
