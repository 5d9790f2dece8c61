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
	// idleChecksPerTimeout is how many times per idle limit a connection that receives nothing is inspected.
	idleChecksPerTimeout = 8
)

// resultReceiver is an attempt or health check that waits for its result.
type resultReceiver interface{ Finish(broker.AttemptResult) }

// readLoop handles messages until the connection ends.
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

// readMessage waits for a message. That none arrives is no error, since idle connections and slow stores look alike.
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
		// An idle connection must be closed before the inspection that would come too late.
		c.closeIfIdle(c.pool.idleLimit() * (idleChecksPerTimeout - 1) / idleChecksPerTimeout)
	}
	// A message that does not end, as with a wrong length, would block every answer behind it.
	netConn.SetReadDeadline(time.Now().Add(c.pool.connectTimeout()))
	return c.pool.codec.Read(r)
}

// handleMessage passes a result to the attempt or health check that waits for it, and ignores results that nobody waits for
// any longer. moreBuffered reports that further bytes were received. If nothing is in flight, they answer nothing that was
// sent, so that the connection cannot be used any more.
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

// answeredAttemptLocked removes and returns the attempt with the given id; an empty id stands for the only one. It returns
// nil for an attempt that was canceled. An unknown id is an error, since the answer that it stands for will not come.
func (c *connection) answeredAttemptLocked(id string) (resultReceiver, error) {
	if id == "" {
		for only := range c.inFlight {
			id = only
		}
	}
	c.lastUsed = time.Now()
	wasCanceled := c.canceledIDs[id]
	delete(c.canceledIDs, id)
	if s := c.inFlight[id]; s != nil {
		c.removeInFlightLocked(id)
		return s, nil
	}
	if wasCanceled {
		return nil, nil
	}
	return nil, fmt.Errorf("%w: answer to an unknown part", ErrMalformed)
}

// nextHealthCheckLocked removes and returns the oldest health check that was written.
func (c *connection) nextHealthCheckLocked() (resultReceiver, error) {
	if len(c.healthChecks) == 0 {
		return nil, fmt.Errorf("%w: unrequested load report", ErrMalformed)
	}
	check := c.healthChecks[0]
	c.healthChecks = c.healthChecks[1:]
	return check, nil
}
