package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// InFlightReport is what an instance last reported about its requests to a machine's stores.
type InFlightReport struct {
	// DrainAcknowledged means that the instance knows of the drain and starts no new request.
	DrainAcknowledged bool
	// RequestsInFlight is the number of its requests in flight.
	RequestsInFlight int
	// UnreachableSince is since when the instance has been unreachable; 0 means that it is reachable.
	UnreachableSince Micros
}

// DrainComplete reports whether a draining machine may be touched, and otherwise which instance it waits for. The members
// are those of the membership view; trusted is whether the view is.
//
// A reachable instance must report that it has no request in flight. An unreachable one (it is paused, isolated or
// unknown) may hold requests that it believes to be valid. It may start one while its endpoint list permits, and each
// ends at its deadline; both are timed by its own clock, which continues while it is paused, since it last can have seen
// the machine in service. That is the start of the drain, so that Rules.SilentMemberTimeout after it no such request is
// left. A request that was written completely before a pause has ended by then, and one that was not is withdrawn after
// the pause, since its deadline has passed.
func (s State) DrainComplete(permit Permit, now Micros, members map[string]InFlightReport, viewTrusted bool) (complete bool, waitReason string) {
	unreachableDeadline := permit.DrainStartedAt + s.Rules.UnreachableMemberTimeout
	timedOut := now > unreachableDeadline
	if !viewTrusted && !timedOut {
		return false, "the view of the fleet is not to be trusted"
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		report := members[name]
		reachable := report.UnreachableSince == 0
		if reachable && (!report.DrainAcknowledged || report.RequestsInFlight > 0) {
			return false, fmt.Sprintf("%s has %d calls out", name, report.RequestsInFlight)
		}
		if !reachable && !timedOut {
			return false, fmt.Sprintf("%s has not been heard of, and may send for another %d s", name, (unreachableDeadline-now)/microsPerSecond)
		}
	}
	return true, ""
}
