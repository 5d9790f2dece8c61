package testserver

// Fault is what a store does with a request instead of answering it.
type Fault string

// The faults that can be injected.
const (
	None         Fault = ""
	ServerError  Fault = "error"     // answers with an error
	Partial      Fault = "partial"   // answers a search with a failed shard; with frames, as ServerError
	TimedOut     Fault = "late"      // answers a search as timed out; with frames, as ServerError
	Rejecting    Fault = "busy"      // rejects the request
	Reset        Fault = "reset"     // closes the connection instead of answering
	Unresponsive Fault = "silent"    // accepts the request and does not answer
	Stalled      Fault = "mute"      // keeps the connection open and answers nothing on it any more; frames only
	Malformed    Fault = "malformed" // answers with bytes that are not of the protocol
	Down         Fault = "down"      // accepts no connection
)

// FaultCase is one row of the table of faults that both fronts must handle alike.
type FaultCase struct {
	Fault            Fault
	OneReplicaStatus int // where one replica of two has the fault
	PlatformStatus   int // where both have it
	OpenSearchStatus int // where both have it
}

// FaultCases is the table.
var FaultCases = []FaultCase{
	{None, 200, 200, 200},
	{ServerError, 200, 429, 503},
	{Partial, 200, 429, 503},
	{TimedOut, 200, 429, 503},
	{Rejecting, 200, 429, 429},
	{Reset, 200, 429, 503},
	{Unresponsive, 200, 429, 504},
	{Malformed, 200, 429, 503},
	{Down, 200, 429, 503},
}
