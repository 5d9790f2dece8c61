package policy

import (
	"cmp"
	"math"
	"slices"
)

// Aggregator decides for one aggregator. Its calls must not overlap.
type Aggregator struct {
	settings                            Settings
	now                                 Micros
	meanObjective, lateRatio            float64 // mean aim: the unit of slow processes; multiple of its prediction that is late
	actions                             []Action
	servers                             map[uint32]*server
	serversByID                         []*server   // by id: what is done in turn is done in this order
	replicas                            [][]*server // replicas of each
	classes                             []*class
	queries, queriesByNumber            map[uint64]*query // by id, by number
	parts                               map[uint64]*part
	openQueries                         []*query       // by arrival
	acceptedHistory, retryHistory       []historyEntry // what the budget counts
	meanLatency, baseLatency, answers   float64        // mean latency at no load over n answers; the lowest yet, for the work
	sustainedRate                       float64        // work that a warm server bears, in seconds a second
	healthCheckCredits, meanUtilization float64        // that may be spent; mean share of their cores that servers report as busy
	queuedReportRate                    float64        // smoothed share of load reports that tell of waiting parts
	shardArrivals                       []historyEntry // parts of each shard that were taken, smoothed over a server's cold time
	startedAt                           Micros         // the first turn
	queuedParts                         []float64      // parts of each shard that found no room in the last turn
	timerAt, outlierLoggedAt            Micros
	freshConnectionSuccess              float64 // share of the servers silent on an idle connection that answered on a new one
	idleLimitBase, idleLimitSetAt       Micros  // the shortest idle time of the former, and when it was found
	freshConnectionAt                   Micros  // newest send on a new connection
	crashSuspectUntil                   Micros  // until when retries and a key's queries are suspect of felling servers
	crashSuspectKey                     uint64
	pollAt                              Micros // next call for the list
	failedPolls                         int    // of these, failed since the last list
}

// New returns an aggregator that knows only its settings. Nothing is drawn from the seed as yet.
func New(set Settings, seed uint64) (*Aggregator, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	a := &Aggregator{
		servers: map[uint32]*server{}, queries: map[uint64]*query{},
		queriesByNumber: map[uint64]*query{}, parts: map[uint64]*part{},
		sustainedRate: 1, meanUtilization: 1, freshConnectionSuccess: 0.5, idleLimitBase: math.MaxInt64,
	}
	a.applySettings(set)
	return a, nil
}

// applySettings takes settings. Open queries keep their classes' terms. What was learned of servers and, by name, of
// classes stays, and so does what is out: a change sends no burst to cold servers and forgets no attempt.
func (a *Aggregator) applySettings(set Settings) {
	known := map[string]*classStats{}
	for _, c := range a.classes {
		known[c.Name] = c.classStats
	}
	a.settings, a.classes, a.meanObjective, a.lateRatio = set, nil, 0, lateThreshold
	for _, c := range set.Classes {
		l := cmp.Or(known[c.Name], &classStats{meanFanOut: 1})
		if l.answers == 0 { // nothing is known yet but the aim
			l.referenceLatency = float64(c.LatencyObjective)
		}
		a.classes = append(a.classes, &class{c, l})
		a.meanObjective += float64(c.LatencyObjective) / float64(len(set.Classes))
	}
	if a.answers == 0 {
		a.meanLatency, a.baseLatency = a.meanObjective, a.meanObjective
	}
	if !set.AllowHedging {
		a.lateRatio *= replacementThreshold
	}
	for len(a.replicas) < set.Shards { // open parts may still be of shards that are no more
		a.replicas, a.queuedParts, a.shardArrivals = append(a.replicas, nil), append(a.queuedParts, 0), append(a.shardArrivals, historyEntry{})
	}
	a.rebuildReplicas()
}

// Step takes what happened since the last turn and returns what to do now, in order.
func (a *Aggregator) Step(now Micros, events []Event) []Action {
	a.now = max(now, a.now)
	a.startedAt = cmp.Or(a.startedAt, a.now)
	a.actions = nil
	if a.settings.PollEndpoints && a.now >= a.pollAt {
		a.emit(PollEndpoints{})
		a.pollAt = math.MaxInt64 // until word of it comes
	}
	for _, e := range events {
		a.handleEvent(e)
	}
	for _, q := range slices.Clone(a.openQueries) {
		if q.awaitsAdmission {
			a.admit(q)
		}
		a.reviewQuery(q)
	}
	a.dispatch()
	a.openQueries = slices.DeleteFunc(a.openQueries, func(q *query) bool { return q.closed })
	a.setTimer()
	return a.actions
}

func (a *Aggregator) emit(act Action) { a.actions = append(a.actions, act) }

func (a *Aggregator) handleEvent(e Event) {
	switch e := e.(type) {
	case EndpointList:
		a.failedPolls = 0
		a.applyEndpoints(e.Endpoints)
	case Reconfigure:
		if err := e.Settings.Check(); err != nil {
			a.emit(Log{"settings unusable, the last ones stand: " + err.Error()})
		} else {
			a.applySettings(e.Settings)
		}
	case EndpointListFailed: // back off, spread by number: all who ask at once keep one service from answering any
		if a.settings.PollEndpoints {
			a.failedPolls = min(a.failedPolls+1, maxBackoffDoublings)
			spread := 0.5 + float64(a.settings.InstanceIndex)/float64(a.settings.InstanceCount)
			wait := min(Micros(a.meanObjective*spread)<<a.failedPolls, cmp.Or(a.settings.PollInterval, math.MaxInt64))
			a.pollAt = a.now + wait
			a.emit(SetTimer{After: wait})
		}
	case Query:
		a.acceptQuery(e)
	case Part:
		a.acceptPart(e)
	case AttemptResult:
		a.handleAttemptResult(e)
	case HealthCheckResult:
		a.handleHealthCheckResult(e)
	case ClientCanceled:
		if q := a.queries[e.Query]; q != nil {
			a.closeQuery(q)
		}
	}
}

// setTimer keeps one timer out while anything is open. Work is looked at every other tick.
func (a *Aggregator) setTimer() {
	if len(a.openQueries) > 0 && a.timerAt <= a.now {
		a.emit(SetTimer{After: 2 * a.settings.Tick})
		a.timerAt = a.now + 2*a.settings.Tick
	}
}
