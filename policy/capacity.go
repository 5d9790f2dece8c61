package policy

// hasCapacity bounds own attempts at a server: what waits, waits here, where any replica may take it.
func (a *Aggregator) hasCapacity(s *server) bool {
	return float64(len(s.inFlight)) < a.concurrencyLimit() || a.joinsBatch(s)
}

func (a *Aggregator) concurrencyLimit() float64 {
	return max(minConcurrencyLimit, fleetConcurrencyLimit/float64(a.settings.InstanceCount))
}
