package gossip

import (
	"time"

	"alderproxy/membership"
)

// maxEventsPerStep is the maximum number of events in one step of the protocol.
const maxEventsPerStep = 64

// run executes a step of the protocol at each tick and for each batch of events, until the node is closed.
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

// appendReceived appends events that wait in the receive queue, until there are maxEventsPerStep events.
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

// step passes events to the protocol, carries out the actions that it returns and updates the counts.
func (n *Node) step(events []membership.Event) {
	counts := *n.counts.Load()
	for _, event := range events {
		if _, ok := event.(membership.MessageReceived); ok {
			counts.Received++
		}
	}
	// Setting the deadline fails only if the socket is closed; then the writes fail too.
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
		n.config.Log.WithField("by", action.OwnerAddr.String()).Error("another instance owns this instance's name: this one is not a member until it is restarted under a different name")
	case membership.Log:
		n.config.Log.Info(action.Text)
	}
}

// send sends a message. After an error it tries a second time, because the kernel may have returned the pending error
// of an earlier datagram without sending this one.
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

// publishView replaces the current view, closes the channels returned by ViewChanged and logs the changes.
func (n *Node) publishView(view membership.View) {
	previous := n.view.Swap(&view)
	n.mu.Lock()
	close(n.viewChanged)
	n.viewChanged = make(chan struct{})
	n.mu.Unlock()
	n.logViewChange(*previous, view)
}
