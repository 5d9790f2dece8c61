package sharedconfig

import "fmt"

// injectFaults draws and applies the faults and the requests of a step.
func (m *model) injectFaults() {
	i := m.rng.IntN(len(m.nodes))
	n := m.nodes[i]
	if m.rng.IntN(40) == 0 {
		m.requestChange()
	}
	switch m.rng.IntN(500) {
	case 0:
		n.partitioned = true
	case 9, 10, 11, 12, 13, 14:
		n.partitioned = false
	case 4: // paused, while its clock continues
		n.pausedUntil = m.now + Micros(m.rng.IntN(int(5*modelStalenessBound)))
	case 15, 16, 17:
		n.laggingUntil = m.now + Micros(m.rng.IntN(int(4*modelStalenessBound)))
	case 5:
		m.lossPercent = m.rng.IntN(60)
	case 6: // restarted: it applies the log from the beginning
		*n = *newModelNode(n.name, n.directoryID, n.clockOffset)
		if m.leader == i {
			m.leader = -1
		}
	case 7:
		n.rejectsChanges = !n.rejectsChanges && m.rng.IntN(2) == 0
	case 8, 18: // the leader is replaced without learning of it
		m.elect()
	}
	if m.leader < 0 || !m.reachesMajority(m.leader) {
		m.elect()
	}
}

// requestChange sends a node, mostly the leader, a new change or an earlier one again. It may send a second change based
// on the same version with it.
func (m *model) requestChange() {
	m.nextID++
	change := m.newChange(m.stateAfter(len(m.log)).Active().Number)
	if m.rng.IntN(4) == 0 && m.nextID > 3 {
		change = m.calls[uint64(m.rng.IntN(int(m.nextID-2))+1)]
		if change.RequestID == "" {
			return
		}
	}
	call := m.nextID
	m.calls[call] = change
	to := m.rng.IntN(len(m.nodes))
	if m.leader >= 0 && m.rng.IntN(10) > 0 {
		to = m.leader
	}
	n := m.nodes[to]
	n.events = append(n.events, ChangeRequested{CallID: call, Change: change})
	if m.rng.IntN(3) == 0 {
		m.nextID++
		competing := m.newChange(change.ExpectedVersion)
		m.calls[m.nextID] = competing
		n.events = append(n.events, ChangeRequested{CallID: m.nextID, Change: competing})
	}
}

// newChange returns a change whose request ID is derived from the latest ID.
func (m *model) newChange(expectedVersion uint64) Change {
	return Change{
		RequestID:       fmt.Sprint("r", m.nextID),
		Text:            fmt.Sprint(m.nextID),
		Digest:          fmt.Sprint(m.nextID),
		ExpectedVersion: expectedVersion,
	}
}
