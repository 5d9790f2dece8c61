package sharedconfig

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// votersByPreference returns the voters in the order in which this instance polls them. The order is that of a
// rendezvous hash of the directory ID and the voter's address, which spreads the instances over the voters. Voters that
// failed within the staleness bound come last, the earliest failure first. Seed voters are included only if all known
// voters have failed within the bound, or if none is known.
func (f *Follower) votersByPreference() []Member {
	voters := slices.Clone(f.knownVoters)
	hasWorkingVoter := slices.ContainsFunc(voters, func(voter Member) bool { return !f.failedRecently(voter) })
	if !hasWorkingVoter {
		voters = f.appendSeedVoters(voters)
	}
	slices.SortFunc(voters, f.compareVoters)
	return voters
}

func (f *Follower) appendSeedVoters(voters []Member) []Member {
	for _, seed := range f.seedVoters {
		isKnown := slices.ContainsFunc(voters, func(voter Member) bool { return voter.Addr == seed.Addr })
		if !isKnown {
			voters = append(voters, seed)
		}
	}
	return voters
}

func (f *Follower) compareVoters(a, b Member) int {
	aFailed, bFailed := f.failedRecently(a), f.failedRecently(b)
	byHash := cmp.Compare(f.preferenceHash(a), f.preferenceHash(b))
	switch {
	case aFailed && !bFailed:
		return 1
	case bFailed && !aFailed:
		return -1
	case aFailed && bFailed:
		return cmp.Or(cmp.Compare(f.voterFailedAt[a.Addr], f.voterFailedAt[b.Addr]), byHash)
	}
	return cmp.Or(byHash, cmp.Compare(a.Addr, b.Addr))
}

func (f *Follower) preferenceHash(voter Member) uint64 {
	return xxhash.Sum64String(f.settings.DirectoryID + " " + voter.Addr)
}

func (f *Follower) markFailed(voter Member) { f.voterFailedAt[voter.Addr] = f.now }

func (f *Follower) failedRecently(voter Member) bool {
	failedAt, hasFailed := f.voterFailedAt[voter.Addr]
	return hasFailed && f.now-failedAt < f.settings.StalenessBound
}

// clearFailures removes the failure of a voter that has replied, and all failures older than the staleness bound.
func (f *Follower) clearFailures(voter Member) {
	delete(f.voterFailedAt, voter.Addr)
	maps.DeleteFunc(f.voterFailedAt, func(_ string, failedAt Micros) bool {
		return f.now-failedAt >= f.settings.StalenessBound
	})
}
