package storepool

import (
	"bufio"
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
func (c *connection) readLoop(netConn net.Conn) {
	r := bufio.NewReaderSize(netConn, readBufferSize)
	for {
		m, err := c.readMessage(netConn, r)
		if err == nil {
			err = c.handleMessage(m, r.Buffered() > 0)
		}
		if err != nil {
			c.close(fmt.Errorf("read: %w", err))
			return
		}
	}
}

// readMessage waits for a message and reads it. The wait has no time limit, since the connection may be idle or the store
// may be slow, but closeIfIdle is called at intervals.
func (c *connection) readMessage(netConn net.Conn, r *bufio.Reader) (Message, error) {
	for {
		netConn.SetReadDeadline(time.Now().Add(c.pool.idleLimit() / idleChecksPerTimeout))
		_, err := r.Peek(1)
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
	return c.pool.codec.Read(r)
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
	unexpectedBytes := moreBuffered && len(c.inFlight)+len(c.canceledIDs)+len(c.healthChecks) == 0
	if m.Closing || unexpectedBytes {
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

// answeredAttemptLocked removes and returns the attempt with the given ID, or the only attempt if the ID is empty. It
// returns nil for an attempt that was canceled. An unknown ID is an error, since some attempt will then not get its
// answer.
func (c *connection) answeredAttemptLocked(id string) (resultReceiver, error) {
	if id == "" {
		for only := range c.inFlight {
			id = only
		}
	}
	c.lastUsed = time.Now()
	wasCanceled := c.canceledIDs[id]
	delete(c.canceledIDs, id)
	if attempt := c.inFlight[id]; attempt != nil {
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
