package broker

import (
	"cmp"
	"slices"
	"time"
)

// startDrain sets the deadline at which all open queries are ended. Calls after the first are ignored.
func (b *Broker) startDrain(deadline time.Time) {
	if !b.drainDeadline.IsZero() {
		return
	}
	b.drainDeadline = deadline
	b.timers.add(deadline, b.expireOpenQueries)
}

// drainDeadlinePassed reports whether the deadline of a drain has passed. Queries are then no longer admitted.
func (b *Broker) drainDeadlinePassed(now time.Time) bool {
	return !b.drainDeadline.IsZero() && !now.Before(b.drainDeadline)
}

// expireOpenQueries ends all open queries, in the order of their admission, at the deadline of a drain.
func (b *Broker) expireOpenQueries(now time.Time) {
	open := make([]*activeQuery, 0, len(b.queriesByPolicyID))
	for _, q := range b.queriesByPolicyID {
		open = append(open, q)
	}
	slices.SortFunc(open, func(x, y *activeQuery) int { return cmp.Compare(x.policyID, y.policyID) })
	for _, q := range open {
		b.expireQuery(q, now)
	}
}

// signalDrained closes the channel that Drain returns if a drain was started and no query is open.
func (b *Broker) signalDrained() {
	if b.drainDeadline.IsZero() || len(b.queriesByPolicyID) > 0 {
		return
	}
	select {
	case <-b.drained:
	default:
		close(b.drained)
	}
}
