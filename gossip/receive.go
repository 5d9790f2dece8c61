package gossip

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"alderproxy/membership"
)

// receive reads datagrams until the socket is closed and queues the group's messages for the protocol.
func (n *Node) receive() {
	buffer := make([]byte, membership.MaxDatagramSize+1) // one byte more reveals datagrams that are too long
	for {
		// A deadline cannot be set on a closed socket only, which the read reports.
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

// enqueueReceived queues an event from the network, or drops it if the queue is full.
func (n *Node) enqueueReceived(event membership.Event, from netip.AddrPort) {
	select {
	case n.received <- event:
	default:
		n.recordDrop(from, errQueueFull)
	}
}
