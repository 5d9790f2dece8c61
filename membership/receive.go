package membership

import "net/netip"

// recentContactIntervals is the number of probe intervals for which Message.ReceivedFromRequester is set after a
// message of the requester.
const recentContactIntervals = 2

// handleMessage handles a received message. An accepted message of any kind but KindNameConflict counts as contact with
// its sender.
func (g *Group) handleMessage(event MessageReceived) {
	message := event.Message
	switch {
	case message.Sender == g.self.ID:
		if message.Generation != g.self.Generation && event.From != g.Addr {
			g.handleDuplicateName(event.From, message)
		}
		return
	case message.Kind == KindNameConflict:
		g.handleNameConflict(event.From, message)
		return
	case !g.acceptSender(event):
		return
	}
	for _, update := range message.Updates {
		g.applyUpdate(update, message.Sender)
	}
	for _, fact := range message.Facts {
		g.applyFact(fact)
	}
	sender := g.members[message.Sender]
	if sender == nil {
		g.answerUnknownSender(event)
		return
	}
	g.compareDigest(sender, message)
	g.dispatch(sender, event)
}

// acceptSender reports whether a message is to be processed: it is not a duplicate, and it was sent by the process that
// owns the sender's name. A message of an unknown sender is always accepted. If the sender is a known member, the
// contact is recorded.
func (g *Group) acceptSender(event MessageReceived) bool {
	message := event.Message
	sender := g.members[message.Sender]
	if sender == nil {
		return true
	}
	if sender.Generation != message.Generation && !g.acceptClaimant(sender, event.From, message) {
		return false
	}
	if !sender.replayWindow.accept(message.MessageNumber) {
		g.duplicates++
		return false
	}
	g.recordContact(sender, event.From, message)
	return true
}

// answerUnknownSender answers a ping of a process that is not a known member. It also requests synchronization, upon
// which the process introduces itself.
func (g *Group) answerUnknownSender(event MessageReceived) {
	if event.Message.Kind != KindPing {
		return
	}
	ack := Message{Kind: KindAck, ProbeNumber: event.Message.ProbeNumber, Target: g.self.ID}
	g.send(event.From, ack, nil)
	g.requestSync(event.From, nil)
}

// dispatch handles the part of a message that is specific to its kind.
func (g *Group) dispatch(sender *memberRecord, event MessageReceived) {
	message := event.Message
	switch message.Kind {
	case KindPing:
		g.handlePing(sender, event)
	case KindAck:
		g.handleAck(sender, message)
	case KindPingReq:
		g.handlePingReq(sender, event)
	case KindIndirectAck:
		g.handleIndirectAck(message)
	case KindNack:
		g.handleNack(message)
	case KindSyncRequest:
		g.handleSyncRequest(event.From, sender, message)
	case KindLeave:
		departure := Update{
			ID:          sender.ID,
			Generation:  sender.Generation,
			Incarnation: message.Incarnation,
			State:       StateLeft,
			Accuser:     sender.ID,
		}
		g.applyUpdate(departure, sender.ID)
	case KindGossip, KindSyncResponse, KindNameConflict:
		// handleMessage has handled them: they contain only updates and facts, or are name conflicts.
	}
}

// recordContact records that a message of a member arrived, and updates the member's state and address accordingly.
func (g *Group) recordContact(sender *memberRecord, from netip.AddrPort, message Message) {
	sender.lastMessageAt = g.now
	sender.LastContact = g.now
	sender.portUnreachable = false
	leaving := message.Kind == KindLeave
	// A message of a later incarnation refutes what was reported before, even if the refutation itself was lost.
	refutable := sender.State == StateSuspect || sender.State == StateDead
	if refutable && message.Incarnation > sender.Incarnation && !leaving {
		refutation := Update{
			ID:          sender.ID,
			Generation:  message.Generation,
			Incarnation: message.Incarnation,
			State:       StateAlive,
			Addr:        from,
			Name:        sender.Name,
			Zone:        sender.Zone,
		}
		g.applyUpdate(refutation, sender.ID)
	}
	if sender.State == StateSuspect && message.Incarnation >= sender.Incarnation {
		g.restartSuspicion(sender)
	}
	if !sender.State.Present() && message.Incarnation <= sender.Incarnation && !leaving {
		// The sender may not know that it was declared dead or left. The update lets it refute that.
		g.send(from, Message{Kind: KindGossip, Updates: []Update{g.updateFor(sender)}}, sender)
	}
	addressChanged := from != sender.Addr && message.Incarnation >= sender.Incarnation
	if addressChanged && sender.State.Present() && message.Kind != KindAck {
		sender.Addr = from
		g.markViewDirty()
	}
}

// handlePing sends an ack. If a helper sent the ping on behalf of a requester, the ack also reports whether messages of
// the requester arrive.
func (g *Group) handlePing(sender *memberRecord, event MessageReceived) {
	message := event.Message
	if message.Target != g.self.ID && message.Target != 0 {
		return // meant for a previous process at this address
	}
	requester := g.members[message.Requester]
	ack := Message{
		Kind:                  KindAck,
		ProbeNumber:           message.ProbeNumber,
		Target:                message.Sender,
		ReceivedFromProber:    true,
		ReceivedFromRequester: requester != nil && g.hasRecentContact(requester),
	}
	g.send(event.From, ack, sender)
}

func (g *Group) hasRecentContact(member *memberRecord) bool {
	return member.lastMessageAt > 0 && g.now-member.lastMessageAt < recentContactIntervals*g.ProbeInterval
}

// handleAck handles an ack to a ping of this member's own probe or of an indirect probe on behalf of another member.
func (g *Group) handleAck(sender *memberRecord, message Message) {
	setEntry(&sender.lastSeenBy, g.self.ID, g.now)
	if message.ReceivedFromProber {
		sender.confirmedReceiptAt = g.now
	}
	if indirect, ok := g.indirectProbes[message.ProbeNumber]; ok && indirect.target == sender.ID {
		g.forwardAck(indirect, message)
		return
	}
	if p := g.pendingProbe(message.ProbeNumber, sender.ID); p != nil {
		p.acked = true
		p.receiptConfirmed = true // an ack proves that the target received the ping
	}
}
