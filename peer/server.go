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
	// serverReadBufferSize is small, in bytes, because there may be thousands of connections. Longer reads bypass it.
	serverReadBufferSize = 4 << 10
	idleTimeout          = 30 * time.Second // of a connection without a call
	serverCallTimeout    = 30 * time.Second // from the first byte of a call until its stream has been read
	responseTimeout      = 2 * time.Second  // to write an answer
	acceptRetryDelay     = 10 * time.Millisecond
)

const (
	// maxNonMemberConns is enough for two connections of each of 1,024 followers, which may all have one voter left.
	maxNonMemberConns = 2 * 1024
	// maxMemberConns is enough for 64 members with maxIdleConns connections each.
	maxMemberConns = 64 * maxIdleConns
	// maxConns bounds all accepted connections.
	maxConns = maxNonMemberConns + maxMemberConns
)

func (e *Endpoint) accept() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.warn("peer not accepted", err)
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

// register reports whether there is capacity for a connection, and counts it and its goroutine if so.
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
		e.warn("peer connection ended", err)
	}
	conn.Close()
	e.unregister(conn)
}

// serve answers the calls on a connection until it ends.
func (e *Endpoint) serve(conn net.Conn) error {
	reader := bufio.NewReaderSize(conn, serverReadBufferSize)
	clientID, err := e.serverHandshake(conn, reader)
	if errors.Is(err, io.EOF) {
		return nil // a client's Identify ends here
	}
	if err != nil {
		return err
	}
	if e.config.IsMember != nil && !e.config.IsMember(clientID) {
		if !e.reserveNonMemberConn() {
			return fmt.Errorf("%w: from %s: too many connections of instances that are no members", ErrHandshakeRejected, clientID)
		}
		defer e.releaseNonMemberConn()
	}
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := reader.Peek(1); err != nil {
			return nil // ended between two calls
		}
		if err := e.serveFrame(conn, reader, clientID); err != nil {
			return err
		}
	}
}

// serveFrame reads a frame and answers it if it is a call.
func (e *Endpoint) serveFrame(conn net.Conn, reader *bufio.Reader, clientID string) error {
	conn.SetDeadline(time.Now().Add(serverCallTimeout))
	request, err := ReadFrame(reader)
	if err != nil {
		return fmt.Errorf("from %s: %w", clientID, err)
	}
	if request.Kind == frameStreamChunk {
		return nil // a duplicate, or of a stream that its handler did not read to the end
	}
	handler := e.handlers[request.Kind]
	if handler == nil {
		return fmt.Errorf("%w: kind %d from %s", ErrInvalidFrame, request.Kind, clientID)
	}
	body, err := handler(clientID, request.Body, &streamReader{frames: reader, callID: request.CallID})
	response := newResponse(request.CallID, body, err)
	conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := conn.Write(response.Append(nil)); err != nil {
		return fmt.Errorf("to %s: %w", clientID, err)
	}
	return nil
}

// newResponse returns the frame that answers a call with what its handler returned.
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

// reserveNonMemberConn reports whether an instance that is no member may have one more connection, and counts it if so.
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
