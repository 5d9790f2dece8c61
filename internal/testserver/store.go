package testserver

import (
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordCapacity is how many records a server keeps that the test has not read.
const recordCapacity = 256

// Store is a store of one of the two protocols.
type Store struct {
	Addr     string
	Requests chan string   // what came, in order: a frame's text, or a search's target and body
	Closed   chan struct{} // gets a value for each connection that has ended

	listener    net.Listener
	acceptEnded chan struct{} // closed when the listener is

	mu          sync.Mutex
	fault       Fault
	faultShard  string        // the shard that has the fault; empty: all
	hold        chan struct{} // answers wait until it is closed; nil: they don't
	connections map[net.Conn]bool
}

// startStore starts a store whose connections are served by a function.
func startStore(t *testing.T, serve func(*Store, net.Conn)) *Store {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Store{
		Addr:        listener.Addr().String(),
		Requests:    make(chan string, recordCapacity),
		Closed:      make(chan struct{}, recordCapacity),
		listener:    listener,
		acceptEnded: make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
	t.Cleanup(func() { s.SetFault(Down) })
	go s.accept(serve)
	return s
}

func (s *Store) accept(serve func(*Store, net.Conn)) {
	defer close(s.acceptEnded)
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections[c] = true
		s.mu.Unlock()
		go func() {
			defer s.remove(c)
			serve(s, c)
		}()
	}
}

func (s *Store) remove(c net.Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
	select {
	case s.Closed <- struct{}{}:
	default: // the test does not count them
	}
}

// SetFault changes what the store does from now on.
func (s *Store) SetFault(f Fault) {
	if f == Down { // until Accept has returned, the kernel would go on accepting connections
		s.listener.Close()
		<-s.acceptEnded
	}
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f == Down {
		s.CloseConnections()
	}
}

// SetShardFault is SetFault for requests to one shard.
func (s *Store) SetShardFault(shard int, f Fault) {
	s.SetFault(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultShard = strconv.Itoa(shard)
}

// HoldAnswers makes answers wait until release is called.
func (s *Store) HoldAnswers() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := make(chan struct{})
	s.hold = hold
	return sync.OnceFunc(func() { close(hold) })
}

// CloseConnections closes the open connections, and not the listener.
func (s *Store) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.Close()
	}
}

// Connections returns the number of open connections.
func (s *Store) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// behavior returns what the store does with a request to a shard: a fault, and what its answer waits for, if anything.
func (s *Store) behavior(shard string) (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultShard != "" && s.faultShard != shard {
		return None, s.hold
	}
	return s.fault, s.hold
}
