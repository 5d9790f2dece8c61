package policy

type attempt struct {
	part                                  *part
	server                                *server
	index                                 int
	sentAt                                Micros
	predictedLatency, assumedLoad         float64 // latency predicted and load assumed when it was sent
	connectionIdle                        Micros  // since its connection had last brought an answer
	canceled, classified, freshConnection bool    // judged for its connection; on a new one after silence
}

type partState uint8

const (
	partDeferred    partState = iota // not asked for
	partQueued                       // for room at a replica
	partInFlight                     // asked
	partAnswered                     // answered
	partUnavailable                  // can't be had
)

type part struct {
	Part
	query                  *query
	state                  partState
	attempts               int
	inFlight               []*attempt
	mayHaveRun             bool    // an attempt may have run
	lastServer             uint32  // server of the newest attempt
	firstSentAt, notBefore Micros  // sending of what may have run; not dealt before, while its replicas are probed
	relativeCost           float64 // its cost hint over its class's mean one, as far as latencies follow hints; else 1
}

type query struct {
	Query
	class                                      *class
	arrivedAt, objectiveAt, dispatchAt         Micros // the last is arrival less the head start that its worth gives
	parts                                      []*part
	usedServers                                []uint32 // servers already asked in this step
	step, expectedParts                        int      // and the parts that the step will have
	lightPartCredits                           int      // light parts that quick answers allow
	brokenServers                              []uint32 // servers that broke connections under it
	coverage, predictedWait                    float64  // weight that is in; predicted for its slowest part
	firstStepComplete, awaitsAdmission, closed bool     // the first is of the first step's answer
	wasRejected, canaryFirst                   bool     // an attempt was turned away; sends one part ahead, it may fell what takes it
}

// class is the terms that a query was taken by, and what its class has learned, which outlives the terms.
type class struct {
	Class
	*classStats
}

type classStats struct {
	referenceLatency, answers      float64 // reference latency at no load, answers seen
	meanFanOut, latencyRatio       float64 // smoothed number of parts; time of an answered query over its predicted wait
	longestTimeout, lastAdmittedAt Micros  // longest first try seen; newest query let in
	meanCostHint, costHints        float64 // mean cost hint, over how many
	overloadCount                  int     // queries that overload made late or lost, less those in time since
}
