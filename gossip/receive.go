package gossip

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"alderproxy/membership"
)

// receive reads datagrams until the socket is closed, and queues the valid messages of the group for the protocol.
func (n *Node) receive() {
	buffer := make([]byte, membership.MaxDatagramSize+1) // the additional byte reveals datagrams that are too long
	for {
		// Setting the deadline fails only if the socket is closed; then the read fails too.
		_ = n.config.Conn.SetReadDeadline(time.Now().Add(ioTimeout))
		size, from, err := n.config.Conn.ReadFromUDPAddrPort(buffer)
		var netErr net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.As(err, &netErr) && netErr.Timeout():
			continue
		case err != nil:
			n.drainErrorQueue()
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		message, err := n.codec.Decode(buffer[:size])
		if err != nil {
			n.recordDrop(from, err)
			continue
		}
		n.enqueueReceived(membership.MessageReceived{From: from, Message: message}, from)
	}
}

// enqueueReceived queues an event from the network. If the queue is full, it drops the event and records the drop.
func (n *Node) enqueueReceived(event membership.Event, from netip.AddrPort) {
	select {
	case n.received <- event:
	default:
		n.recordDrop(from, errQueueFull)
	}
}
