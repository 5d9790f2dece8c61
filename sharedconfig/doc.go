// Package sharedconfig implements the replicated state machine of the shared configuration. The instances of a group
// agree over Raft on one document, on the leases that permit an instance to serve it, and on the group's members. The
// package has no clock and does no input or output.
//
// A change takes two entries of the Raft log. The first proposes it; the leader then asks every member to check it. The
// second accepts or rejects it, and the version that an accepted change creates is active from that entry on. State is
// the result of the log's entries and is the same on every member that has applied the same entries. Core is the
// event-driven logic of a member, and Follower that of an instance outside the Raft group: both take events and return
// actions, which the caller carries out.
//
// An instance serves a version only while it holds a lease that covers it, unless Settings.ServeWhenStale is set. A
// lease lasts no longer than the staleness bound, so without that setting no instance serves a version for longer than
// the bound after that version was replaced.
//
// Times of type Micros are in microseconds on a monotonic clock of the instance's own. The clock may start at any value
// that is not negative, and must keep running while the process is stopped or the machine sleeps. Times in fields whose
// name ends in Millis are Unix times in milliseconds.
package sharedconfig

// Micros is a duration or a point in time, in microseconds.
type Micros = int64
