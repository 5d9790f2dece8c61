package httpwire

import (
	"io"
	"time"
)

// Limits on the reading of what a client sends after its last response. With these values a body of 60 MB is read in about two
// seconds, and many clients that keep sending leave processor time to the others.
const (
	lingerTimeout     = 3 * time.Second
	lingerReadTimeout = 250 * time.Millisecond
	lingerChunk       = 64 << 10 // bytes read between two pauses of lingerInterval
	lingerInterval    = 2 * time.Millisecond
)

// respondAndClose writes the last response on a connection and closes it.
func (s *Server) respondAndClose(x *Exchange, reply *Reply) {
	x.conn.SetWriteDeadline(deadlineAfter(s.WriteTimeout, defaultWriteTimeout))
	if _, err := x.conn.Write(AppendResponse(nil, reply.Status, reply.Header, reply.Body, true)); err == nil {
		linger(x)
	}
	x.conn.Close()
}

// linger shuts down the sending side of a connection, and discards what arrives until the client has shut down its own side,
// sends less than lingerChunk bytes within lingerReadTimeout, or lingerTimeout has passed. Closing a connection with unread
// bytes would reset it, and the client could lose a response that it has not read yet.
func linger(x *Exchange) {
	tcp, ok := x.conn.(interface{ CloseWrite() error })
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	until := time.Now().Add(lingerTimeout)
	for now := time.Now(); now.Before(until); now = time.Now() {
		x.conn.SetReadDeadline(now.Add(lingerReadTimeout))
		if n, err := io.CopyN(io.Discard, x.reader, lingerChunk); err != nil || n == 0 {
			return
		}
		time.Sleep(lingerInterval)
	}
}
