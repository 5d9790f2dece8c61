//go:build measure

package sharedconfig

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestMeasureFollowers measures, with many followers of three voters that are subject to faults, for how long replaced
// versions are served and how evenly the followers spread over the voters.
func TestMeasureFollowers(t *testing.T) {
	const (
		runs          = 10
		voterCount    = 3
		followerCount = 200
	)
	longestStaleness := Micros(0)
	voterSteps, followerSteps := 0, 0
	for seed := range uint64(runs) {
		m := newModel(t, 900+seed, voterCount)
		m.addFollowers(followerCount)
		m.run(modelSteps)
		longestStaleness = max(longestStaleness, m.longestStaleness)
		voterSteps += m.servedSteps
		for _, f := range m.followers {
			followerSteps += f.servedSteps
		}
	}
	t.Logf("%d runs of %d followers: a replaced version was served for at most %d ms (bound: %d ms); voters could serve in %.2f of all steps, followers in %.2f",
		runs, followerCount, longestStaleness/1000, modelStalenessBound/1000,
		float64(voterSteps)/(runs*voterCount*modelSteps), float64(followerSteps)/(runs*followerCount*modelSteps))
	assert.LessOrEqual(t, longestStaleness, modelStalenessBound)

	preferred := map[string]int{}
	m := newModel(t, 1, voterCount)
	m.addFollowers(followerCount)
	for _, f := range m.followers {
		f.knownVoters = m.members
		preferred[f.votersByPreference()[0].Addr]++
	}
	t.Logf("followers per voter: %v", preferred)
	counts := []int{preferred["a0"], preferred["a1"], preferred["a2"]}
	assert.Greater(t, slices.Min(counts), followerCount/5)
}
