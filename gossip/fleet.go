// Package gossip is an instance's part in the membership of all instances: it runs the datagrams and the clock for the
// decisions in membership, and carries out what these return.
package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/clock"
	"alderproxy/membership"
)

// Config is what an instance is told of its fleet.
type Config struct {
	Member membership.Config // Birth and Seed are filled in where they are 0
	Group  string            // datagrams of other groups change nothing
	Key    []byte            // shared by the group; empty: none
	Conn   *net.UDPConn
	Clock  func() membership.Micros // nil: clock.Now
	Log    *logrus.Entry
}

// Limits of what waits: a sender that floods this instance cannot make it hold more.
const (
	maxWaiting = 1024             // datagrams read and not yet handed to the decisions
	reportGap  = 10 * time.Second // between two lines about what came and was dropped
	ioLimit    = 250 * time.Millisecond
)

// Node is an instance's part in its fleet.
type Node struct {
	config  Config
	codec   *membership.Codec
	group   *membership.Group // the loop's
	raw     syscall.RawConn
	view    atomic.Pointer[membership.View]
	counts  atomic.Pointer[DatagramCounts]
	taken   atomic.Pointer[netip.AddrPort]
	inbox   chan membership.Event
	orders  chan membership.Event // of this process, which must not be dropped
	looks   chan chan membership.View
	stop    chan struct{}
	stopped sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{} // closed when the view is another
	dropped DropCounts
	latest  error // of the newest datagram that was dropped
	from    netip.AddrPort
}

// DatagramCounts is what this instance's datagrams came to.
type DatagramCounts struct {
	Sent       uint64 `json:"sent"`
	SentBytes  uint64 `json:"sent_bytes"`
	Received   uint64 `json:"came"`
	SendErrors uint64 `json:"unsent"` // the system did not take them
	Duplicates int    `json:"repeats"`
	DropCounts
}

// DropCounts are datagrams that came and changed nothing.
type DropCounts struct {
	Malformed       uint64 `json:"malformed"`
	OtherGroup      uint64 `json:"foreign"`
	Unauthenticated uint64 `json:"unproven"`
	UnknownVersion  uint64 `json:"unknown_form"`
	QueueFull       uint64 `json:"flooded"`
}

// Open starts an instance's part.
func Open(c Config) (*Node, error) {
	if c.Member.Generation == 0 {
		c.Member.Generation = birth(time.Now())
	}
	if c.Member.RandomSeed == 0 {
		c.Member.RandomSeed = rand.Uint64()
	}
	if c.Clock == nil {
		c.Clock = clock.Now
	}
	g, err := membership.New(c.Member, c.Clock())
	if err != nil {
		return nil, err
	}
	n := &Node{
		config: c, codec: membership.NewCodec(c.Group, c.Key), group: g, inbox: make(chan membership.Event, maxWaiting),
		orders: make(chan membership.Event, 64), looks: make(chan chan membership.View), stop: make(chan struct{}), changed: make(chan struct{}),
	}
	if n.raw, err = c.Conn.SyscallConn(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	n.tellRefusals()
	n.view.Store(&membership.View{})
	n.counts.Store(&DatagramCounts{})
	for _, run := range []func(){n.read, n.loop} {
		n.stopped.Add(1)
		go func() { defer n.stopped.Done(); run() }()
	}
	return n, nil
}

// Births are eighths of a second since 2026, so that one name started twice in a second is two lives; they last until
// 2043.
var firstBirth = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const birthsPerS = 8

func birth(at time.Time) uint32 { return uint32(max(1, at.Sub(firstBirth)*birthsPerS/time.Second)) }

func born(b uint32) time.Time { return firstBirth.Add(time.Duration(b) * time.Second / birthsPerS) }

// Close ends it at once. What others are to know of that is said by Leave before.
func (n *Node) Close() error {
	close(n.stop)
	err := n.config.Conn.Close()
	n.stopped.Wait()
	return err
}

// View is who is there, as this instance holds it now. It must not be changed.
func (n *Node) View() *membership.View { return n.view.Load() }

// look is the view with what is no change, as the decisions hold it now.
func (n *Node) look() membership.View {
	to := make(chan membership.View, 1)
	select {
	case n.looks <- to:
		return <-to
	case <-n.stop:
		return *n.View()
	}
}

// ViewChanged closes when the view is another one than now.
func (n *Node) ViewChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// PublishFact attaches a fact to this instance or takes one back; see membership.Key.
func (n *Node) PublishFact(p membership.PublishFact) { n.order(p) }

// Leave says that this instance goes as planned. It still answers until it is closed.
func (n *Node) Leave() { n.order(membership.Leave{}) }

func (n *Node) order(e membership.Event) {
	select {
	case n.orders <- e:
	case <-n.stop:
	}
}

// read takes datagrams from the socket. What is not of this group goes no further.
func (n *Node) read() {
	b := make([]byte, membership.MaxDatagramSize+1) // one more: what is longer shows
	for {
		n.config.Conn.SetReadDeadline(time.Now().Add(ioLimit))
		k, from, err := n.config.Conn.ReadFromUDPAddrPort(b)
		var timeout net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.As(err, &timeout) && timeout.Timeout():
			continue
		case err != nil: // word of a datagram that nobody took
			n.refusals()
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		m, err := n.codec.Decode(b[:k])
		if err != nil {
			n.drop(from, err)
			continue
		}
		n.take(membership.MessageReceived{From: from, Message: m}, from)
	}
}

func (n *Node) take(e membership.Event, from netip.AddrPort) {
	select {
	case n.inbox <- e:
	default:
		n.drop(from, errFlooded)
	}
}

var errFlooded = errors.New("more datagrams than this instance can take")

func (n *Node) drop(from netip.AddrPort, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latest, n.from = err, from
	switch {
	case errors.Is(err, membership.ErrOtherGroup):
		n.dropped.OtherGroup++
	case errors.Is(err, membership.ErrUnauthenticated):
		n.dropped.Unauthenticated++
	case errors.Is(err, membership.ErrUnknownVersion):
		n.dropped.UnknownVersion++
	case errors.Is(err, errFlooded):
		n.dropped.QueueFull++
	default:
		n.dropped.Malformed++
	}
}

// loop owns the decisions.
func (n *Node) loop() {
	ticker := time.NewTicker(time.Duration(n.config.Member.TickInterval()) * time.Microsecond)
	defer ticker.Stop()
	var told DropCounts
	var reported time.Time
	var events []membership.Event
	for {
		events = events[:0]
		select {
		case e := <-n.inbox:
			events = append(events, e)
		case e := <-n.orders:
			events = append(events, e)
		case to := <-n.looks:
			to <- n.group.Snapshot()
			continue
		case <-ticker.C:
		case <-n.stop:
			return
		}
		for len(events) < 64 { // a turn takes what waits, but not for ever
			select {
			case e := <-n.inbox:
				events = append(events, e)
				continue
			default:
			}
			break
		}
		counts := *n.counts.Load()
		for _, e := range events {
			if _, ok := e.(membership.MessageReceived); ok {
				counts.Received++
			}
		}
		n.config.Conn.SetWriteDeadline(time.Now().Add(ioLimit))
		for _, a := range n.group.Step(n.config.Clock(), events...) {
			n.carryOut(a, &counts)
		}
		n.mu.Lock()
		counts.DropCounts = n.dropped
		latest, from := n.latest, n.from
		n.mu.Unlock()
		counts.Duplicates = n.group.Duplicates()
		n.counts.Store(&counts)
		if counts.DropCounts != told && time.Since(reported) >= reportGap {
			told, reported = counts.DropCounts, time.Now()
			n.config.Log.WithFields(logrus.Fields{
				"malformed": told.Malformed, "foreign": told.OtherGroup, "unproven": told.Unauthenticated,
				"unknown_form": told.UnknownVersion, "flooded": told.QueueFull, "last_from": from.String(),
			}).WithError(latest).Warn("datagrams dropped")
		}
	}
}

func (n *Node) carryOut(a membership.Action, counts *DatagramCounts) {
	switch a := a.(type) {
	case membership.SendMessage:
		b := n.codec.AppendEncode(nil, a.Message)
		_, err := n.config.Conn.WriteToUDPAddrPort(b, a.To)
		if err != nil { // it may be word of an earlier one: this one was not sent then
			n.refusals()
			_, err = n.config.Conn.WriteToUDPAddrPort(b, a.To)
		}
		if err != nil {
			counts.SendErrors++
			return
		}
		counts.Sent, counts.SentBytes = counts.Sent+1, counts.SentBytes+uint64(len(b))
	case membership.ViewChanged:
		before := n.view.Swap(&a.View)
		n.mu.Lock()
		close(n.changed)
		n.changed = make(chan struct{})
		n.mu.Unlock()
		n.report(*before, a.View)
	case membership.NameTaken:
		n.taken.Store(&a.By)
		n.config.Log.WithField("by", a.By.String()).Error("another instance has this one's name: it is no member until it starts again under another")
	case membership.Log:
		n.config.Log.Info(a.Text)
	}
}

// report logs what changed. What concerns others is said by one of all members, the scribe of each.
func (n *Node) report(before, now membership.View) {
	self := membership.IDFromName(n.config.Member.Name)
	if before.Version > 0 && before.Trusted != now.Trusted {
		log := n.config.Log.WithFields(logrus.Fields{"view": now.Version, "alive": now.AliveCount()})
		if now.Trusted {
			log.Info("the view of the fleet is trusted again")
		} else {
			log.Warn("this instance may be cut off: its view of the fleet stands still")
		}
	}
	names := map[string][]string{}
	for _, m := range now.Members {
		was, known := before.Find(m.Name)
		switch {
		case m.ID == self || now.Reporter(m.ID) != self:
		case m.State > membership.Suspect && known && was.State <= membership.Suspect:
			names[m.State.String()] = append(names[m.State.String()], m.Name)
		case m.State <= membership.Suspect && (!known && before.Version > 0 || known && (was.State > membership.Suspect || was.Generation != m.Generation)):
			names["came"] = append(names["came"], m.Name)
		}
	}
	for _, what := range []string{"came", membership.Dead.String(), membership.Left.String()} {
		if all := names[what]; len(all) > 0 {
			slices.Sort(all)
			n.config.Log.WithFields(logrus.Fields{
				"what": what, "members": all[:min(len(all), 20)], "count": len(all), "alive": now.AliveCount(),
				"view": now.Version,
			}).Info("fleet changed")
		}
	}
}
