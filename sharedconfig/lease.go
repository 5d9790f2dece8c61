package sharedconfig

import (
	"cmp"
	"fmt"
	"slices"
)

// clockDriftDivisor shortens a lease by one part in this many, in case the clocks of two instances run at different
// speeds.
const clockDriftDivisor = 100

// Grant confirms a version until a point in time. A grant for version v that was requested at time t states that v
// was the active version at t or later. Any newer version became active after t, so v and all newer versions may be
// served until t plus the staleness bound.
type Grant struct {
	Version   uint64 // lowest version that the grant covers
	ExpiresAt Micros
}

// grantExpiry returns the end of a grant of the given duration. It counts from the time of the request: however late the
// response arrives, the version was active then or later.
func grantExpiry(requestedAt, duration Micros) Micros {
	return requestedAt + duration - duration/clockDriftDivisor
}

// covers reports whether g allows everything that other allows.
func (g Grant) covers(other Grant) bool {
	return g.Version <= other.Version && g.ExpiresAt >= other.ExpiresAt
}

// Lease is what an instance was granted: which versions it may serve and until when. A Lease is immutable.
type Lease struct {
	Grants         []Grant // by ascending version; each ends later than those before it
	ServeWhenStale bool    // serve without a valid grant too: availability is preferred to the staleness bound
	Removed        bool    // the instance was removed from the group
}

// ExpiresAt returns the end of the latest grant that covers a version, or 0 if there is none.
func (l Lease) ExpiresAt(version uint64) Micros {
	expiresAt := Micros(0)
	for _, grant := range l.Grants {
		if grant.Version <= version {
			expiresAt = max(expiresAt, grant.ExpiresAt)
		}
	}
	return expiresAt
}

// Covers reports whether a grant covers a version at the time now.
func (l Lease) Covers(now Micros, version uint64) bool {
	return version > 0 && !l.Removed && now < l.ExpiresAt(version)
}

// Allows reports whether queries may be accepted under a version at the time now.
func (l Lease) Allows(now Micros, version uint64) bool {
	return l.Covers(now, version) || l.ServeWhenStale && version > 0 && !l.Removed
}

// withGrant returns the lease with a grant added, without the grants that it covers or that have expired.
func (l Lease) withGrant(grant Grant, now Micros) Lease {
	var grants []Grant
	for _, other := range l.Grants {
		if other.ExpiresAt > now && !grant.covers(other) {
			grants = append(grants, other)
		}
	}
	if !slices.ContainsFunc(grants, func(other Grant) bool { return other.covers(grant) }) {
		grants = append(grants, grant)
		slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Version, b.Version) })
	}
	l.Grants = grants
	return l
}

// NotCoveredReason returns, in words, why an instance does not serve a version or serves it without a valid grant. It is empty if
// a grant covers the version.
func (l Lease) NotCoveredReason(now Micros, version uint64) string {
	switch {
	case l.Removed:
		return "this instance was removed from its group"
	case version == 0:
		return "this instance has no agreed document yet"
	case l.Covers(now, version):
		return ""
	case l.ExpiresAt(version) == 0:
		return fmt.Sprintf("nobody has confirmed that version %d is still the active one", version)
	}
	return fmt.Sprintf("nobody has confirmed for %d ms beyond the bound that version %d is still the active one",
		(now-l.ExpiresAt(version))/1000, version)
}
