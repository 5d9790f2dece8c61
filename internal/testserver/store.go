package testserver

import (
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordCapacity is the capacity of the channels in which servers record requests and closed connections.
const recordCapacity = 256

// Store is a store that uses the platform's frames or answers searches.
type Store struct {
	Addr     string
	Requests chan string   // the requests in order: the kind and text of a frame, or the target and body of a search
	Closed   chan struct{} // receives a value for each closed connection; those beyond the capacity are dropped

	listener    net.Listener
	acceptEnded chan struct{} // closed when the store no longer accepts connections

	mu          sync.Mutex
	fault       Fault
	faultShard  string        // the shard to which the fault is limited; empty: all
	hold        chan struct{} // answers wait until it is closed; nil: they are sent at once
	connections map[net.Conn]bool
}

// NewStore starts a store that calls serve for each connection, and closes the connection when serve returns.
func NewStore(t *testing.T, serve func(net.Conn)) *Store {
	t.Helper()
	return startStore(t, func(_ *Store, c net.Conn) { serve(c) })
}

// startStore starts a store that calls serve for each connection.
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
	default: // the test does not read them
	}
}

// SetFault sets the fault of the store for later requests. Down cannot be undone.
func (s *Store) SetFault(f Fault) {
	if f == Down { // until Accept has returned, the kernel continues to accept connections
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

// SetShardFault sets the fault of the store for later requests to one shard. Later calls of SetFault are limited to this
// shard too.
func (s *Store) SetShardFault(shard int, f Fault) {
	s.SetFault(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultShard = strconv.Itoa(shard)
}

// HoldAnswers delays the answers to later requests until release is called.
func (s *Store) HoldAnswers() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := make(chan struct{})
	s.hold = hold
	return sync.OnceFunc(func() { close(hold) })
}

// CloseConnections closes the open connections, but not the listener.
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

// behavior returns the fault that applies to a request to a shard, and the channel whose closing its answer must wait for,
// or nil.
func (s *Store) behavior(shard string) (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultShard != "" && s.faultShard != shard {
		return None, s.hold
	}
	return s.fault, s.hold
}
