package simnet

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

const ms = 1000

var all = []Party{1, 2, 3}

// chatter has every party write to every other each 10 ms and returns what came, and when, by sender and receiver.
func chatter(seed uint64, link Link, until Micros, faults func(*Net)) (*Net, map[[2]Party][]Micros) {
	n := New(seed, link)
	came := map[[2]Party][]Micros{}
	for _, p := range all {
		var tick func()
		tick = func() {
			for _, o := range Others(all, p) {
				n.Send(p, o, func() { came[[2]Party{p, o}] = append(came[[2]Party{p, o}], n.Now()-Start) })
			}
			n.After(p, 10*ms, tick)
		}
		n.After(p, 0, tick)
	}
	if faults != nil {
		faults(n)
	}
	n.Run(Start + until)
	return n, came
}

func TestOneSeedIsOneRun(t *testing.T) {
	link := Link{Least: ms, Most: 30 * ms, Loss: 0.2, Repeat: 0.1}
	first, _ := chatter(1, link, 2000*ms, nil)
	again, _ := chatter(1, link, 2000*ms, nil)
	other, _ := chatter(2, link, 2000*ms, nil)
	assert.Equal(t, first.Digest(), again.Digest())
	assert.NotEqual(t, first.Digest(), other.Digest())
	c := first.Counts()
	assert.InDelta(t, 0.2, float64(c.Lost)/float64(c.Sent), 0.05)
	assert.InDelta(t, 0.08, float64(c.Repeated)/float64(c.Sent), 0.04)
}

func TestFaultsOfALink(t *testing.T) {
	between := func(times []Micros, from, to Micros) int {
		return len(slices.DeleteFunc(slices.Clone(times), func(at Micros) bool { return at < from || at >= to }))
	}
	quick := Link{Least: ms, Most: ms}
	cases := []struct {
		name   string
		faults func(*Net)
		way    [2]Party
		most   int // datagrams that come from 100 to 200 ms, of ten
		least  int
	}{
		{"none", func(*Net) {}, [2]Party{1, 2}, 10, 10},
		{"cut this way", func(n *Net) { n.Cut([]Party{1}, all) }, [2]Party{1, 2}, 0, 0},
		{"cut the other way only", func(n *Net) { n.Cut([]Party{1}, all) }, [2]Party{2, 1}, 10, 10},
		{"cut twice, healed once", func(n *Net) {
			n.Cut([]Party{1}, all)
			n.Cut([]Party{1}, []Party{2})
			n.Heal([]Party{1}, all)
		}, [2]Party{1, 2}, 0, 0},
		{"cut and healed", func(n *Net) { n.Cut(all, all); n.Heal(all, all) }, [2]Party{1, 2}, 10, 10},
		{"lost", func(n *Net) { n.Use(1, 2, Link{Loss: 1}) }, [2]Party{1, 2}, 0, 0},
		{"repeated", func(n *Net) { n.Use(1, 2, Link{Repeat: 1}) }, [2]Party{1, 2}, 20, 20},
		{"receiver dead", func(n *Net) { n.Kill(2) }, [2]Party{1, 2}, 0, 0},
		{"sender dead", func(n *Net) { n.Kill(1) }, [2]Party{1, 2}, 0, 0},
		{"sender stands still", func(n *Net) { n.Pause(1, 250*ms) }, [2]Party{1, 2}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, came := chatter(1, quick, 300*ms, c.faults)
			n := between(came[c.way], 100*ms, 200*ms)
			assert.LessOrEqual(t, n, c.most)
			assert.GreaterOrEqual(t, n, c.least)
		})
	}
}

func TestWhatWaitsForAPausedPartyComesInOrder(t *testing.T) {
	n := New(1, Link{})
	var got []int
	n.Pause(1, 50*ms)
	for i := range 5 {
		n.After(1, Micros(5-i)*ms, func() { got = append(got, 5-i) })
	}
	n.Run(Start + 49*ms)
	assert.Empty(t, got)
	n.Run(Start + 50*ms)
	assert.Equal(t, []int{1, 2, 3, 4, 5}, got)
}

func TestNothingOfALifeReachesTheNext(t *testing.T) {
	n := New(1, Link{Least: 20 * ms, Most: 20 * ms})
	hits := 0
	n.After(1, 30*ms, func() { hits++ })
	n.Send(2, 1, func() { hits++ })
	n.Run(Start + 10*ms)
	n.Kill(1)
	assert.False(t, n.Alive(1))
	n.Revive(1)
	n.Send(2, 1, func() { hits += 10 })
	n.Run(Start + 100*ms)
	assert.Equal(t, 10, hits, "only what was sent to the new life")
}

func TestStreamsKeepTheirOrder(t *testing.T) {
	n := New(3, Link{Least: 0, Most: 50 * ms, Loss: 0.5, Repeat: 0.5})
	var got []int
	for i := range 50 {
		n.After(1, Micros(i)*ms, func() { n.Stream(1, 2, func() { got = append(got, i) }) })
	}
	n.Run(Start + 500*ms)
	assert.Len(t, got, 50)
	assert.True(t, slices.IsSorted(got))
}
