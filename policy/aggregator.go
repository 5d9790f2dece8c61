package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// timerIntervalTicks is the number of ticks between two timers while queries are open.
	timerIntervalTicks = 2

	// maxBackoffDoublings is the maximum number of times that any backoff doubles.
	maxBackoffDoublings = 3
)

// Aggregator decides which queries are admitted, where their parts are sent and how the queries end. Its methods must
// not be called concurrently.
type Aggregator struct {
	settings  Settings
	now       Micros
	startedAt Micros   // time of the first call of Step
	timerAt   Micros   // time at which the pending timer fires
	actions   []Action // of the current step

	// meanLatencyObjective is the mean latency objective of the classes in microseconds. It is the unit of many intervals
	// and decay times, such as penaltyHalfLife.
	meanLatencyObjective float64

	// effectiveLateThreshold is lateThreshold, multiplied by noHedgingLateFactor if hedging is not allowed.
	effectiveLateThreshold float64

	// The endpoints. Decisions iterate over sortedServers, never over a map, so that they are reproducible.
	serversByID   map[uint32]*server
	sortedServers []*server   // in ascending order of ID
	replicas      [][]*server // by shard, each in ascending order of ID
	polling       endpointPolling

	// The open queries.
	classes         []*class // by index, as in Settings.Classes
	queriesByID     map[uint64]*query
	queriesByNumber map[uint64]*query
	partsByID       map[uint64]*part
	openQueries     []*query      // in the order of dispatch
	queuedParts     []float64     // by shard: parts that found no server in the last dispatch; see dispatchQuery
	shardArrivals   []timedAmount // by shard: number of accepted parts, decaying over the slow start duration

	fleet         fleetStats
	retryBudget   retryBudget
	connections   connectionStats
	crashSuspects crashSuspects

	// healthCheckCredits is the number of health checks that may be sent now.
	healthCheckCredits float64

	// outlierLoggedAt is the time at which the log last reported that a server became an outlier or ceased to be one.
	outlierLoggedAt Micros
}

// New returns an aggregator without endpoints or statistics. The seed is ignored, since decisions use no random
// numbers. An error is an *InvalidSettingError.
func New(settings Settings, _ uint64) (*Aggregator, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	a := &Aggregator{
		serversByID:     map[uint32]*server{},
		queriesByID:     map[uint64]*query{},
		queriesByNumber: map[uint64]*query{},
		partsByID:       map[uint64]*part{},
		fleet: fleetStats{
			sustainedWorkRate: initialSustainedWorkRate,
			meanUtilization:   initialUtilization,
		},
		connections: connectionStats{
			freshSuccessRate: initialFreshSuccessRate,
			idleLimitBase:    math.MaxInt64,
		},
	}
	a.applySettings(settings)
	return a, nil
}

// Step handles the events since the last call and returns the actions to carry out now, in order.
func (a *Aggregator) Step(now Micros, events []Event) []Action {
	a.now = max(now, a.now)
	a.startedAt = cmp.Or(a.startedAt, a.now)
	a.actions = nil
	a.pollEndpoints()
	for _, event := range events {
		a.handleEvent(event)
	}
	for _, q := range slices.Clone(a.openQueries) {
		if q.awaitsAdmission {
			a.admit(q)
		}
		a.advanceQuery(q)
	}
	a.dispatch()
	a.openQueries = slices.DeleteFunc(a.openQueries, func(q *query) bool { return q.closed })
	a.setTimer()
	return a.actions
}

func (a *Aggregator) emit(action Action) { a.actions = append(a.actions, action) }

func (a *Aggregator) handleEvent(event Event) {
	switch event := event.(type) {
	case EndpointList:
		a.polling.consecutiveFailures = 0
		a.applyEndpoints(event.Endpoints)
	case EndpointListFailed:
		a.backOffPolling()
	case Reconfigure:
		a.reconfigure(event.Settings)
	case Query:
		a.acceptQuery(event)
	case Part:
		a.acceptPart(event)
	case AttemptResult:
		a.handleAttemptResult(event)
	case HealthCheckResult:
		a.handleHealthCheckResult(event)
	case ClientCanceled:
		if q := a.queriesByID[event.QueryID]; q != nil {
			a.closeQuery(q)
		}
	}
}

// setTimer requests a timer if queries are open and none is pending.
func (a *Aggregator) setTimer() {
	if len(a.openQueries) == 0 || a.timerAt > a.now {
		return
	}
	a.emit(SetTimer{Delay: timerIntervalTicks * a.settings.Tick})
	a.timerAt = a.now + timerIntervalTicks*a.settings.Tick
}

func (a *Aggregator) reconfigure(settings Settings) {
	if err := settings.Validate(); err != nil {
		a.emit(Log{"invalid settings, the previous ones stay in effect: " + err.Error()})
		return
	}
	a.applySettings(settings)
}

// applySettings replaces the settings. Open queries keep the settings of their classes. It retains the statistics of
// servers and, by name, of classes, and the attempts in flight: without them, a reconfiguration would send a burst of
// parts to servers that are warming up.
func (a *Aggregator) applySettings(settings Settings) {
	statsByName := map[string]*classStats{}
	for _, c := range a.classes {
		statsByName[c.Name] = c.classStats
	}
	a.settings = settings
	a.classes = nil
	a.meanLatencyObjective = 0
	for _, c := range settings.Classes {
		stats := cmp.Or(statsByName[c.Name], &classStats{meanFanOut: initialFanOut})
		if stats.answerCount == 0 {
			stats.referenceLatency = float64(c.LatencyObjective)
		}
		a.classes = append(a.classes, &class{c, stats})
		a.meanLatencyObjective += float64(c.LatencyObjective) / float64(len(settings.Classes))
	}
	if a.fleet.answerCount == 0 {
		a.fleet.meanLatency = a.meanLatencyObjective
		a.fleet.baseLatency = a.meanLatencyObjective
	}
	a.effectiveLateThreshold = lateThreshold
	if !settings.AllowHedging {
		a.effectiveLateThreshold *= noHedgingLateFactor
	}
	a.extendShards(settings.Shards)
	a.rebuildReplicas()
}

// extendShards adds the state of new shards. It never removes the state of a shard, since open parts may belong to
// shards that no longer exist.
func (a *Aggregator) extendShards(shards int) {
	for len(a.replicas) < shards {
		a.replicas = append(a.replicas, nil)
		a.queuedParts = append(a.queuedParts, 0)
		a.shardArrivals = append(a.shardArrivals, timedAmount{})
	}
}
