package raftnode

import (
	"alderproxy/internal/clock"
	"alderproxy/sharedconfig"
)

// step passes the current member list and the queued events to the core, and starts the actions that it returns.
func (n *Node) step(queued []sharedconfig.Event) {
	events := append([]sharedconfig.Event{sharedconfig.MemberList{Members: n.Members()}}, queued...)
	for _, action := range n.core.Step(clock.Now(), events) {
		n.perform(action)
	}
	state := n.core.State()
	n.publishState(state)
	n.storeGroupID(state.GroupID)
}

// publishState makes a state available to other goroutines, and wakes those that wait for another active version.
func (n *Node) publishState(state sharedconfig.State) {
	previous := n.state.Swap(&state)
	if previous.Active().Number == state.Active().Number {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.activeVersionChanged)
	n.activeVersionChanged = make(chan struct{})
}

// storeGroupID stores the ID of the group if the node has become a member of another one.
func (n *Node) storeGroupID(groupID string) {
	if groupID == "" || groupID == *n.groupID.Load() {
		return
	}
	n.groupID.Store(&groupID)
	if err := n.directory.setGroupID(groupID); err != nil {
		n.config.Log.WithError(err).Error("cannot store the group ID")
	}
}

// perform carries out an action. Actions that wait for Raft or for other instances run in goroutines of their own.
func (n *Node) perform(action sharedconfig.Action) {
	switch action := action.(type) {
	case sharedconfig.AppendEntry:
		go n.appendEntry(action)
	case sharedconfig.CheckChange:
		n.notifyStep(StepCheck)
		go n.checkChange(action)
	case sharedconfig.Reply:
		n.commands.complete(action.CallID, action.Outcome)
	case sharedconfig.RequestLease:
		go n.requestLease(action.Seq)
	case sharedconfig.VerifyLeadership:
		go n.verifyLeadership(action.Seq)
	case sharedconfig.LeaseReply:
		n.leaseRequests.complete(action.CallID, action)
	case sharedconfig.ChangeMembership:
		go n.changeMembership(action)
	case sharedconfig.WaitForCatchUp:
		go n.waitForCatchUp(action.Member)
	case sharedconfig.Activate:
		n.activateNewer(action.Version)
	case sharedconfig.SetLease:
		n.setLease(action.Lease)
	case sharedconfig.LogMessage:
		n.logWithState().Info(action.Text)
	}
}

// activateNewer schedules the activation of a version, unless this or a newer version is served already: after a restart,
// the log replays earlier versions.
func (n *Node) activateNewer(version sharedconfig.Version) {
	if version.Number > n.servedVersion.Load() {
		n.scheduleActivation(version)
	}
}

func (n *Node) setLease(lease sharedconfig.Lease) {
	n.lease.Store(&lease)
	if !lease.Removed {
		return
	}
	if err := n.directory.setRemoved(); err != nil {
		n.config.Log.WithError(err).Error("cannot store that this instance was removed")
	}
}
