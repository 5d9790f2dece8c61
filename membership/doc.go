// Package membership maintains the membership of a group of instances by a failure detector of the SWIM family with
// Lifeguard's extensions. Each member pings one other member per probe interval, has helpers ping it indirectly when
// no ack arrives, suspects it when all of them fail, and declares it dead when it does not refute the suspicion in
// time. Updates are piggybacked on the messages that are sent anyway; anti-entropy repairs what they miss.
//
// The package is a pure state machine without a clock, goroutines or I/O: pass events to Group.Step and carry out the
// actions it returns. docs/design/membership.md explains the extensions and the reasons for them.
//
// The safety rule: a member that cannot distinguish the failure of the others from its own isolation (its view is not
// trusted) declares nobody dead.
package membership
