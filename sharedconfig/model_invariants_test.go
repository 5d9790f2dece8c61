package sharedconfig

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// modelSteps is the number of steps of a run of the model.
const modelSteps = 3000

func (m *model) run(steps int) {
	for range steps {
		m.injectFaults()
		m.step()
	}
}

// TestModel checks in random runs with faults that no instance serves a version for longer than the staleness bound
// after it was replaced, that no change creates two versions, and that callers are answered with the recorded outcome.
func TestModel(t *testing.T) {
	done, rejected, unknown := 0, 0, 0
	longestStaleness := Micros(0)
	for seed := range uint64(60) {
		m := newModel(t, seed, 3+2*int(seed%2))
		m.run(modelSteps)
		final := m.stateAfter(len(m.log))
		require.NoError(t, final.Validate())
		require.Greater(t, m.servedSteps, 200, "seed %d: the instances could hardly ever serve", seed)
		longestStaleness = max(longestStaleness, m.longestStaleness)
		requireDistinctRequests(t, seed, final.Versions)
		for call, outcome := range m.replies {
			switch outcome.Status {
			case StatusUnknown:
				unknown++
				continue
			case StatusDone:
				done++
			case StatusRejected, StatusConflict:
				rejected++
			default:
				t.Fatalf("seed %d: call %d got an unexpected reply: %v", seed, call, outcome)
			}
			recorded := final.Outcome(m.calls[call].RequestID)
			require.Equal(t, recorded, outcome, "seed %d: the reply to call %d differs from the recorded outcome", seed, call)
		}
		for _, n := range m.nodes {
			require.LessOrEqual(t, n.version, final.Active().Number)
		}
	}
	t.Logf("done %d, rejected %d, unknown %d; a replaced version was served for at most %d ms (bound: %d ms)",
		done, rejected, unknown, longestStaleness/1000, modelStalenessBound/1000)
	require.Greater(t, done, 200)
	require.Greater(t, rejected, 50)
	require.Greater(t, unknown, 50)
	require.Greater(t, longestStaleness, modelStalenessBound/2, "no run came near the staleness bound")
}

func requireDistinctRequests(t *testing.T, seed uint64, versions []Version) {
	t.Helper()
	count := map[string]int{}
	for _, version := range versions {
		count[version.RequestID]++
		require.Equal(t, 1, count[version.RequestID], "seed %d: change %s was accepted twice", seed, version.RequestID)
	}
}

// TestFollowerModel checks that followers keep the staleness bound while the voters are subject to faults, and that
// they can serve nearly as often as the voters.
func TestFollowerModel(t *testing.T) {
	const (
		runs          = 8
		voterCount    = 3
		followerCount = 12
	)
	longestStaleness := Micros(0)
	voterSteps := 0
	var followerSteps []int
	for seed := range uint64(runs) {
		m := newModel(t, 500+seed, voterCount)
		m.addFollowers(followerCount)
		m.run(modelSteps)
		longestStaleness = max(longestStaleness, m.longestStaleness)
		voterSteps += m.servedSteps
		for _, f := range m.followers {
			followerSteps = append(followerSteps, f.servedSteps)
		}
	}
	total := 0
	for _, steps := range followerSteps {
		total += steps
	}
	t.Logf("a replaced version was served for at most %d ms (bound: %d ms); voters could serve in %.2f of all steps, followers in %.2f, the worst follower in %.2f",
		longestStaleness/1000, modelStalenessBound/1000,
		float64(voterSteps)/(runs*voterCount*modelSteps), float64(total)/(runs*followerCount*modelSteps),
		float64(slices.Min(followerSteps))/modelSteps)
	require.Greater(t, longestStaleness, modelStalenessBound/2, "no run came near the staleness bound")
	require.Greater(t, float64(total)/followerCount, 0.8*float64(voterSteps)/voterCount, "followers could serve in less than 80 % of the steps in which voters could")
}
