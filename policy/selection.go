package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// deficitDecay is the factor on a server's deficit at each choice for the shard.
	deficitDecay = 0.9

	// deficitTolerance is the difference, in parts, up to which deficits count as equal.
	deficitTolerance = 1e-9
)

// candidate is a replica of a part's shard.
type candidate struct {
	server           *server
	predictedLatency float64 // of the part, in microseconds

	// trafficShare is the replica's share of the shard's parts, 0 to 1, in proportion to its utility. Only
	// chooseReplica sets it.
	trafficShare float64
}

// rankReplicas returns the replicas of a part's shard in descending order of utility.
func (a *Aggregator) rankReplicas(p *part) []candidate {
	ranked := make([]candidate, 0, len(a.replicas[p.Shard]))
	for _, s := range a.replicas[p.Shard] {
		ranked = append(ranked, candidate{server: s, predictedLatency: a.predictLatency(s, p)})
	}
	slices.SortStableFunc(ranked, func(x, y candidate) int {
		return cmp.Compare(x.predictedLatency, y.predictedLatency)
	})
	return ranked
}

// chooseReplica returns the server to send a part to, or nil if the part must stay queued. The replicas of a shard
// receive parts in proportion to their utility: the one with the largest deficit is preferred, then the others by
// rank. Servers that the query has used come after those that it has not.
func (a *Aggregator) chooseReplica(p *part) *server {
	if !slices.ContainsFunc(a.replicas[p.Shard], a.hasCapacity) {
		return nil
	}
	ranked := a.rankReplicas(p)
	assignTrafficShares(ranked)
	hasHealthyReplica := slices.ContainsFunc(ranked, func(c candidate) bool {
		return isAlternative(c, p, ranked) && !a.isOutlier(c.server) && !a.isBusy(c.server)
	})
	preferred := ranked[largestDeficit(ranked, p.Shard)]
	if i := a.findJoinableBatch(p, ranked, hasHealthyReplica); i >= 0 {
		preferred = ranked[i]
		p.query.usedServerIDs = slices.DeleteFunc(p.query.usedServerIDs, func(id uint32) bool {
			return id == preferred.server.ID
		})
	}
	chosen := a.firstEligibleServer(p, preferred, ranked, hasHealthyReplica)
	if chosen == nil {
		return nil
	}
	for _, c := range ranked {
		c.server.deficits[p.Shard] = c.server.deficits[p.Shard]*deficitDecay + c.trafficShare
	}
	chosen.deficits[p.Shard]--
	return chosen
}

// assignTrafficShares gives each candidate its share of the parts. The candidates must be in descending order of utility.
func assignTrafficShares(ranked []candidate) {
	sum := 0.0
	for _, c := range ranked {
		sum += ranked[0].predictedLatency / c.predictedLatency
	}
	for i, c := range ranked {
		ranked[i].trafficShare = ranked[0].predictedLatency / c.predictedLatency / sum
	}
}

// largestDeficit returns the index of the candidate that is furthest below its share of a shard's parts.
func largestDeficit(ranked []candidate, shard int) int {
	index, largest := 0, math.Inf(-1)
	for i, c := range ranked {
		deficit := c.server.deficits[shard] + c.trafficShare
		if deficit > largest+deficitTolerance {
			index, largest = i, deficit
		}
	}
	return index
}

// isAlternative reports whether a candidate is another server than that of the part's latest attempt, or the only
// candidate.
func isAlternative(c candidate, p *part, ranked []candidate) bool {
	return c.server.ID != p.lastServerID || len(ranked) == 1
}

// firstEligibleServer returns the first server that the part may be sent to: the preferred one, then the others by rank,
// as far as the query has not used them; then any by rank. It returns nil if there is none.
func (a *Aggregator) firstEligibleServer(p *part, preferred candidate, ranked []candidate, hasHealthyReplica bool) *server {
	isUnused := func(c candidate) bool {
		return !slices.Contains(p.query.usedServerIDs, c.server.ID) && a.maySend(c.server, p, hasHealthyReplica)
	}
	isAllowed := func(c candidate) bool {
		return isAlternative(c, p, ranked) && a.maySend(c.server, p, hasHealthyReplica)
	}
	if isUnused(preferred) {
		return preferred.server
	}
	if i := slices.IndexFunc(ranked, isUnused); i >= 0 {
		return ranked[i].server
	}
	if i := slices.IndexFunc(ranked, isAllowed); i >= 0 {
		return ranked[i].server
	}
	return nil
}
