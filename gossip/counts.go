package gossip

import (
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/membership"
)

// dropLogInterval is the minimum time between two log messages about dropped datagrams.
const dropLogInterval = 10 * time.Second

// errQueueFull means that a datagram was dropped because the receive queue was full.
var errQueueFull = errors.New("receive queue is full")

// DatagramCounts counts the datagrams of a node since its start.
type DatagramCounts struct {
	Sent      uint64 `json:"sent"`
	SentBytes uint64 `json:"sent_bytes"`
	// Received counts the messages that were handed to the protocol.
	Received uint64 `json:"came"`
	// SendErrors counts the datagrams that the kernel rejected.
	SendErrors uint64 `json:"unsent"`
	// Duplicates counts received messages that had no effect; see membership.Group.Duplicates.
	Duplicates int `json:"repeats"`
	DropCounts
}

// DropCounts counts the received datagrams that were dropped, by cause.
type DropCounts struct {
	Malformed       uint64 `json:"malformed"`
	OtherGroup      uint64 `json:"foreign"`
	Unauthenticated uint64 `json:"unproven"`
	UnknownVersion  uint64 `json:"unknown_form"`
	QueueFull       uint64 `json:"flooded"`
}

// add counts a datagram that was dropped because of an error.
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

// recordDrop records a dropped datagram for the counts and the log.
func (n *Node) recordDrop(from netip.AddrPort, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastDropErr = err
	n.lastDropFrom = from
	n.dropCounts.add(err)
}

// dropLog limits the rate of log messages about dropped datagrams.
type dropLog struct {
	loggedCounts DropCounts
	loggedAt     time.Time
}

// logDrops logs the counts of dropped datagrams if they have changed and the last log message is old enough.
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
