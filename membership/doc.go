// Package membership maintains the membership of a group of instances with a failure detector of the SWIM family and
// Lifeguard's extensions. In each probe interval a member pings one other member. If no ack arrives, it asks helpers to
// ping the target indirectly. A target that nobody reaches becomes a suspect, and is declared dead if it does not
// refute the suspicion before its suspicion timeout. Updates are piggybacked on the protocol's messages; anti-entropy
// repairs views that missed some of them.
//
// The package is a pure state machine without a clock, goroutines or I/O: the caller passes events to Group.Step and
// carries out the actions that it returns. docs/design/membership.md explains the extensions and the reasons for them.
//
// The safety rule is that a member whose view is not trusted declares no other member dead: it cannot distinguish the
// failure of the others from its own isolation.
package membership
