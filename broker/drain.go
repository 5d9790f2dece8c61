package broker

import (
	"cmp"
	"slices"
	"time"
)

// startDrain has every open query ended by the deadline. Only the first call counts.
func (b *Broker) startDrain(deadline time.Time) {
	if !b.drainDeadline.IsZero() {
		return
	}
	b.drainDeadline = deadline
	b.timers.add(deadline, b.expireOpenQueries)
}

// drainDeadlinePassed reports whether a drain admits no queries any more.
func (b *Broker) drainDeadlinePassed(now time.Time) bool {
	return !b.drainDeadline.IsZero() && !now.Before(b.drainDeadline)
}

// expireOpenQueries ends what is open at the deadline of a drain, in the order of admission.
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

// signalDrained closes the channel that Drain returned once no query is open.
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
