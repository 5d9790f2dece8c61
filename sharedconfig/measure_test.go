//go:build measure

package sharedconfig

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// 200 instances without a vote over three voters, through everything that befalls these: how long any serves under a
// version that was replaced, and how far the voters share them.
func TestMeasureFollowers(t *testing.T) {
	stale, served, voters := Micros(0), 0, 0
	const runs, steps, followers = 10, 3000, 200
	for seed := range uint64(runs) {
		m := newModel(t, 900+seed, 3)
		m.followers(followers)
		for range steps {
			m.faults()
			m.step()
		}
		stale, voters = max(stale, m.stale), voters+m.served
		for _, f := range m.follow {
			served += f.served
		}
	}
	t.Logf("%d runs of %d followers: longest service under a replaced version %d ms of %d; voters could serve at %.2f of all moments, followers at %.2f",
		runs, followers, stale/1000, bound/1000, float64(voters)/(runs*3*steps), float64(served)/(runs*followers*steps))
	assert.LessOrEqual(t, stale, Micros(bound))
	shares := map[string]int{}
	m := newModel(t, 1, 3)
	m.followers(followers)
	for _, f := range m.follow {
		f.knownVoters = m.roster
		shares[f.votersByPreference()[0].Addr]++
	}
	t.Logf("shares of the voters: %v", shares)
	all := []int{shares["a0"], shares["a1"], shares["a2"]}
	assert.Greater(t, slices.Min(all), followers/5)
}
