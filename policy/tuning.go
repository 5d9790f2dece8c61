package policy

// Tuned values. Each is a plain ratio, or is used relative to a class's aim or to a latency learned.
const (
	improvementGain          = 0.15  // EWMA gain of a server's latency when it improves: seven answers to believe it
	degradationGain          = 0.40  // and when it worsens: bad news is dearer to ignore, so two samples suffice
	referenceGain            = 0.05  // EWMA gain of a class's reference latency: the fleet moves slower than a server
	objectivePriorWeight     = 0.2   // weight of the aim as a first guess of latency: the first answers outweigh it
	maxSampleRatio           = 8.0   // one sample counts at most this many references: a lone disaster is no history
	loadSensitivity          = 0.5   // of a request held: between a server that does all at once (0) and one by one (1)
	failureGain              = 0.33  // EWMA gain of the share that fails: after two in a row a server is an outlier
	maxPredictedFailureRate  = 0.8   // share that fails at most in a prediction: beyond it a server is held to be lost
	failurePenalty           = 6.0   // references charged to a failed attempt: its time and a further attempt's
	outlierThreshold         = 3.0   // references beyond which a server is an outlier against its peers
	penaltyHalfLife          = 4.0   // aims after which an untouched bad memory has halved
	deficitDecay             = 0.9   // of a shard's tally a deal: arrears older than about ten deals are forgotten
	fleetConcurrencyLimit    = 6.0   // attempts that a server may hold of all aggregators together, each of them ...
	minConcurrencyLimit      = 2.0   // ... this many at least: one long part says nothing of a jam
	lateThreshold            = 3.0   // multiple of the predicted latency at which an attempt is late
	stragglerCoverage        = 0.6   // of what a query needs: then the rest are stragglers, not victims of overload
	maxQueuedReportRate      = 0.1   // share of answers telling of waiting parts up to which spare work finds room
	replacementThreshold     = 2.0   // the same for a spare part, which costs no budget; times more for a move in place
	slowStartUtilization     = 0.4   // of what a cold server bears of all: traffic may double, connections cost work
	healthCheckBudget        = 0.015 // of a part's worth that may go into probes
	reportLifetime           = 0.5   // aims after which a load report is worth nothing
	suspectIdleTime          = 0.4   // aims without use after which a connection may be at fault: less is ordinary traffic
	staleConnectionThreshold = 0.7   // share of new connections that answer where idle ones were silent: these are bad
	coverageTolerance        = 5e-5  // sums of weights may fall short by rounding: half of what the rule forgives
	minAnswersForAdmission   = 10.0  // answers before a latency is taken for knowledge: fewer are a chance draw
	priorityHeadStart        = 0.2   // of its aim that the worthiest query may overtake
	maxBackoffDoublings      = 3     // doublings at most of what backs off
	busyUtilization          = 0.5   // share of busy cores beyond which light parts leave one by one
	lowestPriorityWaitShare  = 0.4   // share of the aim that the least worthy query may expect to wait
)
