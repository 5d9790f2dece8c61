// Package simnet simulates a network of nodes in virtual time, for tests of distributed algorithms. It simulates delay,
// loss, duplication, one-way and two-way cuts, pauses and crashes. Nothing runs concurrently: Run calls the events in the
// order of their times, and those of the same time in the order in which they were scheduled. All randomness is drawn
// from the seed, so that a run is reproducible; Digest distinguishes runs.
//
// A node is a number; the test decides what it does. It acts by Send, SendOrdered and Schedule, each of which takes a
// callback for the node concerned. A callback must not hold references to the state of other nodes.
package simnet

import (
	"container/heap"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// Micros is a duration or a time in microseconds. Virtual time begins at StartTime.
type Micros = int64

// StartTime is the time at which every network starts. It is not 0, since 0 means "never" in many settings.
const StartTime Micros = 1_000_000_000

// randomStream separates the network's random numbers from others of the same seed.
const randomStream = 0x51313e7

// NodeID identifies a node.
type NodeID int

// Link describes the transmission of messages from one node to another.
type Link struct {
	// MinDelay and MaxDelay bound the delay, which is uniformly distributed. Messages may overtake each other.
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
	// lastOrderedArrival is when the latest ordered message of a route arrives.
	lastOrderedArrival map[route]Micros
	digest             hash.Hash64
	counts             Counts
}

// route is the way from one node to another.
type route struct {
	from NodeID
	to   NodeID
}

// Counts counts the events of a network.
type Counts struct {
	Sent       int
	Delivered  int // callbacks that were called, timers included
	Lost       int
	Duplicated int
	Blocked    int // messages on a route that was cut
}

// node is the state of a node.
type node struct {
	// incarnation counts the crashes. Events of an earlier incarnation are dropped.
	incarnation int
	dead        bool
	// pausedUntil is the time before which no event reaches the node.
	pausedUntil Micros
}

// New returns a network in which all links are as given until SetLink changes them.
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

// Rand returns the network's source of randomness, for the decisions of nodes.
func (n *Network) Rand() *rand.Rand { return n.rng }

// Counts returns the counts so far.
func (n *Network) Counts() Counts { return n.counts }

// Digest returns a hash of all events so far, with their times, and of the values that AddToDigest added.
func (n *Network) Digest() uint64 { return n.digest.Sum64() }

// AddToDigest adds values to the digest.
func (n *Network) AddToDigest(values ...uint64) {
	for _, value := range values {
		n.digest.Write(binary.LittleEndian.AppendUint64(nil, value)) // never fails
	}
}

// Run calls the events until a time, which is the current time afterwards.
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

// Schedule calls a callback of a node after a delay. A pause of the node postpones the call, and a crash cancels it.
func (n *Network) Schedule(id NodeID, delay Micros, callback func()) {
	if !n.node(id).dead {
		n.push(n.now+max(0, delay), id, callback)
	}
}

// Send sends a datagram, which arrives once, twice, late or never.
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

// SendOrdered sends a message on a connection: messages arrive in order, and none is lost on an open route. A message on
// a route that is cut, or to a dead node, is dropped without notice.
func (n *Network) SendOrdered(from, to NodeID, arrive func()) {
	if !n.admitMessage(from, to) {
		return
	}
	path := route{from, to}
	arrival := max(n.now+n.drawDelay(n.linkBetween(from, to)), n.lastOrderedArrival[path])
	n.lastOrderedArrival[path] = arrival
	n.push(arrival, to, arrive)
}

// admitMessage counts a message and reports whether its route is not cut and its recipient is alive.
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

// node returns the state of a node, which is created at its first use.
func (n *Network) node(id NodeID) *node {
	if n.nodes[id] == nil {
		n.nodes[id] = &node{}
	}
	return n.nodes[id]
}

// Except returns the nodes without one of them.
func Except(nodes []NodeID, excluded NodeID) []NodeID {
	return slices.DeleteFunc(slices.Clone(nodes), func(id NodeID) bool { return id == excluded })
}
