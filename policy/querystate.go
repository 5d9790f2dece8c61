package policy

// attempt is one sending of a part to a server.
type attempt struct {
	part   *part
	server *server

	// index counts the part's attempts from 0 in the order in which they were sent.
	index  int
	sentAt Micros

	// predictedLatency is the latency in microseconds, and estimatedLoad the number of requests at the server, that
	// were estimated when the attempt was sent.
	predictedLatency float64
	estimatedLoad    float64

	// connectionIdleTime is how long the server's connections had been unused when the attempt was sent; 0 if unknown.
	connectionIdleTime Micros

	// freshConnection is set if idle connections were closed right before the attempt.
	freshConnection bool

	// connectionResultRecorded is set once the attempt has counted as evidence on connections.
	connectionResultRecorded bool

	// canceled is set once a CancelAttempt was returned for it.
	canceled bool
}

// partState is the state of a part. The order matters: a part of a suspect query is raised to partQueued with max.
type partState uint8

const (
	partDeferred    partState = iota // not requested yet
	partQueued                       // waits for capacity at a replica
	partInFlight                     // sent
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

	// firstSentAt is when the first attempt was sent that may have been executed.
	firstSentAt Micros

	// lastServerID is the ID of the server that the latest attempt was sent to.
	lastServerID uint32

	// notBefore is until when the part is held back while its replicas' health checks are in flight.
	notBefore Micros

	// relativeCost is the expected cost as a multiple of the class's mean cost; 1 without a cost hint.
	relativeCost float64
}

// latestAttempt returns the newest attempt in flight, of which there must be one.
func (p *part) latestAttempt() *attempt { return p.inFlight[len(p.inFlight)-1] }

// isIdempotent reports whether the part may be executed any number of times.
func (p *part) isIdempotent() bool { return p.query.class.Idempotency == Idempotent }

// The phases of a query.
const (
	firstPhase = 1 // the parts that arrive with the query
	fetchPhase = 2 // the parts that the first answer asks for; see Class.FetchParts
)

// query is the state of an open query.
type query struct {
	Query

	class     *class
	arrivedAt Micros

	// objectiveDeadline is when the class's latency objective has passed.
	objectiveDeadline Micros

	// dispatchAt orders open queries for dispatch: the arrival less a head start by priority.
	dispatchAt Micros

	// phase is firstPhase or fetchPhase; parts, expectedFetchParts and usedServerIDs belong to it.
	phase              int
	parts              []*part
	expectedFetchParts int // parts of the fetch phase that will arrive

	// usedServerIDs are the IDs of the servers that parts of this phase were sent to.
	usedServerIDs []uint32

	// disconnectedServerIDs are the IDs of the servers that broke a connection under one of the query's attempts.
	disconnectedServerIDs []uint32

	// lightPartCredits is the number of light parts that quick answers allow to be requested under load.
	lightPartCredits int

	// coverage is the sum of the answered parts' weights, as of the last review.
	coverage float64

	// predictedResponseTime is the wait in microseconds that was predicted at admission for the slowest required part.
	predictedResponseTime float64

	// firstPhaseComplete is set if the answer of the first phase was complete.
	firstPhaseComplete bool

	awaitsAdmission bool
	closed          bool

	// hadRejectedAttempt is set once a server has rejected an attempt of the query.
	hadRejectedAttempt bool

	// canaryFirst is set while one part is sent ahead of the others, since the query may crash the server.
	canaryFirst bool
}

// allowsPartialAnswer reports whether the query's class accepts an answer below the required coverage.
func (q *query) allowsPartialAnswer() bool { return q.class.MinCoverage < q.class.RequiredCoverage }

// class holds the settings under which a query was accepted and the statistics of its class, which outlive them.
type class struct {
	Class
	*classStats
}

// initialFanOut is the number of a query's parts before a class has had queries.
const initialFanOut = 1.0

// classStats are the statistics of a class.
type classStats struct {
	// referenceLatency is the smoothed latency of a part at an idle server, in microseconds.
	referenceLatency float64

	// answerCount is the number of answered attempts that referenceLatency is based on.
	answerCount float64

	// meanFanOut is the smoothed number of a query's parts.
	meanFanOut float64

	// responseTimeRatio is the smoothed ratio of a query's time to its answer and its predicted wait.
	responseTimeRatio float64

	// longestTimeout is the longest time, in microseconds, that a client gave the first try of a query.
	longestTimeout Micros

	lastAdmittedAt Micros

	// meanCostHint is the smoothed cost hint in microseconds, and costHintCount the number of hints that it is based on.
	meanCostHint  float64
	costHintCount float64

	// overloadCount counts queries that were late or unanswered because servers rejected their attempts. An answer
	// in time halves it.
	overloadCount int
}
