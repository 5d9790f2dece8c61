package raftnode

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"alderproxy/internal/clock"
	"alderproxy/peer"
	"alderproxy/sharedconfig"
)

// Command is what an operator asks of the group. Exactly one field is set.
type Command struct {
	Change   *sharedconfig.Change `json:"change,omitempty"`
	Add      *sharedconfig.Member `json:"add,omitempty"` // its name and address; the folder is asked for there
	Remove   string               `json:"remove,omitempty"`
	HandOver *string              `json:"hand_over,omitempty"` // to whom; empty: to any
}

// forwardPause lies between two tries to find the leader.
const forwardPause = 50 * time.Millisecond

// changeTry is how long one try to have a change made may take: who leads may be gone without a word.
const changeTry = 2500 * time.Millisecond

// Execute has an order carried out by the leader, wherever that is, and tells what became of it. It tries again for as
// long as there is time: every order may be repeated without being carried out twice. An Unknown outcome says that
// nobody could tell; then the same order may be given again.
func (n *Node) Execute(o Command, within time.Duration) sharedconfig.Outcome {
	until := time.Now().Add(within)
	out := sharedconfig.Outcome{Why: "nobody leads"}
	if o.Change != nil {
		out.Request = o.Change.Request
	}
	for time.Now().Before(until) {
		try := time.Until(until)
		if o.Change != nil {
			try = min(try, changeTry)
		}
		addr, id := n.raft.LeaderWithID()
		switch id {
		case "":
		case n.id:
			out = n.order(o, try)
		default:
			body, err := json.Marshal(o)
			if err == nil {
				body, err = n.endpoint.Call(peer.Target{ID: string(id), Addr: string(addr)}, callForward, body, nil, try)
			}
			answer := sharedconfig.Outcome{}
			if err == nil {
				err = json.Unmarshal(body, &answer)
			}
			if out = answer; err != nil {
				out = sharedconfig.Outcome{Request: out.Request, Why: err.Error()}
			}
		}
		if out.Status != sharedconfig.Unknown && out.Status != sharedconfig.Busy { // what is under way ends soon
			return out
		}
		select {
		case <-time.After(forwardPause):
		case <-n.stop:
			return out
		}
	}
	return out
}

func (n *Node) forwarded(_ string, body []byte, _ io.Reader) ([]byte, error) {
	var o Command
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	return json.Marshal(n.order(o, 20*time.Second))
}

// order carries an order out here, if this instance leads.
func (n *Node) order(o Command, within time.Duration) sharedconfig.Outcome {
	switch {
	case o.Change != nil:
		return n.wait(within, func(call uint64) sharedconfig.Event {
			return sharedconfig.ChangeRequested{Call: call, Change: *o.Change}
		})
	case o.Add != nil:
		h, err := n.endpoint.Identify(o.Add.Addr, 2*time.Second)
		if err != nil {
			return sharedconfig.Outcome{Status: sharedconfig.Refused, Why: fmt.Sprintf("no instance answers at %s: %v", o.Add.Addr, err)}
		}
		name, folder, err := parseServerID(h.From)
		switch {
		case err != nil:
			return sharedconfig.Outcome{Status: sharedconfig.Refused, Why: err.Error()}
		case name != o.Add.Name:
			return sharedconfig.Outcome{Status: sharedconfig.Refused, Why: fmt.Sprintf("%s answers at %s, and not %s", name, o.Add.Addr, o.Add.Name)}
		}
		m := sharedconfig.Member{Name: name, Folder: folder, Addr: o.Add.Addr}
		return n.wait(within, func(call uint64) sharedconfig.Event { return sharedconfig.AddRequested{Call: call, Member: m} })
	case o.Remove != "":
		return n.wait(within, func(call uint64) sharedconfig.Event { return sharedconfig.RemoveRequested{Call: call, Name: o.Remove} })
	case o.HandOver != nil:
		return n.handOver(*o.HandOver)
	}
	return sharedconfig.Outcome{Status: sharedconfig.Refused, Why: "an empty order"}
}

func (n *Node) wait(within time.Duration, event func(call uint64) sharedconfig.Event) sharedconfig.Outcome {
	if o, ok := answered(n, n.calls, within, event); ok {
		return o
	}
	return sharedconfig.Outcome{Why: "not decided in time"}
}

// answered hands the loop an event that is a call, and waits for its answer.
func answered[T any](n *Node, open map[uint64]chan T, within time.Duration, event func(call uint64) sharedconfig.Event) (answer T, ok bool) {
	to := make(chan T, 1)
	n.mu.Lock()
	n.lastNo++
	call := n.lastNo
	open[call] = to
	n.mu.Unlock()
	n.tell(event(call))
	select {
	case answer = <-to:
		return answer, true
	case <-time.After(within):
	case <-n.stop:
	}
	n.mu.Lock()
	delete(open, call)
	n.mu.Unlock()
	return answer, false
}

func (n *Node) reply(r sharedconfig.Reply) {
	n.mu.Lock()
	to := n.calls[r.Call]
	delete(n.calls, r.Call)
	n.mu.Unlock()
	if to != nil {
		to <- r.Outcome
	}
}

// handOver gives the lead to another instance.
func (n *Node) handOver(to string) sharedconfig.Outcome {
	f := n.raft.LeadershipTransfer
	if to != "" {
		f = nil
		for _, m := range n.Members() {
			if m.Name == to && m.Voter {
				f = func() raft.Future {
					return n.raft.LeadershipTransferToServer(serverID(m.Name, m.Folder), raft.ServerAddress(m.Addr))
				}
			}
		}
		if to == n.Name {
			return sharedconfig.Outcome{Status: sharedconfig.Done, Why: to + " leads"}
		}
		if f == nil {
			return sharedconfig.Outcome{Status: sharedconfig.Refused, Why: "there is no instance " + to + " with a vote"}
		}
	}
	err := f().Error()
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return sharedconfig.Outcome{Why: "this instance does not lead"}
	case err != nil:
		return sharedconfig.Outcome{Status: sharedconfig.Refused, Why: err.Error()}
	}
	return sharedconfig.Outcome{Status: sharedconfig.Done}
}

// Status is how an instance sees its group.
type Status struct {
	Name     string                `json:"name"`
	Group    string                `json:"group"`
	Leader   string                `json:"leader"` // empty: none is known
	Term     uint64                `json:"term"`
	Version  uint64                `json:"version"` // the active one, by this instance's log
	Serving  uint64                `json:"serving"` // the one that it serves by
	Digest   string                `json:"digest"`
	Pending  string                `json:"pending,omitempty"` // request of the change under way
	Lease    int64                 `json:"lease_ms"`          // how much longer it may serve by it; 0: it may not
	Why      string                `json:"why,omitempty"`     // it does not serve as agreed
	Members  []sharedconfig.Member `json:"members"`
	Follows  []string              `json:"follows,omitempty"` // voters that it asks, in turn: it has no vote itself
	LogFirst uint64                `json:"log_first"`
	LogLast  uint64                `json:"log_last"`
}

// Status tells it.
func (n *Node) Status() Status {
	s, at := n.state.Load(), clock.Now()
	_, leader := n.raft.LeaderWithID()
	name, _, _ := parseServerID(string(leader))
	lease, used := n.lease.Load(), n.used.Load()
	first, _ := n.store.FirstIndex()
	st := Status{
		Name: n.Name, Group: s.Group, Leader: name, Term: n.raft.CurrentTerm(), Version: s.Active().Number, Serving: used,
		Digest: s.Active().Digest, Why: lease.Reason(at, used), Members: n.Members(), LogFirst: first, LogLast: n.raft.LastIndex(),
	}
	if s.Pending != nil {
		st.Pending = s.Pending.Request
	}
	st.Lease = n.leaseLeft()
	return st
}

// State is what the log has made here so far.
func (n *Node) State() sharedconfig.State { return *n.state.Load() }

// Read is the state as a majority confirms it: everything that was agreed on before the call is in it.
func (n *Node) Read(within time.Duration) (sharedconfig.State, error) {
	until := time.Now().Add(within)
	err := errors.New("nobody leads, or no majority is reachable")
	for time.Now().Before(until) {
		changed := n.changed()
		g, failed := n.askOnce(min(time.Until(until), changeTry))
		if failed == nil && g.Removed {
			return sharedconfig.State{}, errors.New("this instance was removed from its group")
		}
		for failed == nil && g.OK { // the verified version may be on its way here
			if s := n.State(); s.Active().Number >= g.Version {
				return s, nil
			}
			select {
			case <-changed:
				changed = n.changed()
			case <-time.After(time.Until(until)):
				return sharedconfig.State{}, errors.New("this instance lags behind")
			}
		}
		select {
		case <-time.After(forwardPause / 2):
		case <-n.stop:
			return sharedconfig.State{}, errClosed
		}
	}
	return sharedconfig.State{}, err
}

// changed closes when the state is another one than now.
func (n *Node) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.moved
}

// TransferLeadership gives the lead away before a planned stop, so that nobody waits for an election.
func (n *Node) TransferLeadership(within time.Duration) {
	if n.raft.State() != raft.Leader || len(n.Members()) < 2 {
		return
	}
	done := make(chan struct{})
	go func() { n.handOver(""); close(done) }()
	select {
	case <-done:
	case <-time.After(within):
	}
}
