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
	maxIdleConns         = 4        // connections kept open to one instance
	maxIdleTime          = idleTimeout / 2
	// livenessTimeout bounds the read that shows whether an idle connection is still open.
	livenessTimeout = 50 * time.Microsecond
)

// Errors of calls.
var (
	// ErrNotSent is wrapped by errors of calls that the other instance has not received.
	ErrNotSent = errors.New("never sent")
	// ErrRemote is wrapped by errors that the other instance's handler returned.
	ErrRemote = errors.New("the other instance says")
)

// Target is the instance that a call goes to.
type Target struct {
	ID   string // empty: any instance at the address
	Addr string // host:port
}

// clientConn is a connection that this instance dialed. One goroutine at a time uses it.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	lastCallID uint64    // id of the newest call
	lastUsed   time.Time // end of the newest call
}

// Call makes a call and returns the result. stream, if not nil, is sent behind the body. The other instance may have
// handled the call unless the error is an ErrNotSent.
func (e *Endpoint) Call(target Target, kind byte, body []byte, stream io.Reader, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	conn, err := e.connection(target, deadline)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
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

// Identify returns the handshake message of the instance at an address.
func (e *Endpoint) Identify(addr string, timeout time.Duration) (Hello, error) {
	conn, hello, err := e.dial(Target{Addr: addr}, time.Now().Add(timeout))
	if err == nil {
		conn.Close()
	}
	return hello, err
}

// call sends a request and reads its answer: a result or an error frame.
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
			return Frame{}, fmt.Errorf("%w: answers call %d with kind %d", ErrInvalidFrame, response.CallID, response.Kind)
		}
		if response.CallID == request.CallID {
			return response, nil
		}
		// A smaller id is a duplicate of an earlier answer.
	}
}

// connection returns an idle connection or dials one.
func (e *Endpoint) connection(target Target, deadline time.Time) (*clientConn, error) {
	conn, err := e.idleConnection(target)
	if conn != nil || err != nil {
		return conn, err
	}
	conn, _, err = e.dial(target, deadline)
	return conn, err
}

// idleConnection returns the most recently used idle connection that is still open, or nil.
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

// alive reports whether an idle connection is open as far as this side knows. It hardly waits.
func (c *clientConn) alive() bool {
	c.SetReadDeadline(time.Now().Add(livenessTimeout))
	_, err := c.reader.Peek(1)
	var netError net.Error
	return err == nil || errors.As(err, &netError) && netError.Timeout()
}

// release keeps a connection for further calls, or closes it if there are enough.
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

// dial opens a connection and completes the handshake. It returns the server's handshake message.
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
