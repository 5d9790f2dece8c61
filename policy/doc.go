// Package policy makes the decisions of an aggregator, which coordinates queries over replicated shards.
//
// An owner creates an Aggregator from Settings, reports what happened as a list of Event values to
// Aggregator.Step, and carries out the Action values that Step returns, in their order. The package has no clock,
// no randomness, no input and no output: the same events at the same times bring the same actions.
//
// # Time
//
// All times are microseconds (Micros). A point in time is read on the owner's own clock, which may start anywhere
// and must not run backwards; a time earlier than the last one counts as the last one.
//
// # Invalid input
//
// Invalid input never panics and never breaks a rule. Events about unknown or closed IDs, a second result of the
// same attempt, parts of shards that do not exist and servers without a position on the ring are ignored. A query of
// an unknown class is rejected at once. The owner must drop values of load reports that are not finite numbers: they
// would enter the statistics.
//
// # Decisions
//
// A query is admitted or rejected (admission.go), its parts are requested (requesting.go) and each is sent to one
// of its shard's replicas (dispatch.go). Replicas are ranked by utility, the inverse of the predicted latency
// (latency.go), and receive parts in proportion to it (selection.go). Late parts are hedged or retried
// (hedging.go) within the retry budget (retrybudget.go). A query ends with a complete or partial answer, a
// rejection or a failure (completion.go).
package policy
