package membership

import "net/netip"

// nameClaimIntervals is for how many probe intervals the owner of a name has to answer a claim on it.
const nameClaimIntervals = 2

// nameClaim is the claim of another process on the name of a member.
type nameClaim struct {
	generation uint32
	deadline   Micros
}

// acceptSuccessor reports whether a process of another generation is now the owner of a member's name. That is so once
// the previous process left, died or does not answer; until then the message is ignored.
func (g *Group) acceptSuccessor(member *memberRecord, from netip.AddrPort, message Message) bool {
	if message.Generation < member.Generation {
		// Either a late message of the previous process, or a new process whose clock was set back. The latter learns
		// the known generation by this and continues with a higher one.
		g.duplicates++
		g.send(from, Message{Kind: KindGossip, Updates: []Update{g.updateFor(member)}}, nil)
		return false
	}
	if !g.acceptNameClaim(member, from, message.Generation) {
		return false
	}
	g.replaceProcess(member, message.Generation, message.Incarnation, from)
	member.lastMessageAt = g.now
	return true
}

// acceptNameClaim reports whether another process may take over the name of a member. If the owner may still be alive, the
// claim is recorded and the owner is pinged; an owner that answers keeps its name.
func (g *Group) acceptNameClaim(member *memberRecord, from netip.AddrPort, generation uint32) bool {
	sameAddress := from == member.Addr // an address has one process at a time
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
	if member.lastMessageAt < claim.deadline-nameClaimIntervals*g.ProbeInterval {
		return true
	}
	g.logf("two members have the name %s: %v stays, %v is refused", member.Name, member.Addr, from)
	conflict := Message{Kind: KindNameConflict, Target: member.ID, Updates: []Update{g.updateFor(member)}}
	g.send(from, conflict, nil)
	g.send(member.Addr, conflict, member)
	member.nameClaim = nil
	return false
}

// replaceProcess makes another process the owner of a member's name.
func (g *Group) replaceProcess(member *memberRecord, generation, incarnation uint32, addr netip.AddrPort) {
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

// handleDuplicateName handles a message of another process with this member's name. The earlier generation keeps the name.
func (g *Group) handleDuplicateName(from netip.AddrPort, message Message) {
	if message.Generation > g.self.Generation {
		g.logf("another member at %v has this one's name", from)
		g.send(from, Message{Kind: KindNameConflict, Target: g.self.ID}, nil)
		return
	}
	if message.Kind == KindNameConflict {
		g.giveUpName(from)
	}
}

// handleNameConflict handles the report of a third member that two processes have this member's name, and which of them
// keeps it.
func (g *Group) handleNameConflict(from netip.AddrPort, message Message) {
	for _, update := range message.Updates {
		if message.Target != g.self.ID || update.ID != g.self.ID {
			continue
		}
		if update.Generation == g.self.Generation {
			g.logf("the member at %v says that another has this one's name; this one stays", from)
		} else {
			g.giveUpName(update.Addr)
		}
	}
}

// giveUpName ends this member's part in the group, since the member at an address owns its name.
func (g *Group) giveUpName(owner netip.AddrPort) {
	g.logf("the name %s is taken by the member at %v: this one is refused", g.Name, owner)
	g.nameTaken = true
	g.emit(NameTaken{owner})
}
