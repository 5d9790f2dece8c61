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
	// maxPipelinedBytes is how much a client may send before the response to its open request and still have it read as
	// requests.
	maxPipelinedBytes = 16 << 10
	// discardChunk is how many bytes beyond that are discarded between two pauses. What the socket buffers of both sides hold
	// (10 MB with usual settings) has to be read within some 50 ms, so that a client that closes after it is noticed, and a
	// client that goes on sending has to leave processor time to others.
	discardChunk = 512 << 10
	// disconnectPollTimeout bounds one wait for the client to close. A wait that expires is repeated.
	disconnectPollTimeout = time.Minute
)

// connState is the state of a connection.
type connState uint8

const (
	stateNew     connState = iota // nothing has arrived
	stateReading                  // a request is being read
	stateOpen                     // a request waits for its response; the connection is never evicted
	stateIdle                     // between requests
	stateClosing                  // the last response has been written
)

// Exchange is a connection together with its present request.
type Exchange struct {
	*Request

	Start time.Time // when the request's first byte had arrived

	conn        net.Conn
	pollConn    *pollConn
	reader      *bufio.Reader
	connectedAt time.Time

	// Guarded by the server's lock.
	state      connState
	stateSince time.Time
	evicted    bool // the connection closes for others: its present request is its last one

	// Used by the connection's goroutine only.
	idleExpired bool // the idle timeout has passed, and the request arrived in the final read

	// Of one request.
	canceled   chan struct{} // closed by CancelWait
	cancelDone chan struct{} // closed once CancelWait does not touch the read deadline any more
	cancelOnce *sync.Once
}

// CancelWait ends AwaitDisconnect. It may be called from any goroutine, more than once, and does not block.
func (x *Exchange) CancelWait() {
	x.cancelOnce.Do(func() {
		close(x.canceled)
		x.conn.SetReadDeadline(pastDeadline)
		close(x.cancelDone)
	})
}

// ResetWait allows another AwaitDisconnect after one that CancelWait has ended.
func (x *Exchange) ResetWait() {
	x.canceled = make(chan struct{})
	x.cancelDone = make(chan struct{})
	x.cancelOnce = &sync.Once{}
}

// ClientDisconnected reports, without blocking, whether the client has closed the connection already: a process that was held up
// reads requests late, and those of clients that have gone must not be forwarded. A close behind more pipelined bytes than
// the buffer holds is not seen; AwaitDisconnect reads past them.
func (x *Exchange) ClientDisconnected() bool {
	x.conn.SetReadDeadline(time.Now().Add(disconnectPollTimeout))
	x.pollConn.nonBlocking = true
	defer func() { x.pollConn.nonBlocking = false }()
	var err error
	for err == nil {
		_, err = x.reader.Peek(x.reader.Buffered() + 1)
	}
	return !errors.Is(err, errNoData) && !errors.Is(err, bufio.ErrBufferFull)
}

// AwaitDisconnect blocks until the client closes the connection, and returns true, or until CancelWait was called, and
// returns false.
func (x *Exchange) AwaitDisconnect() (gone bool) {
	for {
		x.conn.SetReadDeadline(time.Now().Add(disconnectPollTimeout))
		if x.waitCanceled() { // its deadline may have been set before this one, or will be
			return false
		}
		err := x.readAhead()
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

// waitCanceled reports whether CancelWait was called, and waits until it has set its deadline.
func (x *Exchange) waitCanceled() bool {
	select {
	case <-x.canceled:
		<-x.cancelDone
		return true
	default:
		return false
	}
}

// readAhead reads on past the bytes that the client has pipelined, which would hide that it closes the connection. Its
// error is that of the connection.
func (x *Exchange) readAhead() error {
	_, err := x.reader.Peek(x.reader.Buffered() + 1)
	switch {
	case !errors.Is(err, bufio.ErrBufferFull):
		return err
	case x.reader.Size() < maxPipelinedBytes:
		x.reader = bufio.NewReaderSize(x.reader, maxPipelinedBytes)
		return nil
	}
	x.Close = true // the bytes are lost as requests: the connection closes after the open one's response
	_, err = io.CopyN(io.Discard, x.reader, discardChunk)
	time.Sleep(lingerInterval)
	return err
}
