// Package simnet simulates a network of nodes in virtual time, for tests of distributed algorithms. It simulates delay,
// loss, duplication, one-way and two-way partitions, pauses and crashes. Nothing runs concurrently: Run calls the events in
// the order of their times, and events of the same time in the order in which they were scheduled. All random numbers
// derive from the seed, so that a run is reproducible; Digest shows whether two runs were the same.
//
// A node is identified by a number; the test implements what it does, with Send, SendOrdered and Schedule. Each of them takes
// a callback, which runs on the receiving node or, with Schedule, on the node itself. A callback must not access the state
// of other nodes.
package simnet

import (
	"container/heap"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// Micros is a duration or a point in virtual time, in microseconds.
type Micros = int64

// StartTime is the virtual time at which every network starts. It is not 0, since 0 means "never" in many settings.
const StartTime Micros = 1_000_000_000

// randomStream makes the network's random numbers independent of other generators with the same seed.
const randomStream = 0x51313e7

// NodeID identifies a node.
type NodeID int

// Link contains the properties of the transmission from one node to another.
type Link struct {
	// MinDelay and MaxDelay are the limits of the delay, which is uniformly distributed. Datagrams may be reordered.
	MinDelay Micros
	MaxDelay Micros
	// LossRate is the fraction of datagrams that are lost.
	LossRate float64
	// DuplicationRate is the fraction of datagrams that arrive twice, each copy with its own delay.
	DuplicationRate float64
}

// Network is a simulated network. Its methods are called by the test before Run, and by callbacks during Run.
type Network struct {
	now          Micros
	rng          *rand.Rand
	queue        eventQueue
	lastSequence uint64
	defaultLink  Link
	links        map[route]Link
	cuts         map[route]int // active cuts by route
	nodes        map[NodeID]*node
	// lastOrderedArrival is the arrival time of the last message that SendOrdered sent on a route.
	lastOrderedArrival map[route]Micros
	digest             hash.Hash64
	counts             Counts
}

// route is the direction from one node to another.
type route struct {
	from NodeID
	to   NodeID
}

// Counts contains the numbers of messages and callbacks of a network.
type Counts struct {
	Sent       int
	Delivered  int // callbacks that were called, including those of Schedule
	Lost       int
	Duplicated int
	Blocked    int // messages on a route that was cut
}

// node is the state of a node.
type node struct {
	// incarnation is the number of crashes so far. Events of an earlier incarnation are dropped.
	incarnation int
	dead        bool
	// pausedUntil is the time before which no event reaches the node.
	pausedUntil Micros
}

// New returns a network in which every link has the given properties until SetLink changes them.
func New(seed uint64, link Link) *Network {
	return &Network{
		now:                StartTime,
		rng:                rand.New(rand.NewPCG(seed, randomStream)),
		defaultLink:        link,
		links:              map[route]Link{},
		cuts:               map[route]int{},
		nodes:              map[NodeID]*node{},
		lastOrderedArrival: map[route]Micros{},
		digest:             fnv.New64a(),
	}
}

// Now returns the current time.
func (n *Network) Now() Micros { return n.now }

// Rand returns the network's random number generator, for the decisions of nodes.
func (n *Network) Rand() *rand.Rand { return n.rng }

// Counts returns the counts so far.
func (n *Network) Counts() Counts { return n.counts }

// Digest returns a hash of the times and nodes of all callbacks called so far, and of the values that AddToDigest added.
func (n *Network) Digest() uint64 { return n.digest.Sum64() }

// AddToDigest adds values to the digest.
func (n *Network) AddToDigest(values ...uint64) {
	for _, value := range values {
		n.digest.Write(binary.LittleEndian.AppendUint64(nil, value)) // never fails
	}
}

// Run calls the events that are due up to a time, and advances the current time to it.
func (n *Network) Run(until Micros) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		next := heap.Pop(&n.queue).(event)
		target := n.node(next.node)
		n.now = next.at
		if next.incarnation != target.incarnation || target.dead {
			continue
		}
		if target.pausedUntil > n.now {
			next.at = target.pausedUntil
			heap.Push(&n.queue, next)
			continue
		}
		n.counts.Delivered++
		n.AddToDigest(uint64(next.at), uint64(next.node))
		next.callback()
	}
	n.now = max(n.now, until)
}

// Schedule calls a callback on a node after a delay. A pause of the node postpones the call, and a crash cancels it. On a
// dead node, nothing is scheduled.
func (n *Network) Schedule(id NodeID, delay Micros, callback func()) {
	if !n.node(id).dead {
		n.push(n.now+max(0, delay), id, callback)
	}
}

// Send sends a datagram, which may be delayed, reordered, duplicated or lost. arrive is called for each arrival.
func (n *Network) Send(from, to NodeID, arrive func()) {
	link := n.linkBetween(from, to)
	if !n.admitMessage(from, to) {
		return
	}
	if n.rng.Float64() < link.LossRate {
		n.counts.Lost++
		return
	}
	copies := 1
	if n.rng.Float64() < link.DuplicationRate {
		n.counts.Duplicated++
		copies++
	}
	for range copies {
		n.push(n.now+n.drawDelay(link), to, arrive)
	}
}

// SendOrdered sends a message as on a connection: the messages of a route arrive in order, and the link's loss and
// duplication do not apply. A message on a cut route or to a dead node is dropped without notice.
func (n *Network) SendOrdered(from, to NodeID, arrive func()) {
	if !n.admitMessage(from, to) {
		return
	}
	path := route{from, to}
	arrival := max(n.now+n.drawDelay(n.linkBetween(from, to)), n.lastOrderedArrival[path])
	n.lastOrderedArrival[path] = arrival
	n.push(arrival, to, arrive)
}

// admitMessage counts a message as sent, and as blocked if its route is cut. It reports whether the route is open and the
// recipient alive.
func (n *Network) admitMessage(from, to NodeID) bool {
	n.counts.Sent++
	if n.cuts[route{from, to}] > 0 {
		n.counts.Blocked++
		return false
	}
	return !n.node(to).dead
}

func (n *Network) linkBetween(from, to NodeID) Link {
	if link, ok := n.links[route{from, to}]; ok {
		return link
	}
	return n.defaultLink
}

func (n *Network) drawDelay(link Link) Micros {
	return link.MinDelay + n.rng.Int64N(max(0, link.MaxDelay-link.MinDelay)+1)
}

// node returns the state of a node, which it creates on first use.
func (n *Network) node(id NodeID) *node {
	if n.nodes[id] == nil {
		n.nodes[id] = &node{}
	}
	return n.nodes[id]
}

// Except returns a copy of nodes without the excluded one.
func Except(nodes []NodeID, excluded NodeID) []NodeID {
	return slices.DeleteFunc(slices.Clone(nodes), func(id NodeID) bool { return id == excluded })
}
