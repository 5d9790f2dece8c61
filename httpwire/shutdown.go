package httpwire

import "time"

// pastDeadline is a deadline that ends a blocked call at once.
var pastDeadline = time.Unix(1, 0)

// finalReadTimeout limits the last read on a connection, or the last accept on a listener, before it is closed. It starts when
// the goroutine runs, so that a request that has arrived by then is answered even if the goroutine was scheduled late.
const finalReadTimeout = 20 * time.Millisecond

// DisableKeepAlive makes every connection close after its next response.
func (s *Server) DisableKeepAlive() { s.keepAliveDisabled.Store(true) }

// Close stops listening, closes idle connections and makes each of the others close after its next response. It does not wait
// for that; see Wait.
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

// Wait waits until Serve has returned and every connection that was not rejected is closed. It returns false if the timeout
// passes before.
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

// closesAfterResponse reports whether a connection must be closed after the response to its open request. While keep-alive is
// disabled, requests that have arrived already are still answered.
func (s *Server) closesAfterResponse(x *Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastOfStop := s.keepAliveDisabled.Load() && x.reader.Buffered() == 0
	return x.Close || x.waitExpired || x.evicted || lastOfStop
}
