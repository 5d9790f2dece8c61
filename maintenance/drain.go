package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// MemberDrainStatus is the latest report of an instance on its requests to the stores of a machine.
type MemberDrainStatus struct {
	// DrainAcknowledged is true if the instance knows of the drain and starts no new requests.
	DrainAcknowledged bool
	// RequestsInFlight is the number of its requests in flight to the stores.
	RequestsInFlight int
	// UnreachableSince is the time at which the instance became unreachable; 0 if it is reachable.
	UnreachableSince Micros
}

// DrainComplete reports whether the drain of a machine is complete, so that work on the machine may start. If it is
// not, waitReason describes what the drain waits for. The keys of members are the instances in the membership view;
// viewTrusted is whether that view is trusted.
//
// A reachable instance must have acknowledged the drain and have no request in flight. An unreachable one (paused,
// isolated or unknown) may still hold requests that it considers valid. It may start requests as long as its endpoint
// list permits, and each request ends at its deadline. Both times are measured by the clock of the instance, which
// keeps running during a pause, from the last time at which the instance can have seen the machine in service. That
// time is the start of the drain, so no such request is left once Rules.UnreachableMemberTimeout has passed since then.
// A request that was written completely before a pause has ended by then; one that was not is withdrawn after the pause
// because its deadline has passed.
func (s State) DrainComplete(permit Permit, now Micros, members map[string]MemberDrainStatus, viewTrusted bool) (complete bool, waitReason string) {
	unreachableDeadline := permit.DrainStartedAt + s.Rules.UnreachableMemberTimeout
	timedOut := now > unreachableDeadline
	if !viewTrusted && !timedOut {
		return false, "the membership view is not trusted"
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		status := members[name]
		reachable := status.UnreachableSince == 0
		if reachable && (!status.DrainAcknowledged || status.RequestsInFlight > 0) {
			return false, fmt.Sprintf("member %s has not acknowledged the drain or still has requests in flight (%d reported)", name, status.RequestsInFlight)
		}
		if !reachable && !timedOut {
			return false, fmt.Sprintf("member %s is unreachable and may send requests for another %d s", name, (unreachableDeadline-now)/microsPerSecond)
		}
	}
	return true, ""
}
