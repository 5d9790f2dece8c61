package httpwire

import "time"

// pastDeadline is a deadline that ends a wait at once.
var pastDeadline = time.Unix(1, 0)

// finalReadTimeout is how long a connection that is about to close is still read, counted from when its goroutine runs: a
// request that has arrived is accepted, and is answered.
const finalReadTimeout = 20 * time.Millisecond

// DisableKeepAlive has every connection close after its next response.
func (s *Server) DisableKeepAlive() { s.keepAliveDisabled.Store(true) }

// Close stops listening and ends each connection as soon as it is idle. It does not wait for that; see Wait.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveDisabled.Store(true)
	s.stopping.Store(true)
	if listener, ok := s.listener.(deadlineSetter); ok {
		_ = listener.SetDeadline(pastDeadline) // Serve accepts once more before it closes the listener
	} else if s.listener != nil {
		s.listener.Close()
	}
	for x := range s.connections {
		if x.state == stateIdle || x.state == stateNew {
			x.conn.SetReadDeadline(pastDeadline)
		}
	}
}

// Wait waits until every connection has ended, and reports whether that was within the limit.
func (s *Server) Wait(timeout time.Duration) bool {
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// closesAfterResponse reports whether a connection closes after the response to its open request.
func (s *Server) closesAfterResponse(x *Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.Close || x.idleExpired || x.evicted || s.keepAliveDisabled.Load()
}
