package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// The handshake consists of three messages: the client's identity and the instance that it wants to reach, the server's
// identity with the server's proof that it knows the key, and the client's proof.

// Hello is a message of the handshake.
type Hello struct {
	Proto int    `json:"proto"`           // protocol version
	Group string `json:"group,omitempty"` // group of the sender; empty before it has joined one, and in the last message
	From  string `json:"from"`            // id of the sender
	To    string `json:"to,omitempty"`    // id of the instance that the client wants to reach; in the first message, empty accepts any
	Nonce string `json:"nonce,omitempty"`
	Proof string `json:"proof,omitempty"` // see Endpoint.proof; empty in the first message or without a key
	Error string `json:"error,omitempty"` // reason why the server rejects the client
}

const (
	protocolVersion  = 1
	handshakeTimeout = 2 * time.Second
	nonceSize        = 16 // bytes
)

// proofLabel is authenticated along with the nonces, so that one side's proof cannot be replayed as the other side's.
type proofLabel string

const (
	serverProof proofLabel = "answers"
	clientProof proofLabel = "dials"
)

// ErrHandshakeRejected is wrapped by the errors of a handshake in which the server is not the wanted instance, a side
// belongs to another group or fails to prove that it knows the group's key, or the server has no free connection for an
// instance that is not a member.
var ErrHandshakeRejected = errors.New("handshake rejected")

// proof returns the HMAC-SHA256 of the label and the nonces of both sides under the group's key, in hex. It returns an
// empty string if there is no key.
func (e *Endpoint) proof(label proofLabel, nonces string) string {
	if len(e.config.Key) == 0 {
		return ""
	}
	mac := hmac.New(sha256.New, e.config.Key)
	mac.Write([]byte(string(label) + nonces)) // a hash.Hash never returns an error
	return hex.EncodeToString(mac.Sum(nil))
}

func newNonce() string {
	var nonce [nonceSize]byte
	rand.Read(nonce[:]) // never returns an error
	return hex.EncodeToString(nonce[:])
}

func writeHello(w io.Writer, hello Hello) error {
	body, err := json.Marshal(hello)
	if err != nil {
		return err
	}
	_, err = w.Write(Frame{Kind: frameHello, Body: body}.Append(nil))
	return err
}

func readHello(r io.Reader) (Hello, error) {
	frame, err := ReadFrame(r)
	if err != nil {
		return Hello{}, err
	}
	var hello Hello
	if frame.Kind != frameHello || json.Unmarshal(frame.Body, &hello) != nil || hello.Proto != protocolVersion {
		return hello, fmt.Errorf("%w: not a handshake message of protocol version %d", ErrInvalidFrame, protocolVersion)
	}
	return hello, nil
}

// clientHandshake performs the client's side of the handshake on a dialed connection. It returns the server's message,
// as far as it was received.
func (e *Endpoint) clientHandshake(conn *clientConn, target Target, deadline time.Time) (Hello, error) {
	conn.SetDeadline(earlier(deadline, time.Now().Add(handshakeTimeout)))
	nonce := newNonce()
	request := Hello{Proto: protocolVersion, Group: e.config.Group(), From: e.config.ID, To: target.ID, Nonce: nonce}
	if err := writeHello(conn, request); err != nil {
		return Hello{}, err
	}
	server, err := readHello(conn.reader)
	if err != nil {
		return server, err
	}
	nonces := nonce + server.Nonce
	switch {
	case server.Error != "":
		return server, fmt.Errorf("%w by %s: %s", ErrHandshakeRejected, server.From, server.Error)
	case target.ID != "" && server.From != target.ID:
		return server, fmt.Errorf("%w: the instance at %s is %s, not %s", ErrHandshakeRejected, target.Addr, server.From, target.ID)
	case len(e.config.Key) > 0 && !hmac.Equal([]byte(server.Proof), []byte(e.proof(serverProof, nonces))):
		return server, fmt.Errorf("%w: server %s failed to prove that it knows the group's key", ErrHandshakeRejected, server.From)
	}
	return server, writeHello(conn, Hello{Proto: protocolVersion, From: e.config.ID, Proof: e.proof(clientProof, nonces)})
}

// serverHandshake performs the server's side of the handshake on an accepted connection and returns the client's id. It
// returns io.EOF if the client closed the connection instead of sending its first message or its proof.
func (e *Endpoint) serverHandshake(conn net.Conn, r *bufio.Reader) (clientID string, err error) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	client, err := readHello(r)
	if err != nil {
		return "", err
	}
	response := Hello{Proto: protocolVersion, Group: e.config.Group(), From: e.config.ID, Nonce: newNonce()}
	response.Error = e.rejectionReason(client, response.Group)
	nonces := client.Nonce + response.Nonce
	response.Proof = e.proof(serverProof, nonces)
	if err := writeHello(conn, response); err != nil {
		return "", err
	}
	if response.Error != "" {
		return "", fmt.Errorf("%w: client %s: %s", ErrHandshakeRejected, client.From, response.Error)
	}
	confirmation, err := readHello(r)
	if err != nil {
		return "", err
	}
	if !hmac.Equal([]byte(confirmation.Proof), []byte(e.proof(clientProof, nonces))) {
		return "", fmt.Errorf("%w: client %s failed to prove that it knows the group's key", ErrHandshakeRejected, client.From)
	}
	return client.From, nil
}

// rejectionReason returns the reason why this instance, which belongs to the given group, rejects a client's first
// message. It returns an empty string if the message is accepted.
func (e *Endpoint) rejectionReason(client Hello, group string) string {
	switch {
	case client.To != "" && client.To != e.config.ID:
		return fmt.Sprintf("%s is meant and %s is here", client.To, e.config.ID)
	case client.Group != "" && group != "" && client.Group != group:
		return "of another group"
	}
	return ""
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
