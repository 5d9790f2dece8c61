package raftnode

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// Command is an operator's command to the group. Exactly one field must be set.
type Command struct {
	Change               *sharedconfig.Change `json:"change,omitempty"`
	AddMember            *sharedconfig.Member `json:"add,omitempty"`       // only its name and address are used
	RemoveMember         string               `json:"remove,omitempty"`    // a member's name
	TransferLeadershipTo *string              `json:"hand_over,omitempty"` // the next leader's name; empty: any voter
}

const (
	// leaderRetryInterval is the time between two attempts to have the leader execute a command. Reads wait half of it.
	leaderRetryInterval = 50 * time.Millisecond
	// leaderAttemptTimeout limits one attempt to change the configuration or to read it: the leader may have failed, or lost
	// its leadership, unnoticed.
	leaderAttemptTimeout = 2500 * time.Millisecond
	// forwardedCommandTimeout limits the execution of a command that another instance has forwarded.
	forwardedCommandTimeout = 20 * time.Second
	// identifyTimeout limits the request for the server ID of the instance at an address.
	identifyTimeout = 2 * time.Second
)

// Execute has the leader, which may be another instance, execute a command, and returns the outcome. It repeats the
// command until the timeout while the outcome is StatusUnknown or StatusBusy. A repetition is safe: a change is executed
// once per request ID, and a member is added or removed once. But a repeated removal may be rejected because the first one
// succeeded, and a repeated transfer to any voter may move the leadership again. After StatusUnknown the command may have
// been executed.
func (n *Node) Execute(command Command, timeout time.Duration) sharedconfig.Outcome {
	deadline := time.Now().Add(timeout)
	outcome := sharedconfig.Outcome{Reason: ErrNoLeader.Error()}
	if command.Change != nil {
		outcome.RequestID = command.Change.RequestID
	}
	for time.Now().Before(deadline) {
		attemptTimeout := time.Until(deadline)
		if command.Change != nil {
			attemptTimeout = min(attemptTimeout, leaderAttemptTimeout)
		}
		if attemptOutcome, ok := n.executeAtLeader(command, attemptTimeout); ok {
			outcome = attemptOutcome
		}
		// StatusBusy is retried, since the change in progress ends soon.
		if outcome.Status != sharedconfig.StatusUnknown && outcome.Status != sharedconfig.StatusBusy {
			return outcome
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-n.stop:
			return outcome
		}
	}
	return outcome
}

// executeAtLeader makes one attempt to have the leader execute a command. ok is false if no leader is known.
func (n *Node) executeAtLeader(command Command, timeout time.Duration) (outcome sharedconfig.Outcome, ok bool) {
	address, id := n.raft.LeaderWithID()
	switch id {
	case "":
		return outcome, false
	case n.directory.serverID:
		return n.executeLocally(command, timeout), true
	}
	outcome, err := n.forward(command, id, address, timeout)
	if err != nil {
		outcome = sharedconfig.Outcome{RequestID: outcome.RequestID, Reason: err.Error()}
	}
	return outcome, true
}

// forward sends a command to the leader, another instance, and returns the outcome.
func (n *Node) forward(
	command Command, id raft.ServerID, address raft.ServerAddress, timeout time.Duration,
) (outcome sharedconfig.Outcome, err error) {
	body, err := json.Marshal(command)
	if err != nil {
		return outcome, err
	}
	result, err := n.endpoint.Call(peerTarget(id, address), rpcExecuteCommand, body, nil, timeout)
	if err != nil {
		return outcome, err
	}
	err = json.Unmarshal(result, &outcome)
	return outcome, err
}

// handleCommand executes a command that another instance has forwarded.
func (n *Node) handleCommand(_ string, body []byte, _ io.Reader) ([]byte, error) {
	var command Command
	if err := json.Unmarshal(body, &command); err != nil {
		return nil, err
	}
	return json.Marshal(n.executeLocally(command, forwardedCommandTimeout))
}

// executeLocally executes a command at this instance, which must be the leader.
func (n *Node) executeLocally(command Command, timeout time.Duration) sharedconfig.Outcome {
	switch {
	case command.Change != nil:
		return n.callCore(timeout, func(callID uint64) sharedconfig.Event {
			return sharedconfig.ChangeRequested{CallID: callID, Change: *command.Change}
		})
	case command.AddMember != nil:
		return n.addMember(*command.AddMember, timeout)
	case command.RemoveMember != "":
		return n.callCore(timeout, func(callID uint64) sharedconfig.Event {
			return sharedconfig.RemoveMemberRequested{CallID: callID, Name: command.RemoveMember}
		})
	case command.TransferLeadershipTo != nil:
		return n.transferLeadershipTo(*command.TransferLeadershipTo)
	}
	return rejectedOutcome("the command is empty")
}

// addMember adds the instance at a member's address if it has the member's name.
func (n *Node) addMember(member sharedconfig.Member, timeout time.Duration) sharedconfig.Outcome {
	hello, err := n.endpoint.Identify(member.Addr, identifyTimeout)
	if err != nil {
		return rejectedOutcome(fmt.Sprintf("cannot identify the instance at %s: %v", member.Addr, err))
	}
	name, directoryID, err := parseServerID(hello.From)
	if err != nil {
		return rejectedOutcome(err.Error())
	}
	if name != member.Name {
		return rejectedOutcome(fmt.Sprintf("the instance at %s is %s, not %s", member.Addr, name, member.Name))
	}
	added := sharedconfig.Member{Name: name, DirectoryID: directoryID, Addr: member.Addr}
	return n.callCore(timeout, func(callID uint64) sharedconfig.Event {
		return sharedconfig.AddMemberRequested{CallID: callID, Member: added}
	})
}

// callCore passes a call to the event loop's core and waits for the outcome.
func (n *Node) callCore(timeout time.Duration, newEvent func(callID uint64) sharedconfig.Event) sharedconfig.Outcome {
	outcome, ok := callEventLoop(n, n.commands, timeout, newEvent)
	if !ok {
		return sharedconfig.Outcome{Reason: "the outcome was not known in time; the command may still be executed"}
	}
	return outcome
}

func rejectedOutcome(reason string) sharedconfig.Outcome {
	return sharedconfig.Outcome{Status: sharedconfig.StatusRejected, Reason: reason}
}
