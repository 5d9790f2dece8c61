package faultnet

import (
	"net"
	"net/netip"
	"slices"
	"time"
)

// maxDatagramBytes is the size of the buffer for a datagram.
const maxDatagramBytes = 2048

// DatagramProxy stands before an instance's UDP socket, by the same rules as a ConnectionProxy before its listener. What one
// instance sends to another's proxy is forwarded from its own proxy, so that each sees the others at the addresses that it
// knows.
type DatagramProxy struct {
	network *Network
	name    string
	conn    *net.UDPConn
	target  netip.AddrPort // guarded by the network's lock
}

// ProxyDatagrams starts a proxy before an instance. Datagrams are forwarded to it after SetTarget.
func (n *Network) ProxyDatagrams(name string) (*DatagramProxy, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &DatagramProxy{network: n, name: name, conn: conn}
	go p.forward()
	return p, nil
}

// Addr returns the address by which the others know the instance.
func (p *DatagramProxy) Addr() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTarget sets the address of the instance.
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

// Close ends the proxy.
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
		for range copies { // one after the other
			time.AfterFunc(delay, func() {
				_, _ = sender.conn.WriteToUDPAddrPort(datagram, target) // a datagram may be lost
			})
			delay *= 2
		}
	}
}
