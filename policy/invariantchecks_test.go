package policy

// warmingSend records the work of a part that was sent to a server during its slow start.
type warmingSend struct {
	sentAt          Micros
	serverStartedAt Micros
	work            float64 // microseconds
}

func (c *invariantChecker) checkDeadlines() {
	for id, query := range c.queries {
		if !query.closed && c.now > query.deadline+c.settings.AnswerSlack {
			c.t.Fatalf("query %d got no final action within AnswerSlack of its deadline", id)
		}
	}
}

func (c *invariantChecker) checkReject(action Reject) {
	query := c.queries[action.QueryID]
	for _, p := range query.parts {
		if query.class.Idempotency == NonIdempotent && p.mayHaveEffect() {
			c.t.Fatalf("query %d rejected although a part of it may have run or may still run", action.QueryID)
		}
	}
	c.endQuery(action.QueryID)
}

// mayHaveEffect reports whether an attempt at the part may have run or may still run.
func (p *checkedPart) mayHaveEffect() bool { return p.mayHaveRun || len(p.inFlight) > 0 }

func (c *invariantChecker) checkAnswer(action Answer) {
	const tolerance = 1e-4
	query := c.queries[action.QueryID]
	class := query.class
	coverage := 0.0
	answered := 0
	for _, p := range query.parts {
		if p.answered {
			coverage += p.weight
			answered++
		}
	}
	required := class.RequiredCoverage
	if query.phase == fetchPhase {
		required = 1
	}
	if coverage < class.MinCoverage-tolerance {
		c.t.Fatalf("query %d answered at a coverage of %v, minimum %v", action.QueryID, coverage, class.MinCoverage)
	}
	isIncomplete := coverage < required-tolerance || query.phase == fetchPhase && !query.firstPhaseComplete
	if action.Complete && isIncomplete {
		c.t.Fatalf("query %d marked complete at a coverage of %v in phase %d", action.QueryID, coverage, query.phase)
	}
	if query.phase == firstPhase && class.MaxFetchParts > 0 {
		query.phase = fetchPhase
		query.firstPhaseComplete = action.Complete
		number := c.aggregator.queriesByID[action.QueryID].Number
		c.addParts(query, number, min(answered, class.MaxFetchParts))
		return
	}
	c.endQuery(action.QueryID)
}

// checkSend checks a SendAttempt and draws the result of the attempt.
func (c *invariantChecker) checkSend(action SendAttempt) {
	p := c.parts[action.PartID]
	if p.query.closed {
		c.t.Fatalf("part %d sent after its query ended", action.PartID)
	}
	c.checkServer(action, p)
	c.checkSlowStart(action.ServerID, c.aggregator.partsByID[action.PartID].query.class.referenceLatency)
	c.checkIdempotency(action, p)
	if p.attemptCount >= c.settings.MaxAttempts {
		c.t.Fatalf("part %d sent more than %d times", action.PartID, c.settings.MaxAttempts)
	}
	if p.attemptCount > 0 {
		c.retriedAt = append(c.retriedAt, c.now)
		c.checkRetryBudget()
	}
	if !p.mayHaveEffect() {
		p.firstSentAt = c.now
	}
	p.inFlight[p.attemptCount] = true
	c.startAttempt(action, p.attemptCount)
	p.attemptCount++
	c.sentAttemptCount++
}

func (c *invariantChecker) checkServer(action SendAttempt, p *checkedPart) {
	if at, ok := c.drainedAt[action.ServerID]; ok && c.now > at+c.settings.DrainGrace {
		c.t.Fatalf("part %d sent to server %d, which is draining or removed", action.PartID, action.ServerID)
	}
	size := c.settings.RingSize
	distance := (c.servers[action.ServerID].RingPosition - p.shard + 2*size) % size
	if distance >= c.settings.ReplicationFactor {
		c.t.Fatalf("part %d of shard %d sent to server %d, which lacks the shard", action.PartID, p.shard, action.ServerID)
	}
}

func (c *invariantChecker) checkIdempotency(action SendAttempt, p *checkedPart) {
	class := p.query.class
	if len(p.inFlight) > 0 && !c.settings.AllowHedging {
		c.t.Fatalf("part %d hedged although hedging is not allowed", action.PartID)
	}
	if class.Idempotency == NonIdempotent && p.mayHaveEffect() {
		c.t.Fatalf("non-idempotent part %d retried although it may have run or may still run", action.PartID)
	}
	isPastWindow := c.now > p.firstSentAt+class.DeduplicationWindow
	if class.Idempotency == IdempotentByKey && p.mayHaveEffect() && isPastWindow {
		c.t.Fatalf("part %d retried after the end of its deduplication window", action.PartID)
	}
}

func (c *invariantChecker) checkRetryBudget() {
	windowStart := c.now - c.settings.RetryBudgetWindow
	retries := countSince(c.retriedAt, windowStart)
	accepted := countSince(c.acceptedAt, windowStart)
	if float64(retries) > c.settings.RetryBudgetMinimum+c.settings.RetryBudgetRatio*float64(accepted) {
		c.t.Fatalf("%d retries for %d accepted queries and parts exceed the retry budget", retries, accepted)
	}
}

// checkSlowStart checks that the work sent to a warming server within the overload duration stays within this
// aggregator's share of what the server can do. The work of a part is the aggregator's own estimate. Up to two parts
// are always permitted, since a share of less than one part may let two of them fall within the duration;
// TestWarmingServersAreNotOverloaded checks the sum over all aggregators.
func (c *invariantChecker) checkSlowStart(id uint32, work float64) {
	server := c.servers[id]
	if server.StartedAt <= 0 || c.now >= server.StartedAt+c.settings.SlowStartDuration {
		return
	}
	c.warmingSends[id] = append(c.warmingSends[id], warmingSend{c.now, server.StartedAt, work})
	sum := 0.0
	parts := 0
	for _, sent := range c.warmingSends[id] {
		if sent.serverStartedAt == server.StartedAt && sent.sentAt > c.now-c.settings.OverloadDuration {
			sum += sent.work
			parts++
		}
	}
	progress := float64(c.now-server.StartedAt) / float64(c.settings.SlowStartDuration)
	fraction := c.settings.SlowStartFraction + (1-c.settings.SlowStartFraction)*progress
	duration := float64(c.settings.OverloadDuration)
	limit := c.settings.OverloadFactor * fraction * duration / float64(c.settings.InstanceCount)
	if sum > limit*1.001 && parts > 2 {
		c.t.Fatalf("warming server %d was sent %d parts with %v us of work, limit %v us", id, parts, sum, limit)
	}
}

// countSince returns the number of times that are not before start.
func countSince(times []Micros, start Micros) int {
	count := 0
	for _, at := range times {
		if at >= start {
			count++
		}
	}
	return count
}
