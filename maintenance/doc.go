// Package maintenance decides in which order machines are drained for maintenance, and when work on a machine may
// start.
//
// It is a deterministic state machine without a clock or I/O. The replicated log applies its entries to a State, which
// is therefore the same at every instance. Rules are checked when an entry is applied, not when it is proposed, so two
// drains that together violate a rule are never both permitted, even if different leaders proposed them. State.Plan
// predicts the order of the drains.
//
// All times are in microseconds since the Unix epoch (1970) and come from the entries. The time of a State never
// decreases: an entry that is older than one applied before it is applied at the time of the newer one.
package maintenance
