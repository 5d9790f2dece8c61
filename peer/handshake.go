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

// The handshake has three messages: the client's identity and the instance that it wants, the server's identity with
// its proof of the key, and the client's proof.

// Hello is a message of the handshake.
type Hello struct {
	Proto int    `json:"proto"`           // protocol version
	Group string `json:"group,omitempty"` // empty: a member of no group yet
	From  string `json:"from"`            // id of the sender
	To    string `json:"to,omitempty"`    // id of the wanted instance; empty: any
	Nonce string `json:"nonce,omitempty"`
	Proof string `json:"proof,omitempty"` // HMAC of both nonces under the group's key
	Error string `json:"error,omitempty"` // why the server rejects the client
}

const (
	protocolVersion  = 1
	handshakeTimeout = 2 * time.Second
	nonceSize        = 16 // bytes
)

// proofLabel keeps a proof of one side from being replayed as the other side's.
type proofLabel string

const (
	serverProof proofLabel = "answers"
	clientProof proofLabel = "dials"
)

// ErrHandshakeRejected is wrapped by the errors of a handshake in which a side is not the wanted instance, belongs to
// another group or does not know the group's key.
var ErrHandshakeRejected = errors.New("handshake refused")

// proof returns the HMAC of the nonces in hex, or an empty string for a group without a key.
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
		return hello, fmt.Errorf("%w: no valid handshake message", ErrInvalidFrame)
	}
	return hello, nil
}

// clientHandshake introduces this instance on a connection that it dialed. It returns the server's message.
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
		return server, fmt.Errorf("%w: %s", ErrHandshakeRejected, server.Error)
	case target.ID != "" && server.From != target.ID:
		return server, fmt.Errorf("%w: %s answers in the place of %s", ErrHandshakeRejected, server.From, target.ID)
	case len(e.config.Key) > 0 && !hmac.Equal([]byte(server.Proof), []byte(e.proof(serverProof, nonces))):
		return server, fmt.Errorf("%w: %s does not know the group's key", ErrHandshakeRejected, server.From)
	}
	return server, writeHello(conn, Hello{Proto: protocolVersion, From: e.config.ID, Proof: e.proof(clientProof, nonces)})
}

// serverHandshake checks the client of an accepted connection and returns its id. The error is io.EOF if the client
// left without a message or after the server's.
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
		return "", fmt.Errorf("%w: from %s: %s", ErrHandshakeRejected, client.From, response.Error)
	}
	confirmation, err := readHello(r)
	if err != nil {
		return "", err
	}
	if !hmac.Equal([]byte(confirmation.Proof), []byte(e.proof(clientProof, nonces))) {
		return "", fmt.Errorf("%w: %s does not know the group's key", ErrHandshakeRejected, client.From)
	}
	return client.From, nil
}

// rejectionReason returns why a client's first message is rejected by an instance of a group, or an empty string.
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
