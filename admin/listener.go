package admin

import "net"

// limitedListener accepts no more connections at a time than its channel has slots.
type limitedListener struct {
	net.Listener

	slots chan struct{}
}

// Accept waits for a slot and then for a connection, which returns the slot when it is closed.
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

// Close closes the connection and returns its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if err == nil { // closing again is an error, and returns no slot
		<-c.slots
	}
	return err
}
