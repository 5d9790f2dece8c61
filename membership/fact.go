package membership

import (
	"encoding/binary"
	"hash/fnv"
)

// microsPerMilli is the number of microseconds in a millisecond.
const microsPerMilli = 1000

// Fact is a small named value that a member publishes about itself. Of two facts with the same owner and name, the one
// with the higher version is newer.
type Fact struct {
	Owner   ID
	Name    string
	Value   string // empty if the fact was withdrawn
	Version uint32
	// TTL is the remaining time until the fact expires. It is a duration and not a point in time because the members'
	// clocks differ.
	TTL Micros
}

// isValid reports whether the name is not empty and the lengths of name and value are within the limits.
func (f Fact) isValid() bool {
	return f.Name != "" && len(f.Name) <= MaxFactNameLength && len(f.Value) <= MaxFactValueLength
}

// storedFact is a fact with its expiry time on this member's clock.
type storedFact struct {
	Fact
	expiresAt Micros
}

func (f *storedFact) hash() uint32 {
	h := fnv.New32a()
	h.Write(binary.BigEndian.AppendUint32([]byte(f.Name), f.Version)) // never fails
	return h.Sum32()
}

// withRemainingTTL returns the fact with the TTL that remains now.
func (f *storedFact) withRemainingTTL(now Micros) Fact {
	fact := f.Fact
	fact.TTL = f.expiresAt - now
	return fact
}

// publishFact stores a fact of this member and queues it for dissemination. Its TTL is at most TombstoneTTL, as other
// members ignore a fact with a longer one. A fact that is invalid or exceeds the maximum number of facts is logged and
// dropped.
func (g *Group) publishFact(event PublishFact) {
	fact := Fact{Owner: g.self.ID, Name: event.Name, Value: event.Value, Version: 1, TTL: min(event.TTL, g.TombstoneTTL)}
	previous := g.self.facts[event.Name]
	if !fact.isValid() || event.TTL < 0 {
		g.logf(
			"cannot publish fact %q: the name must have 1 to %d bytes, the value of %d bytes at most %d, and the TTL of %d ms must not be negative",
			event.Name,
			MaxFactNameLength,
			len(event.Value),
			MaxFactValueLength,
			event.TTL/microsPerMilli,
		)
		return
	}
	if previous == nil && len(g.self.facts) >= MaxFacts {
		g.logf("cannot publish fact %q: this member already has the maximum of %d facts", event.Name, MaxFacts)
		return
	}
	if previous != nil {
		fact.Version = previous.Version + 1
	}
	g.storeFact(g.self, fact)
}

// applyFact merges a fact of another member. A fact is ignored if its owner is not present, if it is invalid or not
// newer than the stored one, if its TTL has expired or exceeds TombstoneTTL, or if it exceeds the maximum number of
// facts per member.
func (g *Group) applyFact(fact Fact) {
	owner := g.members[fact.Owner]
	if owner == nil || owner == g.self || !owner.State.Present() {
		return
	}
	if !fact.isValid() || fact.TTL <= 0 || fact.TTL > g.TombstoneTTL {
		return
	}
	previous := owner.facts[fact.Name]
	if previous != nil && fact.Version <= previous.Version {
		return
	}
	if previous == nil && len(owner.facts) >= MaxFacts {
		return
	}
	g.storeFact(owner, fact)
}

// storeFact stores a fact of a member and queues it for dissemination.
func (g *Group) storeFact(owner *memberRecord, fact Fact) {
	setEntry(&owner.facts, fact.Name, &storedFact{Fact: fact, expiresAt: g.now + fact.TTL})
	g.queueBroadcast(broadcastKey{id: owner.ID, factName: fact.Name})
	g.markViewDirty()
}

// expireFacts removes the facts of a member that have expired.
func (g *Group) expireFacts(member *memberRecord) {
	for name, fact := range member.facts {
		if fact.expiresAt <= g.now {
			delete(member.facts, name)
			g.markViewDirty()
		}
	}
}
