// Package faultnet is a stand-in for the network between the instances of a group: it stands before each of them,
// and loses, delays, repeats and cuts off what they send each other, by who sends to whom.
package faultnet

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"alderproxy/peer"
)

// Rule is what happens to the frames on a way.
type Rule struct {
	LossPercent, DuplicatePercent int           // of 100
	MaxDelay                      time.Duration // at most
	Cut                           bool          // nothing comes through
}

// Network is the ways between all instances. Names are the part of an instance's id before the first dot.
type Network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rules map[[2]string]Rule
	all   Rule

	posts map[netip.AddrPort]*DatagramProxy // by the address that the instance behind sends from

	Frames, Datagrams, Lost, Duplicated atomic.Int64
}

// New returns a network that does no harm.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 3)), rules: map[[2]string]Rule{}, posts: map[netip.AddrPort]*DatagramProxy{}}
}

// SetDefault sets what happens on every way that has no rule of its own.
func (n *Network) SetDefault(r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = r
}

// Set sets what happens to what one sends another, in this direction only.
func (n *Network) Set(from, to string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[[2]string{from, to}] = r
}

// Clear takes back every rule.
func (n *Network) Clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	n.all = Rule{}
}

// Isolate cuts an instance off from some others, both ways.
func (n *Network) Isolate(name string, others ...string) {
	for _, o := range others {
		n.Set(name, o, Rule{Cut: true})
		n.Set(o, name, Rule{Cut: true})
	}
}

// rule is what holds on a way. The lock is held.
func (n *Network) rule(from, to string) Rule {
	if r, own := n.rules[[2]string{from, to}]; own {
		return r
	}
	return n.all
}

// decide decides on one frame or datagram.
func (n *Network) decide(from, to string) (times int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.rule(from, to)
	delay = n.delay(r)
	switch {
	case r.Cut || n.rng.IntN(100) < r.LossPercent:
		n.Lost.Add(1)
		return 0, 0
	case n.rng.IntN(100) < r.DuplicatePercent:
		n.Duplicated.Add(1)
		return 2, delay
	}
	return 1, delay
}

func (n *Network) delay(r Rule) time.Duration {
	if r.MaxDelay <= 0 {
		return 0
	}
	return time.Duration(n.rng.Int64N(int64(r.MaxDelay)))
}

// ConnectionProxy stands before an instance.
type ConnectionProxy struct {
	net    *Network
	name   string
	l      net.Listener
	behind atomic.Pointer[string]
}

// ProxyConnections begins to stand before an instance: what comes in at l goes to it, by the rules, once Behind was told.
func (n *Network) ProxyConnections(name string, l net.Listener) *ConnectionProxy {
	f := &ConnectionProxy{net: n, name: name, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forwardConnection(f, c)
		}
	}()
	return f
}

// Addr is the address by which the others know the instance.
func (f *ConnectionProxy) Addr() string { return f.l.Addr().String() }

// SetTarget tells where the instance is, now.
func (f *ConnectionProxy) SetTarget(addr string) { f.behind.Store(&addr) }

func (n *Network) forwardConnection(front *ConnectionProxy, in net.Conn) {
	defer in.Close()
	r := bufio.NewReader(in)
	first, err := peer.ReadFrame(r) // the greeting tells who dials
	if err != nil {
		return
	}
	var h peer.Hello
	if json.Unmarshal(first.Body, &h) != nil {
		return
	}
	from, _, _ := strings.Cut(h.From, ".")
	name, behind := front.name, front.behind.Load()
	if behind == nil {
		return
	}
	out, err := net.DialTimeout("tcp", *behind, 2*time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		defer in.Close()
		n.forwardFrames(name, from, bufio.NewReader(out), in, nil)
	}()
	n.forwardFrames(from, name, r, out, &first)
}

func (n *Network) forwardFrames(from, to string, r io.Reader, w io.WriteCloser, first *peer.Frame) {
	defer w.Close()
	for {
		var f peer.Frame
		var err error
		if f, first = deref(first); f.Kind == 0 {
			if f, err = peer.ReadFrame(r); err != nil {
				return
			}
		}
		n.Frames.Add(1)
		times, delay := n.decide(from, to)
		time.Sleep(delay)
		for range times {
			if _, err := w.Write(f.Append(nil)); err != nil {
				return
			}
		}
	}
}

func deref(f *peer.Frame) (peer.Frame, *peer.Frame) {
	if f == nil {
		return peer.Frame{}, nil
	}
	return *f, nil
}
