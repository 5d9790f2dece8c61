package raftnode

import (
	"encoding/json"
	"io"
	"time"

	"alderproxy/sharedconfig"
)

// applyEnqueueTimeout limits the wait until Raft accepts an entry into its queue, not the wait for the commit.
const applyEnqueueTimeout = 2 * time.Second

func (n *Node) notifyStep(step string) {
	if n.config.OnChangeStep != nil {
		n.config.OnChangeStep(step)
	}
}

// appendEntry appends an entry to the log and waits until it is committed and applied. A failure is reported to the event
// loop if the entry belongs to a change.
func (n *Node) appendEntry(action sharedconfig.AppendEntry) {
	err := n.submitEntry(action.Entry)
	if action.RequestID == "" {
		return
	}
	if err != nil {
		n.events.push(sharedconfig.AppendFailed{RequestID: action.RequestID})
		return
	}
	if action.Entry.Decide != nil {
		n.notifyStep(StepDecided)
	} else {
		n.notifyStep(StepProposed)
	}
}

func (n *Node) submitEntry(entry sharedconfig.Entry) error {
	encoded, err := entry.Encode()
	if err != nil {
		return err
	}
	if entry.Decide != nil {
		n.notifyStep(StepDecide)
	} else {
		n.notifyStep(StepPropose)
	}
	return n.raft.Apply(encoded, applyEnqueueTimeout).Error()
}

// checkChange has a member, which may be this instance, check whether it could serve a change's document.
func (n *Node) checkChange(action sharedconfig.CheckChange) {
	result := sharedconfig.CheckResult{
		RequestID:   action.Change.RequestID,
		DirectoryID: action.Member.DirectoryID,
	}
	rejection, err := n.requestCheck(action)
	if err != nil {
		result.NoReply = true
		result.Reason = err.Error()
	} else {
		result.Accepted = rejection == ""
		result.Reason = rejection
	}
	n.events.push(result)
}

// requestCheck returns the reason why a member rejects a change, or an empty string if it accepts the change.
func (n *Node) requestCheck(action sharedconfig.CheckChange) (rejection string, err error) {
	body, err := json.Marshal(action.Change)
	if err != nil {
		return "", err
	}
	var result []byte
	target := memberTarget(action.Member)
	if target.ID == string(n.directory.serverID) {
		result, err = n.handleCheck(target.ID, body, nil)
	} else {
		result, err = n.endpoint.Call(target, rpcCheckChange, body, nil, microseconds(n.settings.CheckTimeout))
	}
	return string(result), err
}

// handleCheck replies with the reason why this instance could not serve a change's document. An empty reply accepts the
// change.
func (n *Node) handleCheck(_ string, body []byte, _ io.Reader) ([]byte, error) {
	var change sharedconfig.Change
	if err := json.Unmarshal(body, &change); err != nil {
		return nil, err
	}
	if err := n.config.CheckDocument(change.Text); err != nil {
		return []byte(err.Error()), nil
	}
	return nil, nil
}
