package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Hello is how a side names itself.
type Hello struct {
	Proto int    `json:"proto"`
	Group string `json:"group,omitempty"` // empty: of no group yet
	From  string `json:"from"`            // id of the side that speaks
	To    string `json:"to,omitempty"`    // whom it means; empty: whoever answers there
	Nonce string `json:"nonce,omitempty"`
	Proof string `json:"proof,omitempty"` // that the key is known
	Error string `json:"error,omitempty"`
}

const protocolVersion = 1

const (
	handshakeTimeout = 2 * time.Second // for the handshake, and for the first byte after it
	idleTimeout      = 30 * time.Second
	maxIdleConns     = 4 // connections kept to one instance
	// maxNonMemberConns is how many connections guests may have at once: two for each of 1,024 that follow, all of which may
	// have one voter left. maxConns is for all: the rest is for the few, 64 of them with maxIdle each.
	maxNonMemberConns = 2 * 1024
	maxConns          = maxNonMemberConns + 64*maxIdleConns
	serverCallTimeout = 30 * time.Second
)

// Errors of calls.
var (
	// ErrNotSent is behind errors of calls that the other side has not seen.
	ErrNotSent = errors.New("never sent")
	// ErrRemote is behind errors that the other side answered with.
	ErrRemote = errors.New("the other instance says")
	// ErrHandshakeRejected is behind errors of the handshake: the other side is not whom we meant, or does not trust us.
	ErrHandshakeRejected = errors.New("handshake refused")
)

// Handler answers a call. stream is what follows it; it ends with the call. It must read what it needs of it.
type Handler func(from string, body []byte, stream io.Reader) ([]byte, error)

// Config is what a Net is told.
type Config struct {
	ID    string        // this instance's
	Group func() string // the group it belongs to now; empty: none yet
	Key   []byte        // shared by the group; empty: none
	Log   *logrus.Entry
	// Guest tells whether one that proved itself is none of the few that must always come through; nil: nobody is.
	Guest func(id string) bool
}

// Endpoint is one instance's end of all connections.
type Endpoint struct {
	Config
	listener net.Listener

	mu             sync.Mutex
	handlers       map[byte]Handler
	idle           map[Target][]*clientConn
	accepted       map[net.Conn]bool
	nonMemberConns int
	closed         bool
	warned         time.Time
	goroutines     sync.WaitGroup
}

// Target is whom a call goes to.
type Target struct{ ID, Addr string }

type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	lastCall uint64
	lastUsed time.Time
}

// New returns an end that makes calls and takes none.
func New(c Config) *Endpoint {
	return &Endpoint{Config: c, idle: map[Target][]*clientConn{}, accepted: map[net.Conn]bool{}}
}

// Listen begins to take connections. Handle must have been called for all kinds before calls come: so it is given
// them here.
func Listen(c Config, l net.Listener, handlers map[byte]Handler) *Endpoint {
	n := New(c)
	n.listener, n.handlers = l, handlers
	n.goroutines.Add(1)
	go n.accept()
	return n
}

// Addr is where this instance listens.
func (n *Endpoint) Addr() string { return n.listener.Addr().String() }

// Close ends all connections and waits until no handler runs.
func (n *Endpoint) Close() {
	n.mu.Lock()
	n.closed = true
	if n.listener != nil {
		n.listener.Close()
	}
	for c := range n.accepted {
		c.Close()
	}
	for _, all := range n.idle {
		for _, c := range all {
			c.Close()
		}
	}
	n.idle = map[Target][]*clientConn{}
	n.mu.Unlock()
	n.goroutines.Wait()
}

func (n *Endpoint) proof(side, nonce string) string {
	if len(n.Key) == 0 {
		return ""
	}
	mac := hmac.New(sha256.New, n.Key)
	io.WriteString(mac, side+nonce)
	return hex.EncodeToString(mac.Sum(nil))
}

func nonce() string {
	var b [16]byte
	rand.Read(b[:]) // never fails, as its documentation says
	return hex.EncodeToString(b[:])
}

func sendHello(c net.Conn, h Hello) error {
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = c.Write(Frame{Kind: frameHello, Body: body}.Append(nil))
	return err
}

func readHello(r io.Reader) (Hello, error) {
	f, err := ReadFrame(r)
	if err != nil {
		return Hello{}, err
	}
	var h Hello
	if f.Kind != frameHello || json.Unmarshal(f.Body, &h) != nil || h.Proto != protocolVersion {
		return h, fmt.Errorf("%w: no greeting", ErrFrame)
	}
	return h, nil
}

// dial connects and greets. Three greetings go to and fro: who we are and whom we mean, the other side's name with
// its proof, our proof.
func (n *Endpoint) dial(to Target, until time.Time) (*clientConn, Hello, error) {
	d := net.Dialer{Deadline: until}
	nc, err := d.Dial("tcp", to.Addr)
	if err != nil {
		return nil, Hello{}, err
	}
	c := &clientConn{Conn: nc, reader: bufio.NewReaderSize(nc, 64<<10)}
	h, err := n.clientHandshake(c, to, until)
	if err != nil {
		nc.Close()
		return nil, h, err
	}
	return c, h, nil
}

func (n *Endpoint) clientHandshake(c *clientConn, to Target, until time.Time) (Hello, error) {
	c.SetDeadline(earlier(until, time.Now().Add(handshakeTimeout)))
	own := nonce()
	if err := sendHello(c, Hello{Proto: protocolVersion, Group: n.Group(), From: n.ID, To: to.ID, Nonce: own}); err != nil {
		return Hello{}, err
	}
	h, err := readHello(c.reader)
	switch {
	case err != nil:
		return h, err
	case h.Error != "":
		return h, fmt.Errorf("%w: %s", ErrHandshakeRejected, h.Error)
	case to.ID != "" && h.From != to.ID:
		return h, fmt.Errorf("%w: %s answers in the place of %s", ErrHandshakeRejected, h.From, to.ID)
	case len(n.Key) > 0 && !hmac.Equal([]byte(h.Proof), []byte(n.proof("answers", own+h.Nonce))):
		return h, fmt.Errorf("%w: %s does not know the group's key", ErrHandshakeRejected, h.From)
	}
	return h, sendHello(c, Hello{Proto: protocolVersion, From: n.ID, Proof: n.proof("dials", own+h.Nonce)})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Identify asks who answers at an address.
func (n *Endpoint) Identify(addr string, within time.Duration) (Hello, error) {
	c, h, err := n.dial(Target{Addr: addr}, time.Now().Add(within))
	if err == nil {
		c.Close()
	}
	return h, err
}

// Call makes a call and returns what was answered. Where the error is not ErrNeverSent or ErrRemote, the call may
// have been carried out all the same. stream, if any, follows it in pieces.
func (n *Endpoint) Call(to Target, kind byte, body []byte, stream io.Reader, within time.Duration) ([]byte, error) {
	until := time.Now().Add(within)
	c, err := n.connection(to, until)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.lastCall++
	f, err := c.call(Frame{kind, c.lastCall, body}, stream, until)
	if err != nil {
		c.Close()
		return nil, err
	}
	n.release(to, c)
	if f.Kind == frameError {
		return nil, fmt.Errorf("%w: %s", ErrRemote, f.Body)
	}
	return f.Body, nil
}

func (c *clientConn) call(f Frame, stream io.Reader, until time.Time) (Frame, error) {
	c.SetDeadline(until)
	if _, err := c.Write(f.Append(nil)); err != nil {
		return f, err
	}
	if stream != nil {
		if err := c.sendStream(f.Call, stream, until); err != nil {
			return f, err
		}
	}
	for {
		got, err := ReadFrame(c.reader)
		if err != nil {
			return got, err
		}
		if got.Call > f.Call || got.Kind != frameResult && got.Kind != frameError {
			return got, fmt.Errorf("%w: answers call %d with kind %d", ErrFrame, got.Call, got.Kind)
		}
		if got.Call == f.Call { // an earlier one may have been answered twice
			return got, nil
		}
	}
}

const streamChunkSize = 256 << 10

func (c *clientConn) sendStream(call uint64, stream io.Reader, until time.Time) error {
	buf := make([]byte, 8+streamChunkSize)
	for i := uint64(0); ; i++ {
		k, err := io.ReadFull(stream, buf[8:])
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return err
		}
		binary.BigEndian.PutUint64(buf, i)
		if _, err := c.Write(Frame{frameStreamChunk, call, buf[:8+k]}.Append(nil)); err != nil {
			return err
		}
		if k == 0 {
			return nil
		}
	}
}

func (n *Endpoint) connection(to Target, until time.Time) (*clientConn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, net.ErrClosed
	}
	for all := n.idle[to]; len(all) > 0; all = n.idle[to] {
		c := all[len(all)-1]
		n.idle[to] = all[:len(all)-1]
		if time.Since(c.lastUsed) < idleTimeout/2 && c.alive() {
			n.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	n.mu.Unlock()
	c, _, err := n.dial(to, until)
	return c, err
}

// alive tells whether an idle connection looks open: a look that must not wait.
func (c *clientConn) alive() bool {
	c.SetReadDeadline(time.Now().Add(time.Microsecond * 50))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}

func (n *Endpoint) release(to Target, c *clientConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.idle[to]) >= maxIdleConns {
		c.Close()
		return
	}
	c.lastUsed = time.Now()
	n.idle[to] = append(n.idle[to], c)
}

func (n *Endpoint) accept() {
	defer n.goroutines.Done()
	for {
		c, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.warn("peer not accepted", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		n.mu.Lock()
		full := n.closed || len(n.accepted) >= maxConns
		if !full {
			n.accepted[c] = true
			n.goroutines.Add(1)
		}
		n.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go func() {
			defer n.goroutines.Done()
			if err := n.serve(c); err != nil {
				n.warn("peer connection ended", err)
			}
			c.Close()
			n.mu.Lock()
			delete(n.accepted, c)
			n.mu.Unlock()
		}()
	}
}

// warn logs what any peer can cause, once a second at most.
func (n *Endpoint) warn(what string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := time.Now(); !n.closed && now.Sub(n.warned) >= time.Second {
		n.warned = now
		n.Log.WithError(err).Warn(what)
	}
}

// serverHandshake answers a greeting. Who means somebody else, is of another group or cannot prove the key is told so.
func (n *Endpoint) serverHandshake(nc net.Conn, r io.Reader) (from string, err error) {
	nc.SetDeadline(time.Now().Add(handshakeTimeout))
	h, err := readHello(r)
	if err != nil {
		return "", err
	}
	own, answer := n.Group(), Hello{Proto: protocolVersion, Group: n.Group(), From: n.ID, Nonce: nonce()}
	switch {
	case h.To != "" && h.To != n.ID:
		answer.Error = fmt.Sprintf("%s is meant and %s is here", h.To, n.ID)
	case h.Group != "" && own != "" && h.Group != own:
		answer.Error = "of another group"
	}
	answer.Proof = n.proof("answers", h.Nonce+answer.Nonce)
	if err := sendHello(nc, answer); err != nil {
		return "", err
	}
	if answer.Error != "" {
		return "", fmt.Errorf("%w: from %s: %s", ErrHandshakeRejected, h.From, answer.Error)
	}
	last, err := readHello(r)
	if err != nil {
		return "", err
	}
	if !hmac.Equal([]byte(last.Proof), []byte(n.proof("dials", h.Nonce+answer.Nonce))) {
		return "", fmt.Errorf("%w: %s does not know the group's key", ErrHandshakeRejected, h.From)
	}
	return h.From, nil
}

func (n *Endpoint) serve(nc net.Conn) error {
	r := bufio.NewReaderSize(nc, 4<<10) // there may be many; longer reads pass it by
	from, err := n.serverHandshake(nc, r)
	if errors.Is(err, io.EOF) {
		return nil // it only wanted to know who is here
	}
	if err != nil {
		return err
	}
	if n.Guest != nil && n.Guest(from) {
		if !n.reserveNonMember(1) {
			return fmt.Errorf("%w: from %s: instances that follow have %d connections", ErrHandshakeRejected, from, maxNonMemberConns)
		}
		defer n.reserveNonMember(-1)
	}
	for {
		nc.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := r.Peek(1); err != nil {
			return nil // ended while nothing was asked
		}
		nc.SetDeadline(time.Now().Add(serverCallTimeout))
		f, err := ReadFrame(r)
		if err != nil {
			return fmt.Errorf("from %s: %w", from, err)
		}
		if f.Kind == frameStreamChunk { // of a stream that its handler did not read to the end, or one that came twice
			continue
		}
		h := n.handlers[f.Kind]
		if h == nil {
			return fmt.Errorf("%w: kind %d from %s", ErrFrame, f.Kind, from)
		}
		answer := Frame{Kind: frameResult, Call: f.Call}
		answer.Body, err = h(from, f.Body, &streamReader{r: r, call: f.Call})
		if err != nil {
			answer.Kind, answer.Body = frameError, []byte(err.Error())
		}
		if len(answer.Body) > MaxFrame {
			answer.Kind, answer.Body = frameError, []byte("the answer is too long")
		}
		nc.SetWriteDeadline(time.Now().Add(handshakeTimeout))
		if _, err := nc.Write(answer.Append(nil)); err != nil {
			return fmt.Errorf("to %s: %w", from, err)
		}
	}
}

// reserveNonMember counts one guest more or less, and tells whether there is room for it.
func (n *Endpoint) reserveNonMember(by int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nonMemberConns+by > maxNonMemberConns {
		return false
	}
	n.nonMemberConns += by
	return true
}

// streamReader reads the pieces of a stream.
type streamReader struct {
	r    io.Reader
	call uint64
	next uint64
	rest []byte
	end  error
}

func (c *streamReader) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.end != nil {
			return 0, c.end
		}
		f, err := ReadFrame(c.r)
		switch {
		case errors.Is(err, io.EOF): // not the end of the stream: that is said by a piece of its own
			c.end = io.ErrUnexpectedEOF
		case err != nil:
			c.end = err
		case f.Kind != frameStreamChunk || f.Call != c.call || len(f.Body) < 8 || binary.BigEndian.Uint64(f.Body) > c.next:
			c.end = fmt.Errorf("%w: a piece of the stream is missing", ErrFrame)
		case binary.BigEndian.Uint64(f.Body) < c.next: // it came twice
		case len(f.Body) == 8:
			c.end = io.EOF
		default:
			c.rest = f.Body[8:]
			c.next++
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}
