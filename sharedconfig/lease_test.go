package sharedconfig

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLeaseMatchesAllGrants checks that a lease covers exactly what all of its grants together cover, although it drops
// grants that no longer matter.
func TestLeaseMatchesAllGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lease Lease
		var all []Grant
		now := Micros(1)
		for range rapid.IntRange(1, 30).Draw(t, "grants") {
			now += Micros(rapid.IntRange(0, 5).Draw(t, "elapsed"))
			grant := Grant{
				Version:   uint64(rapid.IntRange(1, 6).Draw(t, "version")),
				ExpiresAt: now + Micros(rapid.IntRange(1, 10).Draw(t, "duration")),
			}
			all = append(all, grant)
			lease = lease.withGrant(grant, now)
			for version := uint64(0); version <= 7; version++ {
				want := slices.ContainsFunc(all, func(g Grant) bool {
					return version > 0 && g.Version <= version && now < g.ExpiresAt
				})
				require.Equal(t, want, lease.Covers(now, version), "version %d at time %d: grants %v, lease %v", version, now, all, lease.Grants)
			}
		}
	})
}

// TestLeaseAllowsAndNotCoveredReason checks that ServeWhenStale permits serving neither without a version nor after the
// removal of the instance, and that the reason for not serving is stated.
func TestLeaseAllowsAndNotCoveredReason(t *testing.T) {
	serving := Lease{ServeWhenStale: true}
	assert.True(t, serving.Allows(1, 3))
	assert.False(t, serving.Allows(1, 0), "no version is known yet")
	assert.False(t, Lease{ServeWhenStale: true, Removed: true}.Allows(1, 3))

	granted := Lease{Grants: []Grant{{Version: 1, ExpiresAt: 10}}}
	assert.False(t, granted.Allows(10, 1))
	assert.True(t, granted.Allows(9, 1))

	for reason, lease := range map[string]Lease{
		"": granted,
		"this instance was removed from its group": {Removed: true},
		"no leader or voter has confirmed that version 2 is active: none has granted a lease, or the lease covers only a newer version, which this instance does not serve yet": {},
	} {
		assert.Equal(t, reason, lease.NotCoveredReason(9, 2))
	}
}
