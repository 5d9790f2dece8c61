package simnet

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

const millisecond Micros = 1000

var allNodes = []NodeID{1, 2, 3}

// runChatter simulates nodes that each send a datagram to each other node every 10 ms. It returns the network and the
// arrival times by route, relative to the start.
func runChatter(seed uint64, link Link, duration Micros, inject func(*Network)) (*Network, map[route][]Micros) {
	network := New(seed, link)
	arrivals := map[route][]Micros{}
	for _, sender := range allNodes {
		var tick func()
		tick = func() {
			for _, recipient := range Except(allNodes, sender) {
				path := route{sender, recipient}
				network.Send(sender, recipient, func() {
					arrivals[path] = append(arrivals[path], network.Now()-StartTime)
				})
			}
			network.Schedule(sender, 10*millisecond, tick)
		}
		network.Schedule(sender, 0, tick)
	}
	if inject != nil {
		inject(network)
	}
	network.Run(StartTime + duration)
	return network, arrivals
}

// Runs of the same seed must be identical, and loss and duplication must have their configured rates.
func TestRunIsDeterministic(t *testing.T) {
	link := Link{MinDelay: millisecond, MaxDelay: 30 * millisecond, LossRate: 0.2, DuplicationRate: 0.1}
	const duration = 2000 * millisecond
	first, _ := runChatter(1, link, duration, nil)
	repeated, _ := runChatter(1, link, duration, nil)
	otherSeed, _ := runChatter(2, link, duration, nil)
	assert.Equal(t, first.Digest(), repeated.Digest())
	assert.NotEqual(t, first.Digest(), otherSeed.Digest())
	counts := first.Counts()
	assert.InDelta(t, 0.2, float64(counts.Lost)/float64(counts.Sent), 0.05)
	assert.InDelta(t, 0.08, float64(counts.Duplicated)/float64(counts.Sent), 0.04)
}

func TestLinkFaults(t *testing.T) {
	fastLink := Link{MinDelay: millisecond, MaxDelay: millisecond}
	forward, backward := route{1, 2}, route{2, 1}
	cases := []struct {
		name     string
		inject   func(*Network)
		route    route
		arrivals int // from 100 to 200 ms, when ten datagrams are sent
	}{
		{"none", nil, forward, 10},
		{"cut in this direction", func(n *Network) { n.Cut([]NodeID{1}, allNodes) }, forward, 0},
		{"cut in the other direction only", func(n *Network) { n.Cut([]NodeID{1}, allNodes) }, backward, 10},
		{"cut twice, healed once", func(n *Network) {
			n.Cut([]NodeID{1}, allNodes)
			n.Cut([]NodeID{1}, []NodeID{2})
			n.Heal([]NodeID{1}, allNodes)
		}, forward, 0},
		{"cut and healed", func(n *Network) {
			n.Cut(allNodes, allNodes)
			n.Heal(allNodes, allNodes)
		}, forward, 10},
		{"lost", func(n *Network) { n.SetLink(1, 2, Link{LossRate: 1}) }, forward, 0},
		{"duplicated", func(n *Network) { n.SetLink(1, 2, Link{DuplicationRate: 1}) }, forward, 20},
		{"recipient dead", func(n *Network) { n.Kill(2) }, forward, 0},
		{"sender dead", func(n *Network) { n.Kill(1) }, forward, 0},
		{"sender paused", func(n *Network) { n.Pause(1, 250*millisecond) }, forward, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			_, arrivals := runChatter(1, fastLink, 300*millisecond, testCase.inject)
			count := 0
			for _, at := range arrivals[testCase.route] {
				if at >= 100*millisecond && at < 200*millisecond {
					count++
				}
			}
			assert.Equal(t, testCase.arrivals, count)
		})
	}
}

// Timers that are due during a pause must fire after it, in the order of their due times.
func TestPausedNodeReceivesInOrder(t *testing.T) {
	network := New(1, Link{})
	var called []int
	network.Pause(1, 50*millisecond)
	for i := 5; i >= 1; i-- {
		network.Schedule(1, Micros(i)*millisecond, func() { called = append(called, i) })
	}
	network.Run(StartTime + 49*millisecond)
	assert.Empty(t, called)
	network.Run(StartTime + 50*millisecond)
	assert.Equal(t, []int{1, 2, 3, 4, 5}, called)
}

// A node that was restarted must not receive the timers and messages of the time before its crash.
func TestEventsOfAnEarlierIncarnationAreDropped(t *testing.T) {
	network := New(1, Link{MinDelay: 20 * millisecond, MaxDelay: 20 * millisecond})
	beforeCrash, afterRestart := 0, 0
	network.Schedule(1, 30*millisecond, func() { beforeCrash++ })
	network.Send(2, 1, func() { beforeCrash++ })
	network.Run(StartTime + 10*millisecond)
	network.Kill(1)
	assert.False(t, network.IsAlive(1))
	network.Restart(1)
	network.Send(2, 1, func() { afterRestart++ })
	network.Run(StartTime + 100*millisecond)
	assert.Zero(t, beforeCrash)
	assert.Equal(t, 1, afterRestart)
}

// Messages of SendOrdered must all arrive once and in order, even if the link loses, duplicates and reorders datagrams.
func TestOrderedMessagesKeepTheirOrder(t *testing.T) {
	const messages = 50
	network := New(3, Link{MinDelay: 0, MaxDelay: 50 * millisecond, LossRate: 0.5, DuplicationRate: 0.5})
	var received, sent []int
	for i := range messages {
		sent = append(sent, i)
		network.Schedule(1, Micros(i)*millisecond, func() {
			network.SendOrdered(1, 2, func() { received = append(received, i) })
		})
	}
	network.Run(StartTime + 500*millisecond)
	assert.Equal(t, sent, received)
}
