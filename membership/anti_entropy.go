package membership

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
)

const (
	// bucketCount is the number of buckets into which the members are divided by ID for synchronization, so that only
	// buckets that differ are sent.
	bucketCount = 16
	// digestMismatchIntervals is the number of probe intervals for which digests must differ before synchronization is
	// requested. Gossip resolves shorter differences.
	digestMismatchIntervals = 5
	// convergenceIntervals is the number of probe intervals for which the digest must not have changed when a message
	// with an equal digest arrives, for the view to count as converged. It exceeds the time in which gossip about a new
	// member reaches all members.
	convergenceIntervals = 10
	// soleMemberIntervals is the number of probe intervals after its start from which the view of a member that knows no
	// other member counts as converged.
	soleMemberIntervals = 60
)

// digest returns a hash of the IDs and generations of the members that are present. It is equal at members that see the
// same members as present.
func (g *Group) digest() uint32 {
	if g.digestCached {
		return g.cachedDigest
	}
	digest := uint32(0)
	for _, member := range g.membersByID {
		if member.State.Present() {
			digest ^= member.presenceHash(0)
		}
	}
	if digest != g.cachedDigest {
		g.digestChangedAt = g.now
	}
	g.cachedDigest = digest
	g.digestCached = true
	return digest
}

// bucketDigests returns, for each bucket, a hash of its members' IDs, generations, incarnations and presence, and of
// the names and versions of their facts.
func (g *Group) bucketDigests() []uint32 {
	digests := make([]uint32, bucketCount)
	for _, member := range g.membersByID {
		digests[bucketOf(member.ID)] ^= member.syncHash()
	}
	return digests
}

func bucketOf(id ID) uint32 { return uint32(id) % bucketCount }

// presenceHash returns a hash of the member's ID and generation, of an incarnation and of whether the member is
// present.
func (m *memberRecord) presenceHash(incarnation uint32) uint32 {
	present := byte(0)
	if m.State.Present() {
		present = 1
	}
	encoded := make([]byte, 0, 3*uint32Size+1)
	for _, value := range []uint32{uint32(m.ID), m.Generation, incarnation} {
		encoded = binary.LittleEndian.AppendUint32(encoded, value)
	}
	encoded = append(encoded, present)
	h := fnv.New32a()
	h.Write(encoded) // never fails
	return h.Sum32()
}

// syncHash returns the hash of a member that bucketDigests combines. Beside presenceHash with the current incarnation,
// it covers the names and versions of the member's facts. It does not depend on their order.
func (m *memberRecord) syncHash() uint32 {
	hash := m.presenceHash(m.Incarnation)
	for _, fact := range m.facts {
		hash ^= fact.hash()
	}
	return hash
}

// markConverged marks the view as converged. The mark is never removed.
func (g *Group) markConverged() {
	if !g.converged {
		g.converged = true
		g.markViewDirty()
	}
}

// compareDigest compares the digest in a message with this member's. It marks the view as converged if they are equal
// and this member's is stable, and requests synchronization if they have differed for too long.
func (g *Group) compareDigest(sender *memberRecord, message Message) {
	if message.Digest == g.digest() {
		g.digestDiffersSince = 0
		if g.now-g.digestChangedAt >= convergenceIntervals*g.ProbeInterval {
			g.markConverged()
		}
		return
	}
	if g.digestDiffersSince == 0 {
		g.digestDiffersSince = g.now
		return
	}
	if g.now-g.digestDiffersSince > digestMismatchIntervals*g.ProbeInterval && g.nextSyncAt == 0 {
		g.digestDiffersSince = 0
		g.requestSync(sender.Addr, sender)
	}
}

// requestSync asks another process for the part of its view that differs from this member's. The recipient is nil if it
// is not a known member.
func (g *Group) requestSync(to netip.AddrPort, recipient *memberRecord) {
	request := Message{
		Kind:          KindSyncRequest,
		BucketDigests: g.bucketDigests(),
		Updates:       []Update{g.updateFor(g.self)},
	}
	g.send(to, request, recipient)
}

// handleSyncRequest queues synchronization responses with the members of all buckets that differ. They are sent as the
// send budget permits. A request is ignored while messages are still deferred, such as responses to earlier requests.
func (g *Group) handleSyncRequest(to netip.AddrPort, requester *memberRecord, request Message) {
	if len(request.BucketDigests) != bucketCount || len(g.deferredSends) > 0 {
		return
	}
	digests := g.bucketDigests()
	response := syncResponseBuilder{to: to, current: Message{Kind: KindSyncResponse}}
	for _, member := range g.membersByID {
		bucket := bucketOf(member.ID)
		expired := !member.State.Present() && g.now-member.StateSince > g.TombstoneTTL
		if member == requester || digests[bucket] == request.BucketDigests[bucket] || expired {
			continue
		}
		g.addToSyncResponse(&response, member)
	}
	if !response.current.isEmpty() {
		response.flush(nil)
	}
	g.deferredSends = append(g.deferredSends, response.messages...)
}

// addToSyncResponse adds the state of a member and its facts. A suspect is sent as alive, because a suspicion in the
// response would make this member an accuser. Gossip disseminates the suspicion and its outcome.
func (g *Group) addToSyncResponse(response *syncResponseBuilder, member *memberRecord) {
	update := g.updateFor(member)
	if member.State == StateSuspect {
		update.State = StateAlive
	}
	if update.encodedSize() > response.current.freeBytes() {
		response.flush(nil)
	}
	response.current.Updates = append(response.current.Updates, update)
	for _, name := range slices.Sorted(maps.Keys(member.facts)) {
		fact := member.facts[name].withRemainingTTL(g.now)
		if fact.TTL <= 0 {
			continue
		}
		if fact.encodedSize() > response.current.freeBytes() {
			// The update is repeated because messages may be reordered and facts of an unknown member are dropped.
			response.flush([]Update{update})
		}
		response.current.Facts = append(response.current.Facts, fact)
	}
}

// syncResponseBuilder divides the response to a synchronization request into messages that fit into datagrams.
type syncResponseBuilder struct {
	to       netip.AddrPort
	current  Message       // the message that is being filled
	messages []SendMessage // the complete messages
}

// flush completes the current message and starts the next one with some updates.
func (r *syncResponseBuilder) flush(updates []Update) {
	r.messages = append(r.messages, SendMessage{r.to, r.current})
	r.current = Message{Kind: KindSyncResponse, Updates: updates}
}
