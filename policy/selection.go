package policy

import (
	"cmp"
	"math"
	"slices"
)

type candidate struct {
	server  *server
	latency float64
}

// rankReplicas orders a shard's replicas by utility, best first.
func (a *Aggregator) rankReplicas(p *part) []candidate {
	out := make([]candidate, 0, len(a.replicas[p.Shard]))
	for _, s := range a.replicas[p.Shard] {
		out = append(out, candidate{s, a.predictLatency(s, p)})
	}
	slices.SortStableFunc(out, func(x, y candidate) int { return cmp.Compare(x.latency, y.latency) })
	return out
}

// chooseReplica chooses a part's replica: shares in proportion to utility over the best one's, the replica
// furthest below its share first, servers the query has not used before others, in rank. Nil: wait.
func (a *Aggregator) chooseReplica(p *part) *server {
	if !slices.ContainsFunc(a.replicas[p.Shard], a.hasCapacity) {
		return nil
	}
	ranked := a.rankReplicas(p)
	sum := 0.0
	for _, c := range ranked {
		sum += ranked[0].latency / c.latency
	}
	pick, most := 0, math.Inf(-1)
	for i, c := range ranked {
		if below := c.server.deficits[p.Shard] + ranked[0].latency/c.latency/sum; below > most+1e-9 {
			pick, most = i, below
		}
	}
	other := func(c candidate) bool { return c.server.ID != p.lastServer || len(ranked) == 1 }
	good := func(c candidate) bool { return other(c) && !a.isOutlier(c.server) && !a.isBusy(c.server) }
	sound := slices.ContainsFunc(ranked, good)
	order := append([]candidate{ranked[pick]}, ranked...)
	if i := a.findSharedBatch(p, ranked, sound); i >= 0 {
		order[0] = ranked[i]
		p.query.usedServers = slices.DeleteFunc(p.query.usedServers, func(id uint32) bool { return id == ranked[i].server.ID })
	}
	fresh := func(c candidate) bool {
		return !slices.Contains(p.query.usedServers, c.server.ID) && a.maySend(c.server, p, sound)
	}
	again := func(c candidate) bool { return other(c) && a.maySend(c.server, p, sound) }
	i := slices.IndexFunc(order, fresh)
	if i < 0 {
		i = slices.IndexFunc(ranked, again) + 1
	}
	if i < 0 || i == 0 && !fresh(order[0]) {
		return nil
	}
	for _, c := range ranked {
		c.server.deficits[p.Shard] = c.server.deficits[p.Shard]*deficitDecay + ranked[0].latency/c.latency/sum
	}
	order[i].server.deficits[p.Shard]--
	return order[i].server
}
