package faultnet

import (
	"net"
	"net/netip"
	"slices"
	"time"
)

// DatagramProxy stands before an instance's datagrams, by the same rules as a Front before its connections. What one instance
// sends another's post leaves from its own, so that each sees the others at the addresses that it knows.
type DatagramProxy struct {
	net    *Network
	name   string
	conn   *net.UDPConn
	behind netip.AddrPort // guarded by the network's lock
}

// ProxyDatagrams begins to stand before an instance: what comes goes to it once Behind was told.
func (n *Network) ProxyDatagrams(name string) (*DatagramProxy, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &DatagramProxy{net: n, name: name, conn: c}
	go p.pass()
	return p, nil
}

// Addr is the address by which the others know the instance.
func (p *DatagramProxy) Addr() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTarget tells where the instance is, now.
func (p *DatagramProxy) SetTarget(addr string) error {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	delete(p.net.posts, p.behind)
	p.behind = at
	p.net.posts[at] = p
	return nil
}

// Close ends it.
func (p *DatagramProxy) Close() error { return p.conn.Close() }

// pass ends when the post is closed.
func (p *DatagramProxy) pass() {
	b := make([]byte, 2048)
	for {
		k, from, err := p.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p.net.mu.Lock()
		sender, to := p.net.posts[from], p.behind
		p.net.mu.Unlock()
		if sender == nil || !to.IsValid() {
			continue
		}
		p.net.Datagrams.Add(1)
		times, delay := p.net.decide(sender.name, p.name)
		text := slices.Clone(b[:k])
		for range times { // copies come one after the other
			time.AfterFunc(delay, func() { sender.conn.WriteToUDPAddrPort(text, to) })
			delay *= 2
		}
	}
}
