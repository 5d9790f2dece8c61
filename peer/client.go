package peer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	clientReadBufferSize = 64 << 10 // bytes
	maxIdleConns         = 4        // idle connections kept open per target
	// maxIdleTime is the time after which an idle connection is no longer used. It is shorter than idleTimeout, after
	// which the server closes the connection.
	maxIdleTime = idleTimeout / 2
	// livenessTimeout limits the read that checks whether an idle connection is still open.
	livenessTimeout = 50 * time.Microsecond
)

// Errors of calls.
var (
	// ErrNotSent is wrapped by the errors of calls that failed before the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrRemote is wrapped by the errors that the other instance sent in place of a result, such as its handler's.
	ErrRemote = errors.New("remote error")
)

// Target is the destination of a call.
type Target struct {
	ID   string // id of the instance; empty accepts any instance at the address
	Addr string // host:port
}

// clientConn is a connection that this instance dialed. One goroutine at a time uses it.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	lastCallID uint64    // id of the most recent call
	lastUsed   time.Time // time at which the most recent call ended
}

// Call makes a call of the given kind and returns the body of the response. stream, if not nil, is sent after the body.
// Unless the error wraps ErrNotSent, the other instance may have handled the call.
func (e *Endpoint) Call(target Target, kind byte, body []byte, stream io.Reader, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	conn, err := e.connection(target, deadline)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, target.Addr, err)
	}
	conn.lastCallID++
	response, err := conn.call(Frame{Kind: kind, CallID: conn.lastCallID, Body: body}, stream, deadline)
	if err != nil {
		conn.Close()
		return nil, err
	}
	e.release(target, conn)
	if response.Kind == frameError {
		return nil, fmt.Errorf("%w: %s", ErrRemote, response.Body)
	}
	return response.Body, nil
}

// Identify performs a handshake with the instance at an address and returns that instance's handshake message.
func (e *Endpoint) Identify(addr string, timeout time.Duration) (Hello, error) {
	conn, hello, err := e.dial(Target{Addr: addr}, time.Now().Add(timeout))
	if err == nil {
		conn.Close()
	}
	return hello, err
}

// call sends a request and returns its response, a result or an error frame.
func (c *clientConn) call(request Frame, stream io.Reader, deadline time.Time) (Frame, error) {
	c.SetDeadline(deadline)
	if _, err := c.Write(request.Append(nil)); err != nil {
		return Frame{}, err
	}
	if stream != nil {
		if err := writeStream(c, request.CallID, stream); err != nil {
			return Frame{}, err
		}
	}
	for {
		response, err := ReadFrame(c.reader)
		if err != nil {
			return Frame{}, err
		}
		isResponse := response.Kind == frameResult || response.Kind == frameError
		if response.CallID > request.CallID || !isResponse {
			return Frame{}, fmt.Errorf("%w: expected a response to call %d, got a frame of kind %d for call %d", ErrInvalidFrame, request.CallID, response.Kind, response.CallID)
		}
		if response.CallID == request.CallID {
			return response, nil
		}
		// A response with a smaller id is a duplicate of an earlier call's.
	}
}

// connection returns an idle connection to the target, or dials a new one.
func (e *Endpoint) connection(target Target, deadline time.Time) (*clientConn, error) {
	conn, err := e.idleConnection(target)
	if conn != nil || err != nil {
		return conn, err
	}
	conn, _, err = e.dial(target, deadline)
	return conn, err
}

// idleConnection returns the most recently used idle connection to the target that is still usable, or nil if there is
// none. It closes the unusable ones that it finds. It fails if the endpoint is closed.
func (e *Endpoint) idleConnection(target Target) (*clientConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, net.ErrClosed
	}
	for len(e.idleConns[target]) > 0 {
		conns := e.idleConns[target]
		last := len(conns) - 1
		conn := conns[last]
		e.idleConns[target] = conns[:last]
		if time.Since(conn.lastUsed) < maxIdleTime && conn.alive() {
			return conn, nil
		}
		conn.Close()
	}
	return nil, nil
}

// alive reports whether an idle connection is open as far as this side can tell: whether a read returns data, or times
// out after livenessTimeout.
func (c *clientConn) alive() bool {
	c.SetReadDeadline(time.Now().Add(livenessTimeout))
	_, err := c.reader.Peek(1)
	var netError net.Error
	return err == nil || errors.As(err, &netError) && netError.Timeout()
}

// release makes a connection available to further calls, or closes it if there are maxIdleConns idle ones already.
func (e *Endpoint) release(target Target, conn *clientConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || len(e.idleConns[target]) >= maxIdleConns {
		conn.Close()
		return
	}
	conn.lastUsed = time.Now()
	e.idleConns[target] = append(e.idleConns[target], conn)
}

// dial opens a connection and completes the handshake. It also returns the server's handshake message, as far as it was
// received.
func (e *Endpoint) dial(target Target, deadline time.Time) (*clientConn, Hello, error) {
	dialer := net.Dialer{Deadline: deadline}
	netConn, err := dialer.Dial("tcp", target.Addr)
	if err != nil {
		return nil, Hello{}, err
	}
	conn := &clientConn{Conn: netConn, reader: bufio.NewReaderSize(netConn, clientReadBufferSize)}
	server, err := e.clientHandshake(conn, target, deadline)
	if err != nil {
		conn.Close()
		return nil, server, err
	}
	return conn, server, nil
}
