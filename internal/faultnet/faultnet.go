// Package faultnet injects faults into the network between real instances. Proxies in front of the instances lose, delay,
// duplicate or block the frames and datagrams between them, by rules for each sender and receiver.
package faultnet

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Rule describes the faults in one direction between two instances.
type Rule struct {
	LossPercent      int
	DuplicatePercent int
	MaxDelay         time.Duration // delays are uniformly distributed below it
	Cut              bool          // blocks everything
}

// direction is the direction from one instance to another, by their names.
type direction struct{ from, to string }

// Network is the network between all instances. The name of an instance is its ID up to the first dot.
type Network struct {
	Frames     atomic.Int64 // frames that proxies received
	Datagrams  atomic.Int64 // datagrams from known senders to proxies with a target
	Lost       atomic.Int64 // frames and datagrams that were lost or blocked
	Duplicated atomic.Int64 // frames and datagrams that were duplicated

	mu              sync.Mutex
	random          *rand.Rand
	rules           map[direction]Rule
	defaultRule     Rule
	datagramProxies map[netip.AddrPort]*DatagramProxy // by the address of the instance
}

// New returns a network without faults. Its random numbers derive from the seed.
func New(seed uint64) *Network {
	return &Network{
		random:          rand.New(rand.NewPCG(seed, 3)),
		rules:           map[direction]Rule{},
		datagramProxies: map[netip.AddrPort]*DatagramProxy{},
	}
}

// SetDefault sets the faults in every direction that has no rule of its own.
func (n *Network) SetDefault(r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.defaultRule = r
}

// Set sets the faults from one instance to another, in this direction only.
func (n *Network) Set(from, to string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[direction{from, to}] = r
}

// Clear removes all faults.
func (n *Network) Clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	n.defaultRule = Rule{}
}

// Isolate blocks everything between an instance and others, in both directions.
func (n *Network) Isolate(name string, others ...string) {
	for _, other := range others {
		n.Set(name, other, Rule{Cut: true})
		n.Set(other, name, Rule{Cut: true})
	}
}

// ruleFor returns the rule for a direction. The caller must hold n.mu.
func (n *Network) ruleFor(from, to string) Rule {
	if r, hasRule := n.rules[direction{from, to}]; hasRule {
		return r
	}
	return n.defaultRule
}

// drawFaults returns the number of copies of a frame or datagram to forward, and the delay before them.
func (n *Network) drawFaults(from, to string) (copies int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.ruleFor(from, to)
	delay = n.randomDelay(r)
	switch {
	case r.Cut || n.random.IntN(100) < r.LossPercent:
		n.Lost.Add(1)
		return 0, 0
	case n.random.IntN(100) < r.DuplicatePercent:
		n.Duplicated.Add(1)
		return 2, delay
	}
	return 1, delay
}

func (n *Network) randomDelay(r Rule) time.Duration {
	if r.MaxDelay <= 0 {
		return 0
	}
	return time.Duration(n.random.Int64N(int64(r.MaxDelay)))
}
