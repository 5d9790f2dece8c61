package faultnet

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"alderproxy/peer"
)

// dialTimeout limits the time in which a proxy connects to its instance.
const dialTimeout = 2 * time.Second

// ConnectionProxy is a proxy in front of an instance's listener for connections from other instances.
type ConnectionProxy struct {
	network  *Network
	name     string
	listener net.Listener
	target   atomic.Pointer[string] // nil: not set yet
}

// ProxyConnections starts a proxy in front of an instance. The proxy closes connections until SetTarget is called.
func (n *Network) ProxyConnections(name string, listener net.Listener) *ConnectionProxy {
	p := &ConnectionProxy{network: n, name: name, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p
}

// Addr returns the address that other instances use for the instance.
func (p *ConnectionProxy) Addr() string { return p.listener.Addr().String() }

// SetTarget sets the address to which the proxy forwards, that of the instance.
func (p *ConnectionProxy) SetTarget(addr string) { p.target.Store(&addr) }

// forward forwards a connection until one side closes it. The first frame, the handshake, names the dialing instance.
func (p *ConnectionProxy) forward(in net.Conn) {
	defer in.Close()
	reader := bufio.NewReader(in)
	handshake, err := peer.ReadFrame(reader)
	if err != nil {
		return
	}
	var hello peer.Hello
	if json.Unmarshal(handshake.Body, &hello) != nil {
		return
	}
	dialer, _, _ := strings.Cut(hello.From, ".")
	target := p.target.Load()
	if target == nil {
		return
	}
	out, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", *target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		defer in.Close()
		p.network.forwardFrames(p.name, dialer, bufio.NewReader(out), in)
	}()
	if p.network.forwardFrame(dialer, p.name, handshake, out) == nil {
		p.network.forwardFrames(dialer, p.name, reader, out)
	}
}

// forwardFrames forwards frames in one direction until a read or write fails, and then closes the connection to the receiver.
func (n *Network) forwardFrames(from, to string, r io.Reader, w net.Conn) {
	defer w.Close()
	for {
		frame, err := peer.ReadFrame(r)
		if err != nil {
			return
		}
		if n.forwardFrame(from, to, frame, w) != nil {
			return
		}
	}
}

// forwardFrame writes a frame after its delay, in none, one or two copies.
func (n *Network) forwardFrame(from, to string, frame peer.Frame, w io.Writer) error {
	n.Frames.Add(1)
	copies, delay := n.drawFaults(from, to)
	time.Sleep(delay)
	for range copies {
		if _, err := w.Write(frame.Append(nil)); err != nil {
			return err
		}
	}
	return nil
}
