// Package policy makes the decisions of an aggregator, which coordinates queries over replicated shards. Call
// Aggregator.Step with the events since the last call and carry out the actions that it returns. The package has
// no clock, input or output.
package policy
