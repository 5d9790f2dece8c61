package policy

const (
	// fleetConcurrencyLimit is the number of attempts that all aggregators together may have in flight at a server.
	fleetConcurrencyLimit = 6.0

	// minConcurrencyLimit is the number of attempts that each aggregator may have in flight at a server at least.
	minConcurrencyLimit = 2.0

	// oversubscriptionFactor is the multiple of fleetConcurrencyLimit up to which the minimum limits of all
	// aggregators together keep a server from being saturated.
	oversubscriptionFactor = 2.0
)

// hasCapacity reports whether a server may receive another attempt. Parts that exceed its limit are queued in the
// aggregator, where any replica may take them.
func (a *Aggregator) hasCapacity(s *server) bool {
	return float64(len(s.inFlight)) < a.concurrencyLimit() || a.canJoinBatch(s)
}

// concurrencyLimit returns the number of own attempts that may be in flight at a server.
func (a *Aggregator) concurrencyLimit() float64 {
	return max(minConcurrencyLimit, fleetConcurrencyLimit/float64(a.settings.InstanceCount))
}

// concurrencyIsOversubscribed reports whether so many aggregators share the servers that own capacity says nothing
// about a server's load.
func (a *Aggregator) concurrencyIsOversubscribed() bool {
	return minConcurrencyLimit*float64(a.settings.InstanceCount) > oversubscriptionFactor*fleetConcurrencyLimit
}
