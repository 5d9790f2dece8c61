package simnet

// SetLink sets the properties of the link from one node to another, in this direction only.
func (n *Network) SetLink(from, to NodeID, link Link) { n.links[route{from, to}] = link }

// Cut blocks the messages from each node of from to each node of to, in this direction only. Messages that were sent
// before still arrive. Cuts are counted: a route is open again once each of its cuts has been healed.
func (n *Network) Cut(from, to []NodeID) { n.addCuts(from, to, 1) }

// Heal undoes one Cut of the same nodes.
func (n *Network) Heal(from, to []NodeID) { n.addCuts(from, to, -1) }

func (n *Network) addCuts(from, to []NodeID, delta int) {
	for _, sender := range from {
		for _, recipient := range to {
			if sender == recipient {
				continue
			}
			path := route{sender, recipient}
			n.cuts[path] += delta
			if n.cuts[path] <= 0 {
				delete(n.cuts, path)
			}
		}
	}
}

// Pause pauses a node for a duration, like SIGSTOP: timers and messages that are due during the pause are handled after it,
// in their order.
func (n *Network) Pause(id NodeID, duration Micros) {
	target := n.node(id)
	target.pausedUntil = max(target.pausedUntil, n.now+duration)
}

// Kill crashes a node. Its timers and the messages to it are dropped; the messages that it sent still arrive.
func (n *Network) Kill(id NodeID) {
	target := n.node(id)
	target.incarnation++
	target.dead = true
	target.pausedUntil = 0
}

// Restart starts a killed node again.
func (n *Network) Restart(id NodeID) { n.node(id).dead = false }

// IsAlive reports whether a node was never killed or was restarted after it was killed.
func (n *Network) IsAlive(id NodeID) bool { return !n.node(id).dead }
