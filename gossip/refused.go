package gossip

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"alderproxy/membership"
)

// tellRefusals asks the system to keep word of datagrams that came to where nobody listens, with the address that
// they were for: proof that a process is gone. Without it such a death is found out by silence alone.
func (n *Node) tellRefusals() {
	n.raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1) // where it is not known, nothing is told
	})
}

// refusals reads such word. It never waits.
func (n *Node) refusals() {
	var all []netip.AddrPort
	n.raw.Control(func(fd uintptr) {
		oob := make([]byte, 512)
		b := make([]byte, membership.MaxDatagramSize)
		for range maxWaiting {
			_, _, _, to, err := unix.Recvmsg(int(fd), b, oob, unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
			if err != nil {
				return
			}
			if a, ok := to.(*unix.SockaddrInet4); ok { // whom the datagram was for
				all = append(all, netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)))
			}
		}
	})
	for _, a := range all {
		n.take(membership.PortUnreachable{Addr: a}, a)
	}
}
