// Package sharedconfig is the state machine of the replicated configuration: how the instances of a group agree on one
// document, on the leases without which none of them serves, and on the group's members. It has no clock and does no
// input or output.
//
// A change takes two entries of the replicated log. The first proposes it; the leader then asks every member to check
// it. The second commits or rejects it, and a committed change is active from that entry on. State is the result of
// the log's entries and is the same on every instance. Core makes the decisions of a member and Follower those of an
// instance outside the voting group: both take events and return actions, which the caller carries out.
//
// A member serves a version only while it holds a lease that covers it. Since a lease lasts no longer than the
// staleness bound, no instance serves a version for longer than the bound after it was replaced.
//
// All times are in microseconds on a clock of the instance's own, which may start anywhere, is monotonic, and goes on
// while the process is stopped or the machine sleeps.
package sharedconfig

// Micros is a duration or a point in time, in microseconds.
type Micros = int64
