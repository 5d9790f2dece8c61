package storepool

import (
	"bufio"
	"errors"
	"strconv"
	"time"

	"alderproxy/broker"
)

// ErrMalformed is wrapped by errors about messages that violate the protocol. Such an error closes the connection.
var ErrMalformed = errors.New("malformed store message")

// Codec encodes the messages to stores and decodes the messages from them.
type Codec interface {
	// AppendCall appends a call to a store with the given attempts.
	AppendCall(to []byte, store Store, call []*broker.Attempt, now time.Time) []byte
	// AppendCancel appends the cancellation of the part with the given WirePartID. If it appends nothing, the connection
	// is closed instead.
	AppendCancel(to []byte, id string) []byte
	// AppendHealthCheck appends a request for a load report. If it appends nothing, health checks are not supported.
	AppendHealthCheck(to []byte) []byte
	// Read reads one message. The buffer contains its first byte already, and the caller has set a read deadline.
	Read(r *bufio.Reader) (Message, error)
}

// MessageKind is the kind of a message from a store.
type MessageKind uint8

// The kinds of messages.
const (
	// OtherMessage is a message that requires no action.
	OtherMessage MessageKind = iota
	// Answer carries the result of an attempt.
	Answer
	// LoadReport carries the result of the connection's oldest unanswered health check.
	LoadReport
)

// Message is a message from a store.
type Message struct {
	Kind MessageKind
	// ID is the WirePartID of the answered part; empty if it is the only one in flight.
	ID string
	// Closing reports whether the store accepts no more calls on the connection.
	Closing bool
	// Result is the result of the attempt or health check.
	Result broker.AttemptResult
}

// WirePartID returns the ID that identifies an attempt's part in messages to and from stores.
func WirePartID(a *broker.Attempt) string { return a.Query.ID + "." + strconv.Itoa(a.Shard) }
