package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// deficitDecay is the factor by which a server's deficit decays with each choice of a replica for the shard.
	deficitDecay = 0.9

	// deficitTolerance is the difference, in parts, up to which deficits count as equal.
	deficitTolerance = 1e-9
)

// candidate is a replica that is considered for a part.
type candidate struct {
	server           *server
	predictedLatency float64 // of the part, in microseconds

	// trafficShare is the share of the shard's parts, 0 to 1, that the replica should receive, in proportion to its
	// utility. Only chooseReplica sets it.
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
// receive parts in proportion to their utility: the one with the largest deficit is preferred, then the others in
// descending order of utility. Servers that the query already uses come last, without the server of the part's latest
// attempt if there are others. A replica whose batch the part should join takes precedence over all others.
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
	if i := a.firstWithJoinableBatch(p, ranked, hasHealthyReplica); i >= 0 {
		preferred = ranked[i]
		// Lets firstEligible choose the server although the query already uses it.
		p.query.usedServerIDs = slices.DeleteFunc(p.query.usedServerIDs, func(id uint32) bool {
			return id == preferred.server.ID
		})
	}
	chosen := a.firstEligible(p, preferred, ranked, hasHealthyReplica)
	if chosen == nil {
		return nil
	}
	for _, c := range ranked {
		c.server.deficits[p.Shard] = c.server.deficits[p.Shard]*deficitDecay + c.trafficShare
	}
	chosen.deficits[p.Shard]--
	return chosen
}

// assignTrafficShares sets the traffic share of each candidate. The candidates must be in descending order of utility.
func assignTrafficShares(ranked []candidate) {
	sum := 0.0
	for _, c := range ranked {
		sum += ranked[0].predictedLatency / c.predictedLatency
	}
	for i, c := range ranked {
		ranked[i].trafficShare = ranked[0].predictedLatency / c.predictedLatency / sum
	}
}

// largestDeficit returns the index of the candidate that is furthest below its share of the shard's parts.
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

// isAlternative reports whether a candidate differs from the server of the part's latest attempt, or is the only
// candidate.
func isAlternative(c candidate, p *part, ranked []candidate) bool {
	return c.server.ID != p.lastServerID || len(ranked) == 1
}

// firstEligible returns the first server that the part may be sent to, or nil if there is none. It considers the
// servers that the query does not use yet, the preferred one before the others by rank, and then all alternatives to
// the part's latest server by rank.
func (a *Aggregator) firstEligible(p *part, preferred candidate, ranked []candidate, hasHealthyReplica bool) *server {
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
