package testserver

// Fault is what a store does with a request instead of answering it normally.
type Fault string

// noiseBytes is a part of an answer that is not UTF-8.
const noiseBytes = "v\x9c\xe2\x28\xff"

// The faults that can be injected.
const (
	None         Fault = ""
	ServerError  Fault = "error"     // responds with an error
	Partial      Fault = "partial"   // answers a search with a failed shard; a frame as ServerError
	TimedOut     Fault = "late"      // answers a search as timed out; a frame as ServerError
	Rejecting    Fault = "busy"      // rejects the request
	Reset        Fault = "reset"     // closes the connection instead of answering
	Unresponsive Fault = "silent"    // reads the request and does not answer it
	Stalled      Fault = "mute"      // stops answering on the connection and keeps it open; frames only
	Malformed    Fault = "malformed" // responds with bytes that violate the protocol
	NotUTF8      Fault = "not UTF-8" // answers with bytes that are not UTF-8 in the value or a hit, then not any more on the connection
	NoiseBehind  Fault = "noise"     // sends the beginning of a frame right behind a large answer; frames only
	Down         Fault = "down"      // closes the connections and accepts none
)

// FaultCase is a row of the table of faults that both fronts are tested with. The statuses are those that the client gets.
type FaultCase struct {
	Fault            Fault
	OneReplicaStatus int // if one of two replicas has the fault
	PlatformStatus   int // of the platform's front, if both replicas have it
	OpenSearchStatus int // of the OpenSearch front, if both replicas have it
}

// FaultCases is the table of faults.
var FaultCases = []FaultCase{
	{None, 200, 200, 200},
	{ServerError, 200, 429, 503},
	{Partial, 200, 429, 503},
	{TimedOut, 200, 429, 503},
	{Rejecting, 200, 429, 429},
	{Reset, 200, 429, 503},
	{Unresponsive, 200, 429, 504},
	{Malformed, 200, 429, 503},
	{NotUTF8, 200, 429, 503},
	{Down, 200, 429, 503},
}
