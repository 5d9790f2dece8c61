package raftnode

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// Command is an operator's command to the group. Exactly one field is set.
type Command struct {
	Change               *sharedconfig.Change `json:"change,omitempty"`
	AddMember            *sharedconfig.Member `json:"add,omitempty"`       // only its name and address are used
	RemoveMember         string               `json:"remove,omitempty"`    // a member's name
	TransferLeadershipTo *string              `json:"hand_over,omitempty"` // the next leader's name; empty: any voter
}

const (
	// leaderRetryInterval is the pause between two attempts to reach the leader.
	leaderRetryInterval = 50 * time.Millisecond
	// leaderAttemptTimeout bounds one attempt with a leader that may have failed without notice.
	leaderAttemptTimeout = 2500 * time.Millisecond
	// forwardedCommandTimeout bounds a command that another instance has forwarded.
	forwardedCommandTimeout = 20 * time.Second
	// identifyTimeout bounds the question which instance is at an address.
	identifyTimeout = 2 * time.Second
)

// Execute has the leader, which may be any instance, execute a command and returns the outcome. It repeats the command
// until the timeout: all commands are idempotent. After an Unknown outcome the command may have been executed, and may be
// repeated.
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
		// Busy: another change ends soon.
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

// executeAtLeader makes one attempt to have a command executed. ok is false if no leader is known.
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

// forward has another instance execute a command.
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

// executeLocally executes a command if this instance leads.
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
	return refusedOutcome("an empty order")
}

// addMember adds the instance at an address if it has the expected name.
func (n *Node) addMember(member sharedconfig.Member, timeout time.Duration) sharedconfig.Outcome {
	hello, err := n.endpoint.Identify(member.Addr, identifyTimeout)
	if err != nil {
		return refusedOutcome(fmt.Sprintf("no instance answers at %s: %v", member.Addr, err))
	}
	name, directoryID, err := parseServerID(hello.From)
	if err != nil {
		return refusedOutcome(err.Error())
	}
	if name != member.Name {
		return refusedOutcome(fmt.Sprintf("%s answers at %s, and not %s", name, member.Addr, member.Name))
	}
	added := sharedconfig.Member{Name: name, DirectoryID: directoryID, Addr: member.Addr}
	return n.callCore(timeout, func(callID uint64) sharedconfig.Event {
		return sharedconfig.AddMemberRequested{CallID: callID, Member: added}
	})
}

// callCore passes a call to the decisions and waits for the outcome.
func (n *Node) callCore(timeout time.Duration, newEvent func(callID uint64) sharedconfig.Event) sharedconfig.Outcome {
	outcome, ok := callEventLoop(n, n.commands, timeout, newEvent)
	if !ok {
		return sharedconfig.Outcome{Reason: "not decided in time"}
	}
	return outcome
}

func refusedOutcome(reason string) sharedconfig.Outcome {
	return sharedconfig.Outcome{Status: sharedconfig.StatusRejected, Reason: reason}
}
