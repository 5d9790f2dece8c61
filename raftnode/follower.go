package raftnode

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"alderproxy/internal/clock"
	"alderproxy/peer"
	"alderproxy/sharedconfig"
)

// followCalled answers an instance without a vote.
func (n *Node) followCalled(_ string, body []byte, _ io.Reader) ([]byte, error) {
	var a sharedconfig.PollRequest
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, err
	}
	// The state is read before the lease: what is granted for a later version covers no earlier one.
	s := n.state.Load()
	return json.Marshal(sharedconfig.Answer(*s, *n.lease.Load(), clock.Now(), n.Members(), a))
}

// isMember reports whether an id is a member's.
func (n *Node) isMember(id string) bool {
	for _, m := range n.Members() {
		if target(m).ID == id {
			return true
		}
	}
	return false
}

// Follower is the part of an instance without a vote.
type Follower struct {
	serving
	id     raft.ServerID
	endpoint    *peer.Endpoint
	core   *sharedconfig.Follower // the loop's
	group  atomic.Pointer[string]
	active atomic.Pointer[sharedconfig.Version]
	voters atomic.Pointer[[]sharedconfig.Member]

	mu     sync.Mutex
	events []sharedconfig.Event
}

// Follow starts an instance without a vote. With an empty folder it serves once a voter has told it by what.
func Follow(c Config) (*Follower, error) {
	f := &Follower{serving: newServing(c)}
	f.fields = f.log
	var err error
	if f.store, f.id, err = openDataDirectory(c.DataDirectory, c.Name); err != nil {
		return nil, err
	}
	last, err := f.last()
	if err != nil {
		f.store.Close()
		return nil, err
	}
	set := sharedconfig.Defaults(string(f.id), f.StalenessBound.Microseconds(), f.ServeWhenStale)
	f.core = sharedconfig.NewFollower(set, c.Voters, last)
	lease, group, none := sharedconfig.Lease{Serve: set.ServeWhenStale}, "", []sharedconfig.Member{}
	f.lease.Store(&lease)
	f.group.Store(&group)
	f.active.Store(&last)
	f.voters.Store(&none)
	f.endpoint = peer.New(peer.Config{ID: string(f.id), Group: func() string { return *f.group.Load() }, Key: f.Key, Log: f.Log})
	if last.Number > 0 {
		f.serve(last)
	}
	f.run(f.loop, f.follow)
	return f, nil
}

// Close stops the instance.
func (f *Follower) Close() error {
	close(f.stop)
	f.endpoint.Close()
	f.stopped.Wait()
	return f.store.Close()
}

func (f *Follower) log() *logrus.Entry {
	return f.Log.WithFields(logrus.Fields{"instance": f.Name, "version": f.active.Load().Number, "follows": len(*f.voters.Load())})
}

func (f *Follower) tell(e sharedconfig.Event) {
	f.mu.Lock()
	f.events = append(f.events, e)
	f.mu.Unlock()
	f.tick()
}

// loop owns the core.
func (f *Follower) loop() {
	ticker := time.NewTicker(f.askEvery() / 8)
	defer ticker.Stop()
	for {
		select {
		case <-f.wake:
		case <-ticker.C:
		case <-f.stop:
			return
		}
		f.mu.Lock()
		events := f.events
		f.events = nil
		f.mu.Unlock()
		for _, a := range f.core.Step(clock.Now(), events) {
			switch a := a.(type) {
			case sharedconfig.PollVoter:
				go f.ask(a)
			case sharedconfig.Activate:
				f.active.Store(&a.Version)
				f.activate(a.Version)
			case sharedconfig.NewLease:
				f.lease.Store(&a.Lease)
			case sharedconfig.Log:
				f.log().Warn(a.Text)
			}
		}
		group, voters := f.core.Group(), f.core.Voters()
		f.group.Store(&group)
		f.voters.Store(&voters)
		f.report()
	}
}

func (f *Follower) askEvery() time.Duration {
	return microseconds(sharedconfig.Defaults("", f.StalenessBound.Microseconds(), false).LeaseInterval)
}

// ask puts one ask to a voter. An answer that comes after the bound would be worth nothing.
func (f *Follower) ask(a sharedconfig.PollVoter) {
	t, err := f.askOnce(a)
	if err != nil {
		f.Log.WithError(err).WithField("voter", a.Voter.Addr).Debug("no answer from a voter")
		f.tell(sharedconfig.CallTimedOut{Seq: a.Seq})
		return
	}
	t.Seq = a.Seq
	f.tell(t)
}

func (f *Follower) askOnce(a sharedconfig.PollVoter) (t sharedconfig.ReplyReceived, err error) {
	body, err := json.Marshal(a.Request)
	if err != nil {
		return t, err
	}
	to := peer.Target{Addr: a.Voter.Addr} // whoever answers there, where the file alone names it
	if a.Voter.Name != "" {
		to = target(a.Voter)
	}
	body, err = f.endpoint.Call(to, callFollow, body, nil, f.StalenessBound)
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	return t, err
}

// Status tells how this instance sees its group.
func (f *Follower) Status() Status {
	v, used := f.active.Load(), f.used.Load()
	st := Status{
		Name: f.Name, Group: *f.group.Load(), Version: v.Number, Serving: used, Digest: v.Digest,
		Why: f.lease.Load().Reason(clock.Now(), used), Lease: f.leaseLeft(),
	}
	for _, m := range *f.voters.Load() {
		if m.Name != "" {
			st.Members = append(st.Members, m)
		}
		st.Follows = append(st.Follows, m.Addr)
	}
	return st
}

// State is what this instance has of the group's state: the one version that it serves by.
func (f *Follower) State() (s sharedconfig.State) {
	if v := f.active.Load(); v.Number > 0 {
		s.Group, s.Versions = *f.group.Load(), []sharedconfig.Version{*v}
	}
	return s
}

var errNoVote = errors.New("this instance has no vote")

// Read fails: nobody confirms anything to an instance without a vote beyond its lease. The error names the voters.
func (f *Follower) Read(time.Duration) (sharedconfig.State, error) {
	return sharedconfig.State{}, fmt.Errorf("%w: ask one of %s, or for what it has itself (--local)", errNoVote, strings.Join(f.Status().Follows, ", "))
}

// Execute refuses: orders go to instances with a vote.
func (f *Follower) Execute(o Command, _ time.Duration) sharedconfig.Outcome {
	out := sharedconfig.Outcome{Status: sharedconfig.Refused, Why: fmt.Sprintf("%v: give the order to one of %s", errNoVote, strings.Join(f.Status().Follows, ", "))}
	if o.Change != nil {
		out.Request = o.Change.Request
	}
	return out
}
