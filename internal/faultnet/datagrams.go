package faultnet

import (
	"net"
	"net/netip"
	"slices"
	"time"
)

// maxDatagramBytes is the size of the buffer for a datagram.
const maxDatagramBytes = 2048

// DatagramProxy is a proxy in front of an instance's UDP socket, to which the same rules apply as to a ConnectionProxy. It
// forwards a datagram from the socket of the sender's proxy, so that the receiver sees the address that it knows for the
// sender.
type DatagramProxy struct {
	network *Network
	name    string
	conn    *net.UDPConn
	target  netip.AddrPort // protected by network.mu
}

// ProxyDatagrams starts a proxy in front of an instance. The proxy drops datagrams until SetTarget is called.
func (n *Network) ProxyDatagrams(name string) (*DatagramProxy, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &DatagramProxy{network: n, name: name, conn: conn}
	go p.forward()
	return p, nil
}

// Addr returns the address that other instances use for the instance.
func (p *DatagramProxy) Addr() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTarget sets the address to which the proxy forwards, that of the instance. Datagrams from that address count as sent by
// the instance.
func (p *DatagramProxy) SetTarget(addr string) error {
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	delete(p.network.datagramProxies, p.target)
	p.target = target
	p.network.datagramProxies[target] = p
	return nil
}

// Close closes the proxy's socket.
func (p *DatagramProxy) Close() error { return p.conn.Close() }

// forward forwards datagrams until the proxy is closed.
func (p *DatagramProxy) forward() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p.network.mu.Lock()
		sender, target := p.network.datagramProxies[from], p.target
		p.network.mu.Unlock()
		if sender == nil || !target.IsValid() {
			continue
		}
		p.network.Datagrams.Add(1)
		copies, delay := p.network.drawFaults(sender.name, p.name)
		datagram := slices.Clone(buffer[:size])
		for range copies { // the second copy has twice the delay
			time.AfterFunc(delay, func() {
				_, _ = sender.conn.WriteToUDPAddrPort(datagram, target) // a datagram may be lost
			})
			delay *= 2
		}
	}
}
