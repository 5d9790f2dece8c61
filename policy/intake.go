package policy

import "math"

// fullTimeoutPercent is the percentage of the class's longest timeout at or above which a retry's timeout counts as a
// full one. A shorter timeout shows how long the earlier tries took.
const fullTimeoutPercent = 98

// acceptQuery opens a query, which is admitted or rejected once all events of the step are handled. A query with the ID
// of an open one is ignored, and a query of an unknown class is rejected at once. The retry budget counts both as
// accepted.
func (a *Aggregator) acceptQuery(event Query) {
	a.recordForBudget(&a.retryBudget.accepted)
	if a.queriesByID[event.ID] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(a.classes) {
		a.emit(Reject{QueryID: event.ID})
		return
	}
	c := a.classes[event.Class]
	q := &query{
		Query:             event,
		class:             c,
		arrivedAt:         a.now,
		objectiveDeadline: a.now + c.LatencyObjective,
		phase:             firstPhase,
		awaitsAdmission:   true,
	}
	timeout := event.Deadline - a.now
	if !event.Retry {
		c.longestTimeout = max(c.longestTimeout, timeout)
	} else if timeout < c.longestTimeout*fullTimeoutPercent/100 {
		// The client's timeout covers all its tries, so the deadline shows when the first one started.
		q.objectiveDeadline = min(q.objectiveDeadline, event.Deadline-c.Timeout+c.LatencyObjective)
	}
	a.queriesByID[event.ID] = q
	a.queriesByNumber[event.Number] = q
	a.openQueries = append(a.openQueries, q)
}

// acceptPart adds a part to its query. Invalid parts and those of unknown or closed queries are ignored, but the retry
// budget counts them as accepted.
func (a *Aggregator) acceptPart(event Part) {
	a.recordForBudget(&a.retryBudget.accepted)
	q := a.queriesByNumber[event.QueryNumber]
	if q == nil || q.closed || !a.isValidPart(event) {
		return
	}
	p := &part{Part: event, query: q, relativeCost: q.class.recordCostHint(event.CostHint)}
	a.recordArrival(event.Shard)
	q.parts = append(q.parts, p)
	a.partsByID[event.ID] = p
	a.requestHealthChecks(p)
	if q.phase == fetchPhase {
		p.state = partQueued
	}
}

func (a *Aggregator) isValidPart(event Part) bool {
	isKnown := a.partsByID[event.ID] != nil
	hasShard := event.Shard >= 0 && event.Shard < a.settings.Shards
	hasWeight := event.Weight >= 0 && !math.IsInf(event.Weight, 0)
	return !isKnown && hasShard && hasWeight
}

// recordCostHint updates the class's mean cost hint with a hint, and returns the cost that the hint predicts as a
// multiple of the class's mean cost. Hints are rough, so the square root moves the ratio closer to 1.
func (c *class) recordCostHint(hint Micros) float64 {
	if hint <= 0 {
		return 1
	}
	c.costHintCount++
	smooth(&c.meanCostHint, float64(hint), max(fleetGain, 1/c.costHintCount))
	return math.Sqrt(float64(hint) / c.meanCostHint)
}
