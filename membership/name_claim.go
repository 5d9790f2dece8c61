package membership

import "net/netip"

// nameClaimIntervals is the number of probe intervals within which the owner of a name must answer a claim to the name.
const nameClaimIntervals = 2

// nameClaim is the claim of another process, the claimant, to the name of a member.
type nameClaim struct {
	generation uint32
	deadline   Micros
}

// acceptClaimant handles a message of another generation than the member's, and reports whether its sender now owns
// the member's name. It does if it has a higher generation and the previous process has left, is dead, does not answer,
// had the same address or has a closed port. Until then, its messages are ignored.
func (g *Group) acceptClaimant(member *memberRecord, from netip.AddrPort, message Message) bool {
	if message.Generation < member.Generation {
		// This is either a late message of the previous process or a message of a new process whose clock was set back.
		// The update tells a new process the known generation, after which it continues with a higher one.
		g.duplicates++
		g.send(from, Message{Kind: KindGossip, Updates: []Update{g.updateFor(member)}}, nil)
		return false
	}
	if !g.acceptNameClaim(member, from, message.Generation) {
		return false
	}
	g.replaceOwner(member, message.Generation, message.Incarnation, from)
	member.lastMessageAt = g.now
	return true
}

// acceptNameClaim reports whether a claimant may take over the name of a member. If the owner may still be alive, the
// claim is recorded and the owner is pinged; an owner that answers keeps its name.
func (g *Group) acceptNameClaim(member *memberRecord, from netip.AddrPort, generation uint32) bool {
	sameAddress := from == member.Addr // only one process can be bound to an address
	if !member.State.Present() || member.portUnreachable || sameAddress {
		return true
	}
	claim := member.nameClaim
	if claim == nil || claim.generation != generation {
		member.nameClaim = &nameClaim{
			generation: generation,
			deadline:   g.now + nameClaimIntervals*g.ProbeInterval,
		}
		g.send(member.Addr, Message{Kind: KindPing, Target: member.ID}, member)
		return false
	}
	if g.now < claim.deadline {
		return false
	}
	// The claim is accepted if the owner has sent nothing since the claim was recorded.
	if member.lastMessageAt < claim.deadline-nameClaimIntervals*g.ProbeInterval {
		return true
	}
	g.logf("two processes use the name %s, or names with the same ID: the one at %v keeps it, the one at %v is rejected; rename one", member.Name, member.Addr, from)
	conflict := Message{Kind: KindNameConflict, Target: member.ID, Updates: []Update{g.updateFor(member)}}
	g.send(from, conflict, nil)
	g.send(member.Addr, conflict, member)
	member.nameClaim = nil
	return false
}

// replaceOwner makes a claimant the owner of a member's name and resets the state that belongs to the previous process.
func (g *Group) replaceOwner(member *memberRecord, generation, incarnation uint32, addr netip.AddrPort) {
	member.Generation = generation
	member.Incarnation = incarnation
	member.Addr = addr
	member.replayWindow = replayWindow{}
	member.lastMessageAt = 0
	member.portUnreachable = false
	member.nameClaim = nil
	member.refutedDeaths = 0
	clear(member.facts)
	g.digestCached = false
	g.setState(member, StateAlive, reasonRestarted)
	g.queueMember(member)
}

// handleDuplicateName handles a message of another process that uses this member's name. The process with the earlier
// generation keeps the name.
func (g *Group) handleDuplicateName(from netip.AddrPort, message Message) {
	if message.Generation > g.self.Generation {
		g.logf("rejecting the process at %v: it uses this member's name %s", from, g.Name)
		g.send(from, Message{Kind: KindNameConflict, Target: g.self.ID}, nil)
		return
	}
	if message.Kind == KindNameConflict {
		g.giveUpName(from)
	}
}

// handleNameConflict handles the report of another member that two processes use this member's name. The report
// contains the process that keeps the name.
func (g *Group) handleNameConflict(from netip.AddrPort, message Message) {
	for _, update := range message.Updates {
		if message.Target != g.self.ID || update.ID != g.self.ID {
			continue
		}
		if update.Generation == g.self.Generation {
			g.logf("name conflict reported by the member at %v: this member keeps the name %s", from, g.Name)
		} else {
			g.giveUpName(update.Addr)
		}
	}
}

// giveUpName stops this member because the member at another address owns its name.
func (g *Group) giveUpName(owner netip.AddrPort) {
	g.logf("cannot use the name %s: it belongs to the member at %v; this member stops until it is started under another name", g.Name, owner)
	g.nameTaken = true
	g.emit(NameTaken{owner})
}
