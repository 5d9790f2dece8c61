package storepool

import (
	"bufio"
	"errors"
	"strconv"
	"time"

	"alderproxy/broker"
)

// ErrMalformed is wrapped by errors about messages that violate the protocol. They close the connection.
var ErrMalformed = errors.New("malformed store message")

// Codec encodes the messages to stores and decodes theirs.
type Codec interface {
	// AppendCall appends attempts that share one call to a store.
	AppendCall(to []byte, store Store, call []*broker.Attempt, now time.Time) []byte
	// AppendCancel appends the cancellation of the part with the given id. If it appends nothing, the connection is
	// closed instead.
	AppendCancel(to []byte, id string) []byte
	// AppendHealthCheck appends a request for a load report. If it appends nothing, stores accept none.
	AppendHealthCheck(to []byte) []byte
	// Read reads one message, whose first byte is in the buffer already. The caller has set a read deadline.
	Read(r *bufio.Reader) (Message, error)
}

// MessageKind is the kind of a store's message.
type MessageKind uint8

// The kinds of messages.
const (
	// OtherMessage is a message that needs no action.
	OtherMessage MessageKind = iota
	// Answer is the result of an attempt.
	Answer
	// LoadReport answers the oldest pending health check of the connection.
	LoadReport
)

// Message is a message of a store.
type Message struct {
	Kind MessageKind
	// ID is that of the part answered; empty stands for the only one in flight.
	ID string
	// Closing means that the connection accepts no more calls.
	Closing bool
	// Result is the result of the attempt or health check.
	Result broker.AttemptResult
}

// WirePartID returns the id of an attempt's part on the wire.
func WirePartID(a *broker.Attempt) string { return a.Query.ID + "." + strconv.Itoa(a.Shard) }
