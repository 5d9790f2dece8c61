package gossip

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"alderproxy/membership"
)

// controlBufferSize is the size of the buffer for a control message from the socket's error queue, in bytes.
const controlBufferSize = 512

// enableErrorQueue makes the kernel queue the ICMP errors of sent datagrams together with their destinations. A port
// unreachable error shows that no process listens at the destination, long before the suspicion timeout would. If the
// kernel does not support the option, a process that has ended is detected by the suspicion timeout alone.
func (n *Node) enableErrorQueue() {
	_ = n.rawConn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
	})
}

// drainErrorQueue reads the socket's error queue without blocking and queues a PortUnreachable event for each error.
func (n *Node) drainErrorQueue() {
	var destinations []netip.AddrPort
	// Control fails only if the socket is closed; then there are no errors to read.
	_ = n.rawConn.Control(func(fd uintptr) { destinations = readErrorQueue(int(fd)) })
	for _, destination := range destinations {
		n.enqueueReceived(membership.PortUnreachable{Addr: destination}, destination)
	}
}

// readErrorQueue removes up to receiveQueueSize errors from the error queue of a socket and returns the IPv4
// destinations of the datagrams that caused them.
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
