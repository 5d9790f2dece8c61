package policy

import "slices"

// minDisconnectedServers is the number of servers that must break a query's connections before it is ended.
const minDisconnectedServers = 2

// crashSuspects describes queries that may crash servers: those with the key, and any retries.
type crashSuspects struct {
	requestKey uint64
	expiresAt  Micros
}

// handleBrokenConnection ends a query that may crash servers: one whose connections two servers broke before
// any part was answered. For the slow start duration, queries with the same key and retries then send one part
// ahead of the others. Several connections that a single server breaks are no evidence, nor are resets that spare
// some of the query's parts.
func (a *Aggregator) handleBrokenConnection(q *query, s *server) {
	if !slices.Contains(q.disconnectedServerIDs, s.ID) {
		q.disconnectedServerIDs = append(q.disconnectedServerIDs, s.ID)
	}
	if q.phase != firstPhase || q.coverage != 0 {
		return
	}
	if len(q.disconnectedServerIDs) >= minDisconnectedServers || q.canaryFirst {
		a.crashSuspects.requestKey = q.RequestKey
		a.crashSuspects.expiresAt = a.now + a.settings.SlowStartDuration
		a.rejectOrFail(q)
	}
}

// mayCrashServers reports whether a new query may be one that has recently broken connections.
func (a *Aggregator) mayCrashServers(q *query) bool {
	hasSuspectKey := q.RequestKey != 0 && q.RequestKey == a.crashSuspects.requestKey
	return a.now < a.crashSuspects.expiresAt && (q.Retry || hasSuspectKey)
}
