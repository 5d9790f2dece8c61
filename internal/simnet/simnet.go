// Package simnet is a network of parties in virtual time, for tests of what many do together. It has delays, losses,
// repeats, cuts one way and both, pauses and deaths of single parties. Nothing runs side by side: one call to Run
// carries out events in the order of their moments, and what falls on one moment in the order in which it was asked
// for. All chance is drawn from the seed, so that a run repeats to the byte; Digest tells two runs apart.
//
// A party is a number. What it is made of is the test's: it acts by Send, Stream and After, each of which takes a
// function to be called at the party concerned. Such a function must not keep state of other parties.
package simnet

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// Micros is a span or a moment in microseconds, the unit of the decisions. Virtual time begins at Start.
type Micros = int64

// Start is the moment at which every network begins. It is not 0, which settings and lists take for "long ago".
const Start Micros = 1_000_000_000

// Party is one end of the network.
type Party int

// Link says how messages fare from one party to another.
type Link struct {
	Least, Most Micros  // of the delay, which is drawn evenly in between; what is drawn later may come earlier
	Loss        float64 // share of datagrams that never come
	Repeat      float64 // share that comes twice, each copy with a delay of its own
}

// Net is a network. Its methods are called by the test before Run and by parties' functions during it.
type Net struct {
	now     Micros
	rng     *rand.Rand
	queue   events
	seq     uint64
	link    Link
	links   map[[2]Party]Link
	cuts    map[[2]Party]int
	parties map[Party]*party
	streams map[[2]Party]Micros // when the newest message of a stream comes
	sum     hash.Hash64
	counts  Counts
}

// Counts is what a network has seen.
type Counts struct{ Sent, Delivered, Lost, Repeated, Cut int }

type party struct {
	life   int // those that have ended: events of an earlier one are void
	dead   bool
	paused Micros // until then nothing reaches it
}

type event struct {
	at   Micros
	due  Micros // at first: what waited for a party that stood still comes in that order
	seq  uint64
	to   Party
	life int
	do   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].due, q[j].due), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1].do = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns a network on which every link is as given until Use says otherwise.
func New(seed uint64, link Link) *Net {
	return &Net{
		now: Start, rng: rand.New(rand.NewPCG(seed, 0x51313e7)), link: link, links: map[[2]Party]Link{},
		cuts: map[[2]Party]int{}, parties: map[Party]*party{}, streams: map[[2]Party]Micros{}, sum: fnv.New64a(),
	}
}

// Now is the present moment.
func (n *Net) Now() Micros { return n.now }

// Rand is the network's source of chance, for what parties draw.
func (n *Net) Rand() *rand.Rand { return n.rng }

// Counts tells what was sent so far and how it fared.
func (n *Net) Counts() Counts { return n.counts }

// Digest sums up what was carried out so far, and when, and what Note added.
func (n *Net) Digest() uint64 { return n.sum.Sum64() }

// Note adds a result to the digest.
func (n *Net) Note(values ...uint64) {
	for _, v := range values {
		n.sum.Write(binary.LittleEndian.AppendUint64(nil, v)) // never fails
	}
}

// Use sets the link from one party to another, one way.
func (n *Net) Use(from, to Party, l Link) { n.links[[2]Party{from, to}] = l }

// Cut ends all traffic from each of some parties to each of others, one way. What is under way still comes. Cuts
// add up: a way is open again once each of its cuts was healed.
func (n *Net) Cut(from, to []Party) { n.cut(from, to, 1) }

// Heal takes back one Cut of the same parties.
func (n *Net) Heal(from, to []Party) { n.cut(from, to, -1) }

func (n *Net) cut(from, to []Party, by int) {
	for _, f := range from {
		for _, t := range to {
			if way := [2]Party{f, t}; f != t {
				if n.cuts[way] += by; n.cuts[way] <= 0 {
					delete(n.cuts, way)
				}
			}
		}
	}
}

func (n *Net) of(p Party) *party {
	if n.parties[p] == nil {
		n.parties[p] = &party{}
	}
	return n.parties[p]
}

// Pause stops a party for a span, as SIGSTOP does: its timers and what is sent to it wait until it goes on, and then
// reach it in order, late.
func (n *Net) Pause(p Party, span Micros) {
	s := n.of(p)
	s.paused = max(s.paused, n.now+span)
}

// Kill ends a party at once. Its timers and what is under way to it are void; what it sent still comes.
func (n *Net) Kill(p Party) {
	s := n.of(p)
	s.life, s.dead, s.paused = s.life+1, true, 0
}

// Revive lets a party that was killed begin anew.
func (n *Net) Revive(p Party) { n.of(p).dead = false }

// Alive tells whether a party was not killed, or was revived.
func (n *Net) Alive(p Party) bool { return !n.of(p).dead }

// After calls a party back once a span is over, later if it stands still then, and never if it dies before.
func (n *Net) After(p Party, span Micros, do func()) {
	if s := n.of(p); !s.dead {
		n.push(event{at: n.now + max(0, span), to: p, life: s.life, do: do})
	}
}

func (n *Net) push(e event) {
	n.seq++
	e.seq, e.due = n.seq, e.at
	heap.Push(&n.queue, e)
}

func (n *Net) between(from, to Party) Link {
	if l, ok := n.links[[2]Party{from, to}]; ok {
		return l
	}
	return n.link
}

func (n *Net) delay(l Link) Micros { return l.Least + n.rng.Int64N(max(0, l.Most-l.Least)+1) }

// open counts a message and tells whether its way is open and somebody there to take it.
func (n *Net) open(from, to Party) bool {
	n.counts.Sent++
	if n.cuts[[2]Party{from, to}] > 0 {
		n.counts.Cut++
		return false
	}
	return !n.of(to).dead
}

// Send sends a datagram: it comes once, twice, late or never, and may overtake others.
func (n *Net) Send(from, to Party, arrive func()) {
	l := n.between(from, to)
	if !n.open(from, to) {
		return
	}
	if n.rng.Float64() < l.Loss {
		n.counts.Lost++
		return
	}
	copies := 1
	if n.rng.Float64() < l.Repeat {
		n.counts.Repeated++
		copies++
	}
	for range copies {
		n.push(event{at: n.now + n.delay(l), to: to, life: n.of(to).life, do: arrive})
	}
}

// Stream sends on a connection: messages come in order and none is lost on an open way. On a way that is cut, and to
// a party that is dead, nothing comes and nothing is said.
func (n *Net) Stream(from, to Party, arrive func()) {
	if !n.open(from, to) {
		return
	}
	way := [2]Party{from, to}
	at := max(n.now+n.delay(n.between(from, to)), n.streams[way])
	n.streams[way] = at
	n.push(event{at: at, to: to, life: n.of(to).life, do: arrive})
}

// Run carries out what falls due until a moment, and stands there then.
func (n *Net) Run(until Micros) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		s := n.of(e.to)
		n.now = e.at
		if e.life != s.life || s.dead {
			continue
		}
		if s.paused > n.now {
			e.at = s.paused
			heap.Push(&n.queue, e)
			continue
		}
		n.counts.Delivered++
		n.Note(uint64(e.at), uint64(e.to))
		e.do()
	}
	n.now = max(n.now, until)
}

// Others are all of some parties but one.
func Others(all []Party, but Party) []Party {
	return slices.DeleteFunc(slices.Clone(all), func(p Party) bool { return p == but })
}
