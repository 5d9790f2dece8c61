package httpwire

import "time"

const (
	// idleEvictionAge is the idle time after which a connection may be evicted although the limit is not reached.
	idleEvictionAge = 2200 * time.Millisecond
	// incompleteEvictionAge is the time without a complete request after which a connection is evicted at the limit before
	// those that are idle. It is also the time that an evicted connection has to complete a request of which a part has
	// arrived.
	incompleteEvictionAge = 250 * time.Millisecond
)

// evictionRank is a connection's rank in the order of eviction. The lowest is evicted first.
type evictionRank int

const (
	rankLongIdle   evictionRank = iota // idle for idleEvictionAge; the only rank that is evicted below the limit
	rankClosing                        // no further request is read from it
	rankIncomplete                     // without a complete request for incompleteEvictionAge
	rankIdle                           // idle for less than idleEvictionAge
	rankRecent                         // without a complete request, for less than incompleteEvictionAge
	rankNever                          // not evicted
)

// evictionRank returns the rank of a connection under a limit on the number of connections. The caller holds the lock.
func (s *Server) evictionRank(x *Exchange, limit int) evictionRank {
	switch age := time.Since(x.stateSince); {
	case x.state == stateIdle && age >= idleEvictionAge:
		return rankLongIdle
	case len(s.connections) < limit || x.state == stateOpen:
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

// evictForNewConnection evicts the connection of the lowest rank, if any may be evicted, once half of the limit on connections
// is reached. Clients that keep connections without using them would otherwise exclude others. With a limit of 0 every
// connection without an open request may be evicted. It reports whether there are fewer connections than the limit afterwards.
// The caller holds the lock.
func (s *Server) evictForNewConnection(limit int) bool {
	if len(s.connections) < limit/2 {
		return true
	}
	var victim *Exchange
	victimRank := rankNever
	for x := range s.connections {
		rank := s.evictionRank(x, limit)
		older := victim != nil && rank == victimRank && x.stateSince.Before(victim.stateSince)
		if rank < victimRank || rank < rankNever && older {
			victim = x
			victimRank = rank
		}
	}
	s.evictConnection(victim)
	return len(s.connections) < limit
}

// evictConnection removes a connection, which may be nil, from the server's connections and ends the wait of its goroutine,
// which then closes it. That goroutine reads once more: a request that has arrived must be answered, and a close with unread
// bytes would reset the connection and lose a response that is on its way. If too many connections are closing already, this
// one is closed at once. The caller holds the lock.
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
	if x.state == stateReading { // a past deadline would fail a request that was read in part, even if the rest has arrived since
		x.conn.SetReadDeadline(time.Now().Add(incompleteEvictionAge))
	} else {
		x.conn.SetReadDeadline(pastDeadline)
	}
}

// maxClosingConnections returns the maximum number of rejected or evicted connections that may be closing at a time. Each
// holds a file descriptor beyond MaxConnections.
func (s *Server) maxClosingConnections() int { return max(1, s.MaxConnections/8) }

// removeConnection removes a connection, if present, from the server's connections. The caller holds the lock.
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

// enterState is like setState, but takes the lock.
func (s *Server) enterState(x *Exchange, state connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setState(x, state)
}

// setIdle marks a connection as idle. If there are more than MaxIdleConnections, it evicts the one that has been idle longest.
// The caller holds the lock.
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
