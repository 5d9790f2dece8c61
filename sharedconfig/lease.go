package sharedconfig

import (
	"cmp"
	"fmt"
	"slices"
)

// clockDriftDivisor sets the safety margin for clock drift: a lease is shortened by one part in this many, since the
// clocks of two instances may run at different speeds.
const clockDriftDivisor = 100

// Grant confirms a version until a point in time. A grant for version v that was requested at time t states that v was
// the active version at t or later. Any newer version became active after t, so v and all newer versions may be served
// until t plus the staleness bound.
type Grant struct {
	Version   uint64 // lowest version that the grant covers
	ExpiresAt Micros
}

// grantExpiry returns the time at which a grant of the given duration expires. The duration counts from the time of the
// request: however late the reply arrives, the version was active at that time or later.
func grantExpiry(requestedAt, duration Micros) Micros {
	return requestedAt + duration - duration/clockDriftDivisor
}

// includes reports whether g permits everything that other permits.
func (g Grant) includes(other Grant) bool {
	return g.Version <= other.Version && g.ExpiresAt >= other.ExpiresAt
}

// Lease states which versions an instance may serve and until when. A Lease is immutable.
type Lease struct {
	Grants         []Grant // by ascending version; each expires later than those before it
	ServeWhenStale bool    // serve even without a valid grant: availability is preferred to the staleness bound
	Removed        bool    // the instance was removed from the group
}

// ExpiresAt returns the latest time at which a grant that covers a version expires, or 0 if no grant covers it.
func (l Lease) ExpiresAt(version uint64) Micros {
	expiresAt := Micros(0)
	for _, grant := range l.Grants {
		if grant.Version <= version {
			expiresAt = max(expiresAt, grant.ExpiresAt)
		}
	}
	return expiresAt
}

// Covers reports whether a valid grant covers a version at the time now.
func (l Lease) Covers(now Micros, version uint64) bool {
	return version > 0 && !l.Removed && now < l.ExpiresAt(version)
}

// Allows reports whether queries may be accepted under a version at the time now.
func (l Lease) Allows(now Micros, version uint64) bool {
	return l.Covers(now, version) || l.ServeWhenStale && version > 0 && !l.Removed
}

// withGrant returns the lease with a grant added, and without the grants that it includes or that have expired.
func (l Lease) withGrant(grant Grant, now Micros) Lease {
	var grants []Grant
	for _, other := range l.Grants {
		if other.ExpiresAt > now && !grant.includes(other) {
			grants = append(grants, other)
		}
	}
	if !slices.ContainsFunc(grants, func(other Grant) bool { return other.includes(grant) }) {
		grants = append(grants, grant)
		slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Version, b.Version) })
	}
	l.Grants = grants
	return l
}

// NotCoveredReason returns the reason why no valid grant covers a version at the time now, or an empty string if one
// does. A duration in the reason follows the first " for ", where callers cut it off to compare reasons.
func (l Lease) NotCoveredReason(now Micros, version uint64) string {
	switch {
	case l.Removed:
		return "this instance was removed from its group"
	case version == 0:
		return "this instance has no agreed document yet"
	case l.Covers(now, version):
		return ""
	case l.ExpiresAt(version) == 0:
		return fmt.Sprintf("no leader or voter has confirmed that version %d is active: none has granted a lease, or the lease covers only a newer version, which this instance does not serve yet", version)
	}
	return fmt.Sprintf("the lease has been expired for %d ms: no leader or voter has since confirmed that version %d is active",
		(now-l.ExpiresAt(version))/1000, version)
}
