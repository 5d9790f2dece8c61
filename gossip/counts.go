package gossip

import (
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/membership"
)

// dropLogInterval is the minimum time between two log lines about dropped datagrams.
const dropLogInterval = 10 * time.Second

// errQueueFull is the error for an event from the network that was dropped because the receive queue was full.
var errQueueFull = errors.New("receive queue is full")

// DatagramCounts holds the numbers of datagrams that a node has sent and received since its start.
type DatagramCounts struct {
	Sent      uint64 `json:"sent"`
	SentBytes uint64 `json:"sent_bytes"`
	// Received is the number of valid messages passed to the protocol.
	Received uint64 `json:"came"`
	// SendErrors is the number of datagrams that could not be sent, each after a second attempt.
	SendErrors uint64 `json:"unsent"`
	// Duplicates is the number of received messages without effect; see membership.Group.Duplicates.
	Duplicates int `json:"repeats"`
	DropCounts
}

// DropCounts holds the numbers of received datagrams that were dropped, by cause.
type DropCounts struct {
	Malformed       uint64 `json:"malformed"`
	OtherGroup      uint64 `json:"foreign"`
	Unauthenticated uint64 `json:"unproven"`
	UnknownVersion  uint64 `json:"unknown_form"`
	// QueueFull includes errors of sent datagrams that could not be queued for the protocol.
	QueueFull uint64 `json:"flooded"`
}

// add counts a dropped datagram by the error that describes the cause.
func (c *DropCounts) add(err error) {
	switch {
	case errors.Is(err, membership.ErrOtherGroup):
		c.OtherGroup++
	case errors.Is(err, membership.ErrUnauthenticated):
		c.Unauthenticated++
	case errors.Is(err, membership.ErrUnknownVersion):
		c.UnknownVersion++
	case errors.Is(err, errQueueFull):
		c.QueueFull++
	default:
		c.Malformed++
	}
}

// recordDrop counts a dropped datagram and keeps its cause and address for the log.
func (n *Node) recordDrop(from netip.AddrPort, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastDropErr = err
	n.lastDropFrom = from
	n.dropCounts.add(err)
}

// dropLog is the state that limits the rate of log lines about dropped datagrams.
type dropLog struct {
	loggedCounts DropCounts // at the last log line
	loggedAt     time.Time  // time of the last log line
}

// logDrops logs the counts of dropped datagrams if they have changed since the last log line and dropLogInterval has
// passed.
func (n *Node) logDrops(log *dropLog) {
	n.mu.Lock()
	dropped := n.dropCounts
	err := n.lastDropErr
	from := n.lastDropFrom
	n.mu.Unlock()
	if dropped == log.loggedCounts || time.Since(log.loggedAt) < dropLogInterval {
		return
	}
	log.loggedCounts = dropped
	log.loggedAt = time.Now()
	n.config.Log.WithFields(logrus.Fields{
		"malformed":    dropped.Malformed,
		"foreign":      dropped.OtherGroup,
		"unproven":     dropped.Unauthenticated,
		"unknown_form": dropped.UnknownVersion,
		"flooded":      dropped.QueueFull,
		"last_from":    from.String(),
	}).WithError(err).Warn("datagrams dropped")
}
