package policy

// attempt is the state of an attempt to have a part executed by a server.
type attempt struct {
	part   *part
	server *server

	// index is the attempt's index among the part's attempts, from 0 in the order in which they were sent.
	index  int
	sentAt Micros

	// predictedLatency is the latency in microseconds, and estimatedLoad the number of requests at the server, as
	// estimated when the attempt was sent.
	predictedLatency float64
	estimatedLoad    float64

	// connectionIdleTime is the time for which the server's connections had been unused when the attempt was sent; 0 if
	// unknown.
	connectionIdleTime Micros

	// freshConnection is set if idle connections were closed right before the attempt, so that it opened a new one.
	freshConnection bool

	// connectionResultRecorded is set once the attempt has counted toward the connection statistics.
	connectionResultRecorded bool

	// canceled is set once a CancelAttempt was returned for the attempt.
	canceled bool
}

// partState is the state of a part. The order matters: requestParts queues the first part of a query with max, which
// leaves a part unchanged that is past partQueued.
type partState uint8

const (
	partDeferred    partState = iota // not requested yet
	partQueued                       // waits for capacity at a replica
	partInFlight                     // sent, no attempt answered yet
	partAnswered                     // answered
	partUnavailable                  // can't be answered any more
)

// part is the state of a part of an open query.
type part struct {
	Part

	query        *query
	state        partState
	attemptCount int // attempts sent so far
	inFlight     []*attempt

	// mayHaveRun is set once an attempt has ended that a server may have executed.
	mayHaveRun bool

	// firstSentAt is the time at which the first attempt was sent that a server may have executed.
	firstSentAt Micros

	// lastServerID is the ID of the server that the latest attempt was sent to.
	lastServerID uint32

	// notBefore is the time before which the part is held back for the health checks of its replicas.
	notBefore Micros

	// relativeCost is the expected cost as a multiple of the class's mean cost; 1 without a cost hint.
	relativeCost float64
}

// latestAttempt returns the newest attempt in flight. There must be at least one.
func (p *part) latestAttempt() *attempt { return p.inFlight[len(p.inFlight)-1] }

// isIdempotent reports whether the part may be executed any number of times.
func (p *part) isIdempotent() bool { return p.query.class.Idempotency == Idempotent }

// The phases of a query.
const (
	firstPhase = 1 // the parts that arrive with the query
	fetchPhase = 2 // the parts that the first answer asks for; see Class.MaxFetchParts
)

// query is the state of an open query.
type query struct {
	Query

	class     *class
	arrivedAt Micros

	// objectiveDeadline is the time at which the class's latency objective ends.
	objectiveDeadline Micros

	// dispatchSortKey determines the order of dispatch. It is the time of arrival less a head start by priority.
	dispatchSortKey Micros

	// phase is firstPhase or fetchPhase; parts and usedServerIDs belong to it.
	phase              int
	parts              []*part
	expectedFetchParts int // number of parts in the fetch phase; 0 before it

	// usedServerIDs are the IDs of the servers that parts of this phase were sent to.
	usedServerIDs []uint32

	// disconnectedServerIDs are the IDs of the servers that broke the connection of one of the query's attempts.
	disconnectedServerIDs []uint32

	// lightPartCredits is the number of quick answers less the number of parts requested beyond the minimum coverage. See
	// requestParts.
	lightPartCredits int

	// coverage is the sum of the answered parts' weights as of the last call of advanceQuery.
	coverage float64

	// predictedResponseTime is the time until a complete answer, in microseconds, that was predicted at admission.
	predictedResponseTime float64

	// firstPhaseComplete is set if the answer of the first phase was complete.
	firstPhaseComplete bool

	awaitsAdmission bool
	closed          bool

	// hadRejectedAttempt is set once a server has rejected one of the query's attempts.
	hadRejectedAttempt bool

	// canaryFirst is set while a single part is sent ahead of the others, since the query may crash servers.
	canaryFirst bool
}

// allowsPartialAnswer reports whether the query's class accepts an answer below the required coverage.
func (q *query) allowsPartialAnswer() bool { return q.class.MinCoverage < q.class.RequiredCoverage }

// class holds the settings under which queries of a class were accepted, and the statistics of the class. The
// statistics are kept when the settings are replaced.
type class struct {
	Class
	*classStats
}

// initialFanOut is the mean fan-out of a class that has had no queries.
const initialFanOut = 1.0

// classStats are the statistics of a class.
type classStats struct {
	// referenceLatency is the smoothed latency of a part at an idle server, in microseconds.
	referenceLatency float64

	// answerCount is the number of answered attempts that referenceLatency is based on.
	answerCount float64

	// meanFanOut is the smoothed number of parts per query.
	meanFanOut float64

	// responseTimeRatio is the smoothed ratio of actual to predicted response time.
	responseTimeRatio float64

	// longestTimeout is the longest timeout, in microseconds, that a client has set for the first try of a query.
	longestTimeout Micros

	lastAdmittedAt Micros

	// meanCostHint is the smoothed cost hint in microseconds, and costHintCount the number of hints behind it.
	meanCostHint  float64
	costHintCount float64

	// overloadCount is the number of queries that were late or unanswered after a server rejected one of their
	// attempts. Each answer in time halves it.
	overloadCount int
}
