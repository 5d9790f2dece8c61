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
	// serverReadBufferSize is the size of a connection's read buffer, in bytes. It is small because there may be
	// thousands of connections; longer reads bypass the buffer.
	serverReadBufferSize = 4 << 10
	idleTimeout          = 30 * time.Second      // time without a call after which a connection is closed
	serverCallTimeout    = 30 * time.Second      // limit from the first byte of a call until its stream has been read
	responseTimeout      = 2 * time.Second       // limit to write a response
	acceptRetryDelay     = 10 * time.Millisecond // after an error of the listener
)

// pastDeadline is a deadline that ends a read in progress at once.
var pastDeadline = time.Unix(1, 0)

const (
	// maxNonMemberConns is the maximum number of accepted connections from instances that are not members. It allows
	// two for each of 1,024 followers, which may all depend on a single remaining voter.
	maxNonMemberConns = 2 * 1024
	// maxMemberConns is the number of connections reserved for members: maxIdleConns for each of 64 members.
	maxMemberConns = 64 * maxIdleConns
	// maxConns is the maximum number of accepted connections.
	maxConns = maxNonMemberConns + maxMemberConns
)

// accept accepts connections and serves each in a goroutine of its own, until the listener is closed.
func (e *Endpoint) accept() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.warn("cannot accept peer connection", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !e.register(conn) {
			conn.Close()
			continue
		}
		go e.handleConnection(conn)
	}
}

// register adds a connection to the accepted ones and its goroutine to those that Close waits for. It returns false if
// the endpoint is closed or already has maxConns accepted connections.
func (e *Endpoint) register(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || len(e.acceptedConns) >= maxConns {
		return false
	}
	e.acceptedConns[conn] = true
	e.goroutines.Add(1)
	return true
}

func (e *Endpoint) unregister(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.acceptedConns, conn)
}

func (e *Endpoint) handleConnection(conn net.Conn) {
	defer e.goroutines.Done()
	if err := e.serve(conn); err != nil {
		e.warn("peer connection failed", err)
	}
	conn.Close()
	e.unregister(conn)
}

// serve performs the handshake and serves the calls on a connection until the connection ends. It returns nil if the
// client closed the connection before or during the handshake, or if no further call arrived.
func (e *Endpoint) serve(conn net.Conn) error {
	reader := bufio.NewReaderSize(conn, serverReadBufferSize)
	clientID, err := e.serverHandshake(conn, reader)
	if errors.Is(err, io.EOF) {
		return nil // the client sent no message, or rejected this instance
	}
	if err != nil {
		return fmt.Errorf("client at %s: %w", conn.RemoteAddr(), err)
	}
	if e.config.IsMember != nil && !e.config.IsMember(clientID) {
		if !e.reserveNonMemberConn() {
			return fmt.Errorf("%w: client %s: too many connections from instances that are not members (maximum %d)", ErrHandshakeRejected, clientID, maxNonMemberConns)
		}
		defer e.releaseNonMemberConn()
	}
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := reader.Peek(1); err != nil {
			return nil // closed or idle for idleTimeout
		}
		if err := e.serveFrame(conn, reader, clientID); err != nil {
			return err
		}
	}
}

// serveFrame reads a frame. If it is a request, serveFrame calls its handler and writes the response.
func (e *Endpoint) serveFrame(conn net.Conn, reader *bufio.Reader, clientID string) error {
	conn.SetDeadline(time.Now().Add(serverCallTimeout))
	request, err := ReadFrame(reader)
	if err != nil {
		return fmt.Errorf("cannot read frame from %s: %w", clientID, err)
	}
	if request.Kind == frameStreamChunk {
		return nil // a duplicate, or part of a stream that its handler did not read to the end
	}
	handler := e.handlers[request.Kind]
	if handler == nil {
		return fmt.Errorf("%w: no handler for kind %d from %s", ErrInvalidFrame, request.Kind, clientID)
	}
	stream := &streamReader{frames: reader, callID: request.CallID}
	body, err := handler(clientID, request.Body, stream)
	if interrupted := stream.detach(func() { conn.SetReadDeadline(pastDeadline) }); interrupted {
		return fmt.Errorf("%w: call of kind %d from %s", errHandlerReturned, request.Kind, clientID)
	}
	response := newResponse(request.CallID, body, err)
	conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := conn.Write(response.Append(nil)); err != nil {
		return fmt.Errorf("cannot write response to %s: %w", clientID, err)
	}
	return nil
}

// newResponse returns the response to a call from what its handler returned: a result, or an error if the handler failed
// or the body is larger than MaxBodySize.
func newResponse(callID uint64, body []byte, err error) Frame {
	response := Frame{Kind: frameResult, CallID: callID, Body: body}
	if err != nil {
		response.Kind = frameError
		response.Body = []byte(err.Error())
	}
	if len(response.Body) > MaxBodySize {
		response.Kind = frameError
		response.Body = []byte("the answer is too long")
	}
	return response
}

// reserveNonMemberConn counts a connection from an instance that is not a member. It returns false, and counts nothing,
// if there are already maxNonMemberConns of them.
func (e *Endpoint) reserveNonMemberConn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.nonMemberConns >= maxNonMemberConns {
		return false
	}
	e.nonMemberConns++
	return true
}

func (e *Endpoint) releaseNonMemberConn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nonMemberConns--
}
