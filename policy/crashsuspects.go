package policy

import "slices"

// minDisconnectedServers is the number of servers that must break a query's connections before the query is ended.
const minDisconnectedServers = 2

// crashSuspects identifies the queries that may crash servers: until expiresAt, those with the request key and all
// retries.
type crashSuspects struct {
	requestKey uint64
	expiresAt  Micros
}

// handleBrokenConnection records that a server broke a connection of a query, and ends the query if it may crash
// servers. That is assumed in the first phase, at a coverage of 0, if two servers broke the query's connections, or if
// one did while a single part of the query was sent ahead of the others. For the slow start duration, queries with the
// same request key and retries then send one part ahead of the others. Several connections broken by the same server
// are no evidence, nor are broken connections after another part of the query was answered.
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

// mayCrashServers reports whether a new query may be the one whose connections servers have recently broken.
func (a *Aggregator) mayCrashServers(q *query) bool {
	hasSuspectKey := q.RequestKey != 0 && q.RequestKey == a.crashSuspects.requestKey
	return a.now < a.crashSuspects.expiresAt && (q.Retry || hasSuspectKey)
}
