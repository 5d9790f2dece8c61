package admin

import "net"

// limitedListener limits the number of open connections to the capacity of slots.
type limitedListener struct {
	net.Listener

	slots chan struct{}
}

// Accept waits for a free slot and then for a connection. The connection frees the slot when it is closed.
func (l limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

type limitedConn struct {
	net.Conn

	slots chan struct{}
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if err == nil { // a second Close fails, and must not free another slot
		<-c.slots
	}
	return err
}
