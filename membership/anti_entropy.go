package membership

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
)

const (
	// bucketCount is the number of parts into which the members are divided for synchronization, so that only the parts
	// that differ are sent.
	bucketCount = 16
	// digestMismatchIntervals is for how many probe intervals digests must differ before synchronization is requested.
	// Gossip resolves shorter differences.
	digestMismatchIntervals = 5
	// convergenceIntervals is for how many probe intervals the digest must have been stable, and equal to another
	// member's, for the view to count as converged. It exceeds the time in which gossip about a new member reaches all.
	convergenceIntervals = 10
	// soleMemberIntervals is the number of probe intervals after which a member that never knew another one counts its
	// view as converged.
	soleMemberIntervals = 60
)

// digest returns a hash of the members that are present and their generations. It is equal at members with the same
// view.
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

// bucketDigests returns a hash of the full state of the members of each bucket.
func (g *Group) bucketDigests() []uint32 {
	digests := make([]uint32, bucketCount)
	for _, member := range g.membersByID {
		digests[bucketOf(member.ID)] ^= member.fullHash()
	}
	return digests
}

func bucketOf(id ID) uint32 { return uint32(id) % bucketCount }

// presenceHash returns a hash of the member's generation, an incarnation and whether the member is present.
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

// fullHash returns a hash that also covers the member's incarnation and its facts, in any order of these.
func (m *memberRecord) fullHash() uint32 {
	hash := m.presenceHash(m.Incarnation)
	for _, fact := range m.facts {
		hash ^= fact.hash()
	}
	return hash
}

// markConverged records that the view is complete as far as can be known. It stays so.
func (g *Group) markConverged() {
	if !g.converged {
		g.converged = true
		g.markViewDirty()
	}
}

// compareDigest compares the digest in a message with this member's and requests synchronization if they have differed
// for too long.
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

// requestSync requests the state that another member holds differently. The recipient is nil if it is not a member.
func (g *Group) requestSync(to netip.AddrPort, recipient *memberRecord) {
	request := Message{
		Kind:          KindSyncRequest,
		BucketDigests: g.bucketDigests(),
		Updates:       []Update{g.updateFor(g.self)},
	}
	g.send(to, request, recipient)
}

// answerSyncRequest queues the members of all buckets that differ, as synchronization responses that are sent as the
// send budget allows. A request is ignored while others are still being answered.
func (g *Group) answerSyncRequest(to netip.AddrPort, requester *memberRecord, request Message) {
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

// addToSyncResponse adds the state of a member and its facts. A suspicion is left out: it ends where it began.
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
			// The update is repeated, because facts of an unknown member are dropped and messages may be reordered.
			response.flush([]Update{update})
		}
		response.current.Facts = append(response.current.Facts, fact)
	}
}

// syncResponseBuilder divides the answer to a synchronization request into messages.
type syncResponseBuilder struct {
	to       netip.AddrPort
	current  Message // being filled
	messages []SendMessage
}

// flush ends the current message and begins the next one with some updates.
func (r *syncResponseBuilder) flush(updates []Update) {
	r.messages = append(r.messages, SendMessage{r.to, r.current})
	r.current = Message{Kind: KindSyncResponse, Updates: updates}
}
