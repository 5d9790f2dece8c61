package policy

import "math"

func (a *Aggregator) acceptQuery(e Query) {
	a.recordForBudget(&a.acceptedHistory)
	if a.queries[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(a.classes) {
		a.emit(Reject{Query: e.ID})
		return
	}
	c := a.classes[e.Class]
	q := &query{Query: e, class: c, arrivedAt: a.now, objectiveAt: a.now + c.LatencyObjective, step: 1, awaitsAdmission: true}
	left := e.Deadline - a.now
	if !e.Retry {
		c.longestTimeout = max(c.longestTimeout, left)
	} else if left < c.longestTimeout*98/100 { // cut short by its whole patience: the first try's start shows
		q.objectiveAt = min(q.objectiveAt, e.Deadline-c.Timeout+c.LatencyObjective)
	}
	a.queries[e.ID], a.queriesByNumber[e.Number] = q, q
	a.openQueries = append(a.openQueries, q)
}

func (a *Aggregator) acceptPart(e Part) {
	a.recordForBudget(&a.acceptedHistory)
	q := a.queriesByNumber[e.Number]
	if q == nil || q.closed || a.parts[e.ID] != nil || e.Shard < 0 || e.Shard >= a.settings.Shards ||
		!(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
		return
	}
	p := &part{Part: e, query: q, relativeCost: q.class.relativeCost(e.CostHint)}
	old := &a.shardArrivals[e.Shard]
	*old = historyEntry{a.now, 1 + old.work*math.Exp(-float64(a.now-old.at)/float64(max(a.settings.SlowStartDuration, 1)))}
	q.parts = append(q.parts, p)
	a.parts[e.ID] = p
	a.checkHealth(p)
	if q.step == 2 {
		p.state = partQueued
	}
}

// relativeCost is what a part is held to cost against its class's mean. Hints are rough: half their logarithm counts.
func (c *class) relativeCost(hint Micros) float64 {
	if hint <= 0 {
		return 1
	}
	c.costHints++
	c.meanCostHint += max(referenceGain, 1/c.costHints) * (float64(hint) - c.meanCostHint)
	return math.Sqrt(float64(hint) / c.meanCostHint)
}
