package gossip

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"alderproxy/membership"
)

// controlBufferSize is the size of the buffer for the control messages of the socket's error queue, in bytes.
const controlBufferSize = 512

// enableErrorQueue has the kernel queue the ICMP errors of sent datagrams with their destinations. A port unreachable
// error proves that a process is gone. Where the kernel does not support this, only suspicion timeouts detect it.
func (n *Node) enableErrorQueue() {
	_ = n.rawConn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
	})
}

// drainErrorQueue reads the socket's error queue without blocking and queues its errors for the protocol.
func (n *Node) drainErrorQueue() {
	var destinations []netip.AddrPort
	// Control fails on a closed socket only, which has no errors to read.
	_ = n.rawConn.Control(func(fd uintptr) { destinations = readErrorQueue(int(fd)) })
	for _, destination := range destinations {
		n.enqueueReceived(membership.PortUnreachable{Addr: destination}, destination)
	}
}

// readErrorQueue returns the destinations of the datagrams that have an error in a socket's error queue.
func readErrorQueue(fd int) []netip.AddrPort {
	var destinations []netip.AddrPort
	control := make([]byte, controlBufferSize)
	payload := make([]byte, membership.MaxDatagramSize)
	for range receiveQueueSize {
		_, _, _, destination, err := unix.Recvmsg(fd, payload, control, unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
		if err != nil {
			break
		}
		if inet4, ok := destination.(*unix.SockaddrInet4); ok {
			destinations = append(destinations, netip.AddrPortFrom(netip.AddrFrom4(inet4.Addr), uint16(inet4.Port)))
		}
	}
	return destinations
}
