// Package maintenance decides in which order machines are drained for maintenance, and when a machine may be touched. It
// is a pure state machine without a clock or I/O. The replicated log applies entries to a State, which is therefore the
// same at every instance. Rules are checked only as an entry is applied, so that two drains that together violate a rule
// are never both permitted, whichever leaders proposed them. Plan predicts the order of the drains.
//
// All times are microseconds since 1970, as the entries carry them. Time never runs backwards: an entry whose time is
// before that of an earlier one is applied at the earlier one's time.
package maintenance
