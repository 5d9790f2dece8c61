package httpwire

import "time"

const (
	// idleEvictionAge is how long a connection has been idle when it may be closed for a new one below the bound.
	idleEvictionAge = 2200 * time.Millisecond
	// incompleteEvictionAge is how long a client has sent nothing, or only a part of its request, when its connection may be
	// closed for a new one at the bound.
	incompleteEvictionAge = 250 * time.Millisecond
)

// evictionRank orders the connections that may be closed for a new one; the lowest is closed first.
type evictionRank int

const (
	rankLongIdle evictionRank = iota
	rankClosing
	rankIncomplete
	rankIdle
	rankRecent
	rankNever
)

func (s *Server) evictionRank(x *Exchange, bound int) evictionRank {
	switch age := time.Since(x.stateSince); {
	case x.state == stateIdle && age >= idleEvictionAge:
		return rankLongIdle
	case len(s.connections) < bound || x.state == stateOpen:
		return rankNever
	case x.state == stateClosing:
		return rankClosing
	case (x.state == stateNew || x.state == stateReading) && age >= incompleteEvictionAge:
		return rankIncomplete
	case x.state == stateIdle:
		return rankIdle
	}
	return rankRecent
}

// evictForNewConnection closes a connection without an open request for a new one where half of the bound is reached, so that clients that
// keep connections without using them don't exclude others. It reports whether there are fewer connections than the bound
// afterwards. The caller holds the lock.
func (s *Server) evictForNewConnection(bound int) bool {
	if len(s.connections) < bound/2 {
		return true
	}
	var victim *Exchange
	victimRank := rankNever
	for x := range s.connections {
		rank := s.evictionRank(x, bound)
		older := victim != nil && rank == victimRank && x.stateSince.Before(victim.stateSince)
		if rank < victimRank || rank < rankNever && older {
			victim = x
			victimRank = rank
		}
	}
	s.evictConnection(victim)
	return len(s.connections) < bound
}

// evictConnection ends a connection, if any, from the goroutine of another one. Its own goroutine reads once more: a request that
// has arrived is answered, and a close over unread bytes would reset the connection together with a response that is on its
// way. Where too many connections are closing in that way, it is closed at once. The caller holds the lock.
func (s *Server) evictConnection(x *Exchange) {
	if x == nil {
		return
	}
	s.removeConnection(x)
	if s.MaxConnections > 0 && s.closingCount >= s.maxClosingConnections() {
		x.conn.Close()
		return
	}
	x.evicted = true
	s.closingCount++
	if x.state == stateReading { // the part that was read can't be read again, and its goroutine may be held up
		x.conn.SetReadDeadline(time.Now().Add(incompleteEvictionAge))
	} else {
		x.conn.SetReadDeadline(pastDeadline)
	}
}

// maxClosingConnections is how many connections beyond the bound may be closing at a time: each holds a descriptor.
func (s *Server) maxClosingConnections() int { return max(1, s.MaxConnections/8) }

// removeConnection forgets a connection. The caller holds the lock.
func (s *Server) removeConnection(x *Exchange) {
	if _, present := s.connections[x]; !present {
		return
	}
	delete(s.connections, x)
	if x.state == stateIdle {
		s.idleCount--
	}
}

// setState changes a connection's state. The caller holds the lock.
func (s *Server) setState(x *Exchange, state connState) {
	if _, present := s.connections[x]; present {
		if x.state == stateIdle {
			s.idleCount--
		}
		if state == stateIdle {
			s.idleCount++
		}
	}
	x.state = state
	x.stateSince = time.Now()
}

// enterState is setState for callers that don't hold the lock.
func (s *Server) enterState(x *Exchange, state connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setState(x, state)
}

// setIdle marks a connection as idle, and closes the one that has been idle longest if there are too many. The caller holds
// the lock.
func (s *Server) setIdle(x *Exchange) {
	s.setState(x, stateIdle)
	if s.MaxIdleConnections <= 0 || s.idleCount <= s.MaxIdleConnections {
		return
	}
	var oldest *Exchange
	for other := range s.connections {
		if other.state == stateIdle && (oldest == nil || other.stateSince.Before(oldest.stateSince)) {
			oldest = other
		}
	}
	s.evictConnection(oldest)
}
