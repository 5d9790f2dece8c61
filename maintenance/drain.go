package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// MemberDrainStatus is the status of a drain at an instance: its latest report on its requests to the stores of the
// machine, and whether it is reachable.
type MemberDrainStatus struct {
	// DrainAcknowledged is true if the instance has acknowledged the drain. It then starts no new requests to the
	// stores.
	DrainAcknowledged bool
	// RequestsInFlight is the number of requests of the instance in flight to the stores.
	RequestsInFlight int
	// UnreachableSince is the time at which the instance became unreachable; 0 if it is reachable.
	UnreachableSince Micros
}

// DrainComplete reports whether the drain of a machine is complete, so that work on the machine may start. If it is
// not, waitReason describes what the drain waits for. The permit must be at step Draining. The keys of members are the
// instances in the membership view; viewTrusted is whether that view is trusted.
//
// A reachable instance must have acknowledged the drain and have no request in flight. An unreachable instance (paused,
// isolated or in an unknown state) may still have requests in flight. It may start new ones until its endpoint list
// expires, and each request ends at its deadline. The clock of the instance, which continues during a pause, measures
// both periods. The instance saw the machine in service for the last time at the start of the drain or earlier, so no
// request is left once Rules.UnreachableMemberTimeout has passed since the start of the drain. A request that was
// written completely before a pause has ended by then; one that was not is withdrawn after the pause because its
// deadline has passed.
//
// While the view is not trusted, the drain is not complete before that timeout either.
func (s State) DrainComplete(permit Permit, now Micros, members map[string]MemberDrainStatus, viewTrusted bool) (complete bool, waitReason string) {
	unreachableDeadline := permit.DrainStartedAt + s.Rules.UnreachableMemberTimeout
	timedOut := now > unreachableDeadline
	if !viewTrusted && !timedOut {
		return false, fmt.Sprintf("the membership view is not trusted; waiting for a trusted view, or for about %d s", (unreachableDeadline-now)/microsPerSecond)
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		status := members[name]
		reachable := status.UnreachableSince == 0
		if reachable && (!status.DrainAcknowledged || status.RequestsInFlight > 0) {
			return false, fmt.Sprintf("waiting for member %s: drain acknowledged: %t, requests in flight: %d", name, status.DrainAcknowledged, status.RequestsInFlight)
		}
		if !reachable && !timedOut {
			return false, fmt.Sprintf("waiting for member %s: it is unreachable and may send requests for about %d s", name, (unreachableDeadline-now)/microsPerSecond)
		}
	}
	return true, ""
}
