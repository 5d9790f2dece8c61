// Package policy makes the decisions of an aggregator, which coordinates queries over replicated shards.
//
// The owner creates an Aggregator from Settings, passes Event values to Aggregator.Step, and carries out the Action
// values that Step returns, in order. The package reads no clock, draws no random numbers and performs no I/O: the
// same events at the same times produce the same actions.
//
// # Time
//
// All times are microseconds (Micros). Points in time are readings of the owner's clock, which may start at any value
// and must not run backwards; a time before that of the previous step counts as the time of the previous step.
//
// # Invalid input
//
// Invalid input never causes a panic or an invalid action. Events about unknown or closed IDs, a second result of the
// same attempt, parts of shards that do not exist and servers without a position on the ring are ignored. A query of
// an unknown class is rejected at once. The owner must drop load report values that are not finite numbers, since
// they would enter the statistics.
//
// # Decisions
//
// A query is admitted or rejected (admission.go), its parts are requested (requesting.go) and each is sent to one
// of its shard's replicas (dispatch.go). Replicas are ranked by utility, the inverse of the predicted latency
// (latency.go), and receive parts in proportion to it (selection.go). Late parts are hedged or retried
// (hedging.go) within the retry budget (retrybudget.go). A query ends with a complete or partial answer, a rejection
// or a failure (completion.go).
package policy
