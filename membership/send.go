package membership

import "net/netip"

// maxDeferredSends is the number of messages waiting for the send budget from which on deferSend replaces the last one.
// Synchronization responses may exceed it.
const maxDeferredSends = 256

// refillSendTokens adds the tokens for the elapsed time to the token bucket, whose capacity is the budget of one
// second.
func (g *Group) refillSendTokens(elapsed Micros) {
	capacity := float64(g.MaxSendRate)
	g.sendTokens = min(capacity, g.sendTokens+capacity*float64(elapsed)/microsPerSecond)
}

// send sends a message if the send budget permits, with piggybacked updates unless it is a synchronization response.
// Otherwise pings, acks and synchronization responses are deferred, to be sent without piggybacked updates, and other
// messages are dropped. A message to this member's own address or to an invalid one is dropped. The recipient is nil if
// it is not a known member.
func (g *Group) send(to netip.AddrPort, message Message, recipient *memberRecord) {
	if to == g.Addr || !to.IsValid() {
		return
	}
	if g.sendTokens < 1 {
		if message.Kind == KindAck || message.Kind == KindPing || message.Kind == KindSyncResponse {
			g.deferSend(SendMessage{to, message})
		}
		return
	}
	g.sendTokens--
	g.fillHeader(&message)
	if message.Kind != KindSyncResponse {
		g.piggyback(&message, recipient)
	}
	g.emit(SendMessage{to, message})
}

// deferSend makes a message wait for the send budget. If too many messages are waiting, it replaces the last one.
func (g *Group) deferSend(message SendMessage) {
	if waiting := len(g.deferredSends); waiting >= maxDeferredSends {
		g.deferredSends[waiting-1] = message
		return
	}
	g.deferredSends = append(g.deferredSends, message)
}

// sendDeferred sends deferred messages, oldest first, as far as the send budget permits. It piggybacks no updates.
func (g *Group) sendDeferred() {
	sent := 0
	for sent < len(g.deferredSends) && g.sendTokens >= 1 {
		deferred := g.deferredSends[sent]
		g.sendTokens--
		g.fillHeader(&deferred.Message)
		g.emit(deferred)
		sent++
	}
	g.deferredSends = g.deferredSends[sent:]
}

// fillHeader sets the fields of a message that describe its sender, and its message number.
func (g *Group) fillHeader(message *Message) {
	g.lastMessageNumber++
	message.Sender = g.self.ID
	message.Generation = g.Generation
	message.Incarnation = g.self.Incarnation
	message.MessageNumber = g.lastMessageNumber
	message.Digest = g.digest()
}
