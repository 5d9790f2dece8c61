package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/clock"
	"alderproxy/membership"
)

const (
	// receiveQueueSize is the maximum number of events from the network that wait for the protocol. Further ones are
	// dropped, so that a flood of datagrams cannot exhaust the memory.
	receiveQueueSize = 1024
	// commandQueueSize is the maximum number of events from this process that wait for the protocol. Further ones block
	// the caller.
	commandQueueSize = 64
	// ioTimeout limits each read from the socket, and all writes of one step together.
	ioTimeout = 250 * time.Millisecond
)

// Config is the configuration of a Node.
type Config struct {
	// Member configures the protocol. A Generation of 0 is replaced by one derived from the current time, a RandomSeed
	// of 0 by a random one.
	Member membership.Config
	// Group is the name of the group. Datagrams of other groups are dropped.
	Group string
	// Key is the shared secret that authenticates the group's datagrams; empty if there is none.
	Key []byte
	// Conn is the socket. Node.Close closes it.
	Conn *net.UDPConn
	// Clock returns the monotonic time; nil stands for clock.Now.
	Clock func() membership.Micros
	Log   *logrus.Entry
}

// Node is a running member of a group. It is safe for concurrent use.
type Node struct {
	config  Config
	codec   *membership.Codec
	group   *membership.Group // used only by the goroutine that executes run
	rawConn syscall.RawConn

	view        atomic.Pointer[membership.View]
	counts      atomic.Pointer[DatagramCounts]
	nameTakenBy atomic.Pointer[netip.AddrPort] // address of the other member that owns this one's name; nil if none

	received         chan membership.Event // events from the network
	commands         chan membership.Event // events from this process, never dropped while the node runs
	snapshotRequests chan chan membership.View
	stopping         chan struct{}
	goroutines       sync.WaitGroup

	mu           sync.Mutex
	viewChanged  chan struct{} // closed and replaced when the view changes
	dropCounts   DropCounts
	lastDropErr  error
	lastDropFrom netip.AddrPort
}

// Open starts a node. It returns an error if the configuration is invalid or the socket cannot be used.
func Open(config Config) (*Node, error) {
	if config.Member.Generation == 0 {
		config.Member.Generation = generationAt(time.Now())
	}
	if config.Member.RandomSeed == 0 {
		config.Member.RandomSeed = rand.Uint64()
	}
	if config.Clock == nil {
		config.Clock = clock.Now
	}
	group, err := membership.New(config.Member, config.Clock())
	if err != nil {
		return nil, err
	}
	rawConn, err := config.Conn.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	n := &Node{
		config:           config,
		codec:            membership.NewCodec(config.Group, config.Key),
		group:            group,
		rawConn:          rawConn,
		received:         make(chan membership.Event, receiveQueueSize),
		commands:         make(chan membership.Event, commandQueueSize),
		snapshotRequests: make(chan chan membership.View),
		stopping:         make(chan struct{}),
		viewChanged:      make(chan struct{}),
	}
	n.enableErrorQueue()
	n.view.Store(&membership.View{})
	n.counts.Store(&DatagramCounts{})
	n.goroutines.Go(n.receive)
	n.goroutines.Go(n.run)
	return n, nil
}

// Close stops the node and closes its socket without notifying the group. For a planned departure call Leave some time
// before. Close must be called only once.
func (n *Node) Close() error {
	close(n.stopping)
	err := n.config.Conn.Close()
	n.goroutines.Wait()
	return err
}

// View returns the current view, which must not be modified.
func (n *Node) View() *membership.View { return n.view.Load() }

// ViewChanged returns a channel that is closed at the next change of the view. To miss no change, call it before View.
func (n *Node) ViewChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.viewChanged
}

// PublishFact publishes or withdraws a fact of this member; see membership.FactKey.
func (n *Node) PublishFact(fact membership.PublishFact) { n.enqueueCommand(fact) }

// Leave announces the planned departure of this member to the group. The node keeps running until it is closed.
func (n *Node) Leave() { n.enqueueCommand(membership.Leave{}) }

// enqueueCommand queues an event from this process. It waits while the queue is full, and drops the event if the node is
// closed.
func (n *Node) enqueueCommand(event membership.Event) {
	select {
	case n.commands <- event:
	case <-n.stopping:
	}
}

// snapshot returns the protocol's current view, including details whose changes emit no ViewChanged action. Once the
// node is closed, it returns the last view that was announced.
func (n *Node) snapshot() membership.View {
	reply := make(chan membership.View, 1)
	select {
	case n.snapshotRequests <- reply:
		return <-reply
	case <-n.stopping:
		return *n.View()
	}
}
