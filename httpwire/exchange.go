package httpwire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxPipelinedBytes is the size of the buffer for what a client sends while its request is open. Once it is full, all of
	// that is discarded instead of being read as requests.
	maxPipelinedBytes = 16 << 10
	// discardChunk is the number of bytes that are discarded between two pauses. It is large enough that what the socket
	// buffers of both sides hold (10 MB with usual settings) is read within some 50 ms, so that a close behind it is noticed
	// in time. The pauses leave processor time to others if a client keeps sending.
	discardChunk = 512 << 10
	// maxUnreadBytes is more than the socket buffers of both sides hold with usual settings.
	maxUnreadBytes = 16 << 20
	// disconnectPollTimeout limits one wait for the client's disconnect. A wait that expires is repeated.
	disconnectPollTimeout = time.Minute
)

// connState is the state of a connection.
type connState uint8

const (
	stateNew     connState = iota // no request has arrived
	stateReading                  // a request is being read
	stateOpen                     // a request awaits its response; the connection is not evicted
	stateIdle                     // between requests
	stateClosing                  // no further request is read
)

// Exchange is a connection with its current request. It is reused for the connection's next request.
type Exchange struct {
	*Request

	Start time.Time // the time at which the request's first byte has arrived

	conn        net.Conn
	pollConn    *pollConn
	reader      *bufio.Reader
	connectedAt time.Time
	memory      reservation // of the current request

	// Guarded by the server's lock.
	state      connState
	stateSince time.Time
	evicted    bool // closed by the server because there are too many; a request that still arrives is its last

	// Used by the connection's goroutine only.
	arrivals    arrivals
	waitExpired bool // the wait for a request reached its deadline; one that arrives in the final read is the last

	// Set by ResetWait for each request.
	canceled   chan struct{} // closed by CancelWait
	cancelDone chan struct{} // closed once CancelWait has set the read deadline
	cancelOnce *sync.Once
}

// CancelWait makes AwaitDisconnect return false. It may be called from any goroutine and more than once, and does not block.
func (x *Exchange) CancelWait() {
	x.cancelOnce.Do(func() {
		close(x.canceled)
		x.conn.SetReadDeadline(pastDeadline)
		close(x.cancelDone)
	})
}

// ResetWait prepares for another AwaitDisconnect after CancelWait.
func (x *Exchange) ResetWait() {
	x.canceled = make(chan struct{})
	x.cancelDone = make(chan struct{})
	x.cancelOnce = &sync.Once{}
}

// ClientDisconnected reports whether the client has already closed the connection. It does not wait for the client. A process
// that was suspended reads requests late, and must not forward those of clients that have disconnected. A close may be behind
// other requests, which are read like those that arrive during AwaitDisconnect: kept up to maxPipelinedBytes, and discarded
// beyond that. A client of which more than maxUnreadBytes arrive meanwhile is still sending.
func (x *Exchange) ClientDisconnected() bool {
	x.conn.SetReadDeadline(time.Now().Add(disconnectPollTimeout))
	x.pollConn.nonBlocking = true
	defer func() { x.pollConn.nonBlocking = false }()
	var discarded int64
	for discarded < maxUnreadBytes {
		n, err := x.readAhead()
		if err != nil {
			return !errors.Is(err, errNoData)
		}
		discarded += n
	}
	return false
}

// AwaitDisconnect blocks until the client closes the connection and returns true, or until CancelWait is called and returns
// false.
func (x *Exchange) AwaitDisconnect() (disconnected bool) {
	for {
		x.conn.SetReadDeadline(time.Now().Add(disconnectPollTimeout))
		if x.waitCanceled() { // the deadline just set may have replaced that of CancelWait
			return false
		}
		_, err := x.readAhead()
		if err == nil {
			continue
		}
		if x.waitCanceled() {
			return false
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
}

// waitCanceled reports whether CancelWait was called. If so, it waits until CancelWait has set the read deadline, which would
// otherwise end a later read.
func (x *Exchange) waitCanceled() bool {
	select {
	case <-x.canceled:
		<-x.cancelDone
		return true
	default:
		return false
	}
}

// readAhead waits for bytes behind those that the client has pipelined, which would hide a disconnect. It keeps them for the
// next requests up to maxPipelinedBytes, and discards them beyond that. It returns the number of discarded bytes and the error of
// the connection.
func (x *Exchange) readAhead() (discarded int64, err error) {
	_, err = x.reader.Peek(x.reader.Buffered() + 1)
	x.arrivals.note(x.reader.Buffered(), time.Now())
	switch {
	case !errors.Is(err, bufio.ErrBufferFull):
		return 0, err
	case x.reader.Size() < maxPipelinedBytes:
		x.reader = bufio.NewReaderSize(x.reader, maxPipelinedBytes)
		return 0, nil
	}
	x.Close = true // requests are discarded, so the connection must close after the response to the open one
	discarded, err = io.CopyN(io.Discard, x.reader, discardChunk)
	time.Sleep(lingerInterval)
	return discarded, err
}
