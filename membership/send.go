package membership

import "net/netip"

// maxDeferredSends limits the queue of messages that wait for the send budget.
const maxDeferredSends = 256

// refillSendTokens adds the tokens for the elapsed time to the token bucket, whose capacity is the budget of one
// second.
func (g *Group) refillSendTokens(elapsed Micros) {
	capacity := float64(g.MaxSendRate)
	g.sendTokens = min(capacity, g.sendTokens+capacity*float64(elapsed)/microsPerSecond)
}

// send sends a message with piggybacked updates if the send budget permits. Otherwise pings, acks and synchronization
// responses are deferred, and other messages are dropped. The recipient is nil if it is not a known member.
func (g *Group) send(to netip.AddrPort, message Message, recipient *memberRecord) {
	if to == g.Addr || !to.IsValid() {
		return
	}
	if g.sendTokens < 1 {
		if message.Kind == KindAck || message.Kind == KindPing || message.Kind == KindSyncResponse {
			// If the queue is full, the new message replaces the last one.
			waiting := min(len(g.deferredSends), maxDeferredSends)
			g.deferredSends = append(g.deferredSends[:waiting], SendMessage{to, message})
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

// sendDeferred sends deferred messages, oldest first, as far as the send budget permits.
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
