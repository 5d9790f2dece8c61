package simcodec

// Sizes in bytes, and the number of endpoint lists that the protocol can refer to by number.
const (
	batchHeaderSize  = 16
	eventSize        = 48
	actionSize       = 24
	actionHeaderSize = 8
	listEntrySize    = 21
	maxLists         = 16
)

// Codes of the event records. eventSelectInstance (TO in the protocol) is no event: it selects the instance that the events
// after it concern.
const (
	eventRequest           = 16
	eventList              = 17
	eventAttemptResult     = 18
	eventStreaming         = 19
	eventClientCanceled    = 20
	eventTimer             = 21
	eventHealthCheckResult = 22
	eventMessage           = 23
	eventListChange        = 24
	eventStart             = 25
	eventSelectInstance    = 26
	eventStop              = 27
)

// Codes of the action records. actionSelectInstance is no action: it selects the instance that the actions after it
// concern.
const (
	actionSendAttempt    = 16
	actionReject         = 17
	actionFail           = 18
	actionCancelAttempt  = 19
	actionSetTimer       = 20
	actionHealthCheck    = 21
	actionCloseIdle      = 22
	actionSendMessage    = 23
	actionLog            = 24
	actionCrash          = 25
	actionSubscribe      = 26
	actionRequestList    = 27
	actionAnswer         = 28
	actionSelectInstance = 29
)
