package gossip

import (
	"time"

	"alderproxy/membership"
)

// maxEventsPerStep bounds the events of one step of the protocol.
const maxEventsPerStep = 64

// run steps the protocol at each tick and for each batch of events, until the node is closed.
func (n *Node) run() {
	ticker := time.NewTicker(time.Duration(n.config.Member.TickInterval()) * time.Microsecond)
	defer ticker.Stop()
	var drops dropLog
	var events []membership.Event
	for {
		events = events[:0]
		select {
		case event := <-n.received:
			events = append(events, event)
		case event := <-n.commands:
			events = append(events, event)
		case reply := <-n.snapshotRequests:
			reply <- n.group.Snapshot()
			continue
		case <-ticker.C:
		case <-n.stopping:
			return
		}
		events = n.appendReceived(events)
		n.step(events)
		n.logDrops(&drops)
	}
}

// appendReceived appends the received events that wait, up to maxEventsPerStep.
func (n *Node) appendReceived(events []membership.Event) []membership.Event {
	for len(events) < maxEventsPerStep {
		select {
		case event := <-n.received:
			events = append(events, event)
		default:
			return events
		}
	}
	return events
}

// step hands events to the protocol, carries out its actions and updates the counts.
func (n *Node) step(events []membership.Event) {
	counts := *n.counts.Load()
	for _, event := range events {
		if _, ok := event.(membership.MessageReceived); ok {
			counts.Received++
		}
	}
	// A deadline cannot be set on a closed socket only, which the writes report.
	_ = n.config.Conn.SetWriteDeadline(time.Now().Add(ioTimeout))
	for _, action := range n.group.Step(n.config.Clock(), events...) {
		n.carryOut(action, &counts)
	}
	n.mu.Lock()
	counts.DropCounts = n.dropCounts
	n.mu.Unlock()
	counts.Duplicates = n.group.Duplicates()
	n.counts.Store(&counts)
}

func (n *Node) carryOut(action membership.Action, counts *DatagramCounts) {
	switch action := action.(type) {
	case membership.SendMessage:
		n.send(action, counts)
	case membership.ViewChanged:
		n.publishView(action.View)
	case membership.NameTaken:
		n.nameTakenBy.Store(&action.OwnerAddr)
		n.config.Log.WithField("by", action.OwnerAddr.String()).Error("another instance has this one's name: it is no member until it starts again under another")
	case membership.Log:
		n.config.Log.Info(action.Text)
	}
}

// send sends a message. It is sent again after an error, because the kernel may return the error of an earlier datagram
// in place of sending this one.
func (n *Node) send(action membership.SendMessage, counts *DatagramCounts) {
	datagram := n.codec.AppendEncode(nil, action.Message)
	_, err := n.config.Conn.WriteToUDPAddrPort(datagram, action.To)
	if err != nil {
		n.drainErrorQueue()
		_, err = n.config.Conn.WriteToUDPAddrPort(datagram, action.To)
	}
	if err != nil {
		counts.SendErrors++
		return
	}
	counts.Sent++
	counts.SentBytes += uint64(len(datagram))
}

// publishView publishes a new view and notifies those who wait for a change.
func (n *Node) publishView(view membership.View) {
	previous := n.view.Swap(&view)
	n.mu.Lock()
	close(n.viewChanged)
	n.viewChanged = make(chan struct{})
	n.mu.Unlock()
	n.logViewChange(*previous, view)
}
