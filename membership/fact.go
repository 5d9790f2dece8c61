package membership

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"
)

// Fact is a small value that a member attaches to itself. Of two of one name the higher version is the newer.
type Fact struct {
	Owner       ID
	Name, Value string
	Version     uint32
	TTL         Micros // until it expires
}

type heldFact struct {
	Fact
	expiresAt Micros
}

func (f *heldFact) hash() uint32 {
	h := fnv.New32a()
	h.Write(binary.BigEndian.AppendUint32([]byte(f.Name), f.Version)) // never fails
	return h.Sum32()
}

// forSending words a fact for others. What is left of its time travels with it, since clocks differ.
func (f *heldFact) forSending(now Micros) Fact {
	t := f.Fact
	t.TTL = f.expiresAt - now
	return t
}

// publishFact attaches a fact to this member. What is too long, or one too many, is logged and dropped.
func (g *Group) publishFact(p PublishFact) {
	old := g.self.facts[p.Name]
	switch {
	case p.Name == "" || len(p.Name) > MaxFactNameLength || len(p.Value) > MaxFactValueLength || p.TTL < 0:
		g.logf("fact %q of %d bytes for %d ms cannot be told", p.Name, len(p.Value), p.TTL/1000)
		return
	case old == nil && len(g.self.facts) >= MaxFacts:
		g.logf("fact %q is one too many", p.Name)
		return
	}
	f := &heldFact{Fact: Fact{Owner: g.self.ID, Name: p.Name, Value: p.Value, Version: 1}, expiresAt: g.now + p.TTL}
	if old != nil {
		f.Version = old.Version + 1
	}
	setEntry(&g.self.facts, p.Name, f)
	g.queueUpdate(updateKey{id: g.self.ID, factName: p.Name})
	g.markViewDirty()
}

// applyFact takes a fact of another member's. A member's facts are bounded in number, and end with it.
func (g *Group) applyFact(f Fact) {
	m := g.members[f.Owner]
	if m == nil || m == g.self || m.State > Suspect || f.TTL <= 0 || f.TTL > g.TombstoneTTL ||
		f.Name == "" || len(f.Name) > MaxFactNameLength || len(f.Value) > MaxFactValueLength {
		return
	}
	old := m.facts[f.Name]
	if old != nil && f.Version <= old.Version || old == nil && len(m.facts) >= MaxFacts {
		return
	}
	setEntry(&m.facts, f.Name, &heldFact{Fact: f, expiresAt: g.now + f.TTL})
	g.queueUpdate(updateKey{id: f.Owner, factName: f.Name})
	g.markViewDirty()
}

// expire drops what has expired, tells this member's own facts anew before that, and forgets those long gone.
func (g *Group) expire() {
	if g.now < g.nextExpiryAt {
		return
	}
	g.nextExpiryAt = g.now + g.ProbeInterval
	if len(g.members) == 1 && g.now-g.startedAt >= isolationPeriods*g.ProbeInterval {
		g.markConverged()
	}
	for _, m := range g.membersByID {
		for name, f := range m.facts {
			if f.expiresAt <= g.now {
				delete(m.facts, name)
				g.markViewDirty()
			}
		}
	}
	for _, m := range slices.Clone(g.membersByID) {
		if m.State > Suspect && m != g.self && g.now-m.StateSince >= g.TombstoneTTL {
			g.removeMember(m)
		}
	}
}

func (g *Group) removeMember(m *member) {
	delete(g.members, m.ID)
	g.membersByID = slices.DeleteFunc(g.membersByID, func(o *member) bool { return o == m })
	if i := slices.Index(g.probeOrder, m.ID); i >= 0 {
		g.probeOrder = slices.Delete(g.probeOrder, i, i+1)
		if i < g.nextProbeIndex {
			g.nextProbeIndex--
		}
	}
	g.markViewDirty()
}

// FactKey is a kind of fact: its name on the wire and the form of its values.
type FactKey[T any] struct {
	Name   string
	format func(T) string
	parse  func(string) (T, error)
}

// NewFactKey returns a kind of fact. word must not return an empty text, which takes a fact back.
func NewFactKey[T any](name string, word func(T) string, read func(string) (T, error)) FactKey[T] {
	return FactKey[T]{name, word, read}
}

// NumericFactKey returns a kind of fact whose values are numbers.
func NumericFactKey(name string) FactKey[uint64] {
	return NewFactKey(name, func(v uint64) string { return strconv.FormatUint(v, 36) },
		func(s string) (uint64, error) { return strconv.ParseUint(s, 36, 64) })
}

// What members tell of themselves.
var (
	DocumentVersion    = NumericFactKey("document") // the version of the agreed document that it serves by
	EndpointListDigest = NumericFactKey("stores")   // the digest of the list of stores that it serves by
)

// Publish is the event that attaches a value.
func (k FactKey[T]) Publish(v T, last Micros) PublishFact {
	return PublishFact{k.Name, k.format(v), last}
}

// Withdraw is the event that takes the value back.
func (k FactKey[T]) Withdraw(last Micros) PublishFact { return PublishFact{Name: k.Name, TTL: last} }

// Value is a member's value. One that cannot be read, as a later version of the program may word it, is none.
func (k FactKey[T]) Value(m Member) (v T, ok bool) {
	i := slices.IndexFunc(m.Facts, func(f Fact) bool { return f.Name == k.Name })
	if i < 0 {
		return v, false
	}
	v, err := k.parse(m.Facts[i].Value)
	return v, err == nil
}
