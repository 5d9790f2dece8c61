// Package maintenance decides in which order machines are drained for maintenance, and when work on a machine may
// start.
//
// It is a deterministic state machine without a clock or I/O, meant for the replicated log: all instances that apply
// the same entries to a State have the same state. No other package uses it yet.
//
// State.NextTransitions proposes only drains that the rules permit. The rules are checked again when a transition is
// applied, because the state of the leader that proposed it may be outdated. Two drains that together violate a rule
// are therefore never both permitted, even if different leaders proposed them, unless an operator overrides the rules.
// State.Plan predicts the order of the drains.
//
// All times are in microseconds since the Unix epoch (1970) and come from the entries. The time of a State never
// decreases: an entry that is older than one applied before it is applied at the time of the newer one.
package maintenance
