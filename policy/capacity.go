package policy

const (
	// fleetConcurrencyLimit is the maximum number of attempts that all aggregators together may have in flight at a
	// server, unless minConcurrencyLimit permits more.
	fleetConcurrencyLimit = 6.0

	// minConcurrencyLimit is the lowest limit on the attempts that a single aggregator may have in flight at a server.
	minConcurrencyLimit = 2.0

	// oversubscriptionFactor is the multiple of fleetConcurrencyLimit above which the minimum limits of all
	// aggregators together no longer keep a server from being saturated.
	oversubscriptionFactor = 2.0
)

// hasCapacity reports whether a server may receive another attempt. Parts beyond the limit stay queued in the
// aggregator, which can still send them to any replica.
func (a *Aggregator) hasCapacity(s *server) bool {
	return float64(len(s.inFlight)) < a.concurrencyLimit() || a.canJoinBatch(s)
}

// concurrencyLimit returns the maximum number of attempts that this aggregator may have in flight at a server. A part
// that joins a batch may exceed the limit, since it adds no call.
func (a *Aggregator) concurrencyLimit() float64 {
	return max(minConcurrencyLimit, fleetConcurrencyLimit/float64(a.settings.InstanceCount))
}

// concurrencyIsOversubscribed reports whether so many aggregators share the servers that an aggregator's own attempts
// in flight say nothing about a server's load.
func (a *Aggregator) concurrencyIsOversubscribed() bool {
	return minConcurrencyLimit*float64(a.settings.InstanceCount) > oversubscriptionFactor*fleetConcurrencyLimit
}
