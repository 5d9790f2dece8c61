// Package raftnode is an instance's part in a group that holds one configuration: it runs the log (Raft), the calls
// between instances and the clock for the decisions in agreed, and carries out what these return.
package raftnode

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"alderproxy/internal/clock"
	"alderproxy/peer"
	"alderproxy/raftstore"
	"alderproxy/sharedconfig"
)

// Config is what an instance is told of its group.
type Config struct {
	Name           string
	DataDirectory  string       // keeps the log; an instance that lost it is another one
	Listener       net.Listener // where the other instances reach it
	Address        string       // and by which address they know it
	Key            []byte       // shared by the group; empty: none
	StalenessBound time.Duration
	Voters         []string // where voters are, for an instance that follows; such a one has no listener
	ServeWhenStale bool     // serve without a lease rather than refuse
	Speed          int      // divides Raft's usual times; 0: 1
	// SnapshotAfter is how many entries the log may have until it is compacted; 0: Raft's own.
	SnapshotAfter int
	Log           *logrus.Entry
	// Check says whether this instance could serve by a document, Use has it serve by one. Use is called for one
	// version after another, from one goroutine.
	Check    func(text string) error
	Activate func(sharedconfig.Version) error
	// OnStep is called before each step that a leader takes with a change ("propose", "check", "decide") and when what was
	// appended is agreed on ("proposed", "decided"); nil: not. Tests let an instance die there.
	OnStep func(step string)
}

// Node is an instance's part in its group.
type Node struct {
	serving
	id      raft.ServerID
	endpoint     *peer.Endpoint
	raft    *raft.Raft
	machine *machine
	core    *sharedconfig.Core // the loop's
	state   atomic.Pointer[sharedconfig.State]
	group   atomic.Pointer[string]

	mu     sync.Mutex
	events []sharedconfig.Event
	calls  map[uint64]chan sharedconfig.Outcome
	grants map[uint64]chan sharedconfig.AnswerLeaseRequest
	lastNo uint64
	moved  chan struct{} // closed when the state moves on
}

const (
	fileName = "agreed.db"
	retainedSnapshots = 2
)

// selves are the names of what an instance keeps of itself.
const (
	selfName, selfFolder, selfGroup, selfRemoved = "name", "folder", "group", "removed"
	selfActive                                   = "active" // the version served last
)

func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b) // never fails, as its documentation says
	return hex.EncodeToString(b)
}

// ErrAlreadyBootstrapped refuses to begin a group in a folder that has one.
var ErrAlreadyBootstrapped = errors.New("the folder belongs to a group already")

// Bootstrap makes a folder the first of a new group, with a first version of the document. The instance that starts in
// it is the group's only member until others are added.
func Bootstrap(folder, name, address, text, digest, author string, keep int, at time.Time) error {
	s, id, err := openDataDirectory(folder, name)
	if err != nil {
		return err
	}
	defer s.Close()
	if group, err := s.Metadata(selfGroup); err != nil || group != "" {
		return errors.Join(err, fmt.Errorf("%s: %w", folder, ErrAlreadyBootstrapped))
	}
	group := randomHex(8)
	first := sharedconfig.Change{Request: "first-" + group, Text: text, Digest: digest, Author: author, Reason: "the group begins", At: at.UnixMilli()}
	entry, err := sharedconfig.Entry{Found: &sharedconfig.Bootstrap{Group: group, Keep: keep, First: first}}.Encode()
	if err != nil {
		return err
	}
	members := raft.Configuration{Servers: []raft.Server{{ID: id, Address: raft.ServerAddress(address)}}}
	// The log as a leader of the first term would have begun it.
	if err := s.StoreLogs([]*raft.Log{
		{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(members)},
		{Index: 2, Term: 1, Type: raft.LogCommand, Data: entry},
	}); err != nil {
		return err
	}
	if err := s.SetUint64([]byte("CurrentTerm"), 1); err != nil {
		return err
	}
	return s.SetMetadata(selfGroup, group)
}

// openDataDirectory opens what an instance keeps, and begins it in an empty folder: with a name for the folder itself that
// no other folder has, since an instance that lost its votes must not vote as the one that it was.
func openDataDirectory(folder, name string) (s *raftstore.Store, id raft.ServerID, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, "", fmt.Errorf("folder: %w", err)
	}
	if s, err = raftstore.Open(filepath.Join(folder, fileName)); err != nil {
		return nil, "", fmt.Errorf("folder: %w", err)
	}
	known, err := s.Metadata(selfName)
	own, err2 := s.Metadata(selfFolder)
	if err = errors.Join(err, err2); err == nil && own == "" {
		known, own = name, randomHex(4)
		err = errors.Join(s.SetMetadata(selfName, name), s.SetMetadata(selfFolder, own))
	}
	if err == nil && known != name {
		err = fmt.Errorf("it is %s's and not %s's", known, name)
	}
	if err != nil {
		s.Close()
		return nil, "", fmt.Errorf("folder %s: %w", folder, err)
	}
	return s, serverID(name, own), nil
}

// Open starts an instance. With an empty folder it waits to be added to a group.
func Open(c Config) (*Node, error) {
	n := &Node{serving: newServing(c), calls: map[uint64]chan sharedconfig.Outcome{}, grants: map[uint64]chan sharedconfig.AnswerLeaseRequest{}, moved: make(chan struct{})}
	n.fields = n.Fields
	var err error
	if n.store, n.id, err = openDataDirectory(c.DataDirectory, c.Name); err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		n.store.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) start() error {
	group, err := n.store.Metadata(selfGroup)
	if err != nil {
		return err
	}
	removed, err := n.store.Metadata(selfRemoved)
	if err != nil {
		return err
	}
	n.group.Store(&group)
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(n.DataDirectory, retainedSnapshots, n.hclog())
	if err != nil {
		return fmt.Errorf("folder %s: %w", n.DataDirectory, err)
	}
	if err := n.inspect(snapshots); err != nil {
		return fmt.Errorf("folder %s: %w", n.DataDirectory, err)
	}
	n.machine = &machine{tell: n.tell}
	_, folder, _ := parseServerID(string(n.id))
	set := sharedconfig.Defaults(folder, n.StalenessBound.Microseconds(), n.ServeWhenStale)
	set.Removed = removed != ""
	n.core = sharedconfig.New(set, sharedconfig.State{})
	lease := n.core.Lease()
	n.lease.Store(&lease)
	n.state.Store(&sharedconfig.State{})
	// What was served last is at hand before the log is: it is served only under a lease, or where the settings prefer
	// service to agreement.
	if v, err := n.last(); err != nil {
		return err
	} else if v.Number > 0 {
		n.serve(v)
	}
	t := &transport{addr: raft.ServerAddress(n.Address), calls: make(chan raft.RPC)}
	handlers := t.handlers(n.stop)
	handlers[callLease], handlers[callCheck], handlers[callForward], handlers[callApplied] = n.leaseCalled, n.checkCalled, n.forwarded, n.appliedCalled
	handlers[callFollow] = n.followCalled
	ready := make(chan struct{})
	for kind, h := range handlers { // nothing is answered before all is there
		handlers[kind] = func(from string, body []byte, stream io.Reader) ([]byte, error) {
			select {
			case <-ready:
				return h(from, body, stream)
			case <-n.stop:
				return nil, errClosed
			}
		}
	}
	t.net = peer.Listen(peer.Config{ID: string(n.id), Group: func() string { return *n.group.Load() }, Key: n.Key, Log: n.Log, IsMember: func(id string) bool {
		select {
		case <-ready:
			return n.isMember(id)
		default:
			return false // the members are not known yet
		}
	}}, n.Listener, handlers)
	n.endpoint = t.net
	conf := raft.DefaultConfig()
	conf.LocalID, conf.Logger, conf.MaxAppendEntries = n.id, n.hclog(), 16
	leads := make(chan bool, 8)
	conf.NotifyCh = leads
	if speed := time.Duration(n.Speed); speed > 1 {
		conf.HeartbeatTimeout /= speed
		conf.ElectionTimeout /= speed
		conf.LeaderLeaseTimeout /= speed
		conf.CommitTimeout /= speed
	}
	if n.SnapshotAfter > 0 {
		conf.SnapshotThreshold, conf.TrailingLogs = uint64(n.SnapshotAfter), uint64(n.SnapshotAfter)/4
		conf.SnapshotInterval = 2 * time.Second
	}
	if n.raft, err = raft.NewRaft(conf, n.machine, n.store, n.store, snapshots, t); err != nil {
		close(n.stop)
		n.endpoint.Close()
		return fmt.Errorf("folder %s: %w", n.DataDirectory, err)
	}
	close(ready)
	n.run(n.loop, n.follow, func() { n.watch(leads) })
	return nil
}

// Close stops the instance. It hands nothing over: see HandOver.
func (n *Node) Close() error {
	close(n.stop)
	err := n.raft.Shutdown().Error()
	n.endpoint.Close()
	n.tick()
	n.stopped.Wait()
	return errors.Join(err, n.store.Close())
}

// tell hands an event to the loop. It never waits.
func (n *Node) tell(e sharedconfig.Event) {
	n.mu.Lock()
	n.events = append(n.events, e)
	n.mu.Unlock()
	n.tick()
}

// loop owns the core.
func (n *Node) loop() {
	every := time.Duration(sharedconfig.Defaults("", n.StalenessBound.Microseconds(), false).LeaseInterval) * time.Microsecond / 8
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-n.wake:
		case <-ticker.C:
		case <-n.stop:
			return
		}
		n.mu.Lock()
		events := n.events
		n.events = nil
		n.mu.Unlock()
		events = append([]sharedconfig.Event{sharedconfig.MemberList{Members: n.Members()}}, events...)
		for _, a := range n.core.Step(clock.Now(), events) {
			n.carryOut(a)
		}
		state := n.core.State()
		before := n.state.Swap(&state)
		if before.Active().Number != state.Active().Number {
			n.mu.Lock()
			close(n.moved)
			n.moved = make(chan struct{})
			n.mu.Unlock()
		}
		if group := state.Group; group != "" && group != *n.group.Load() {
			n.group.Store(&group)
			if err := n.store.SetMetadata(selfGroup, group); err != nil {
				n.Log.WithError(err).Error("the group's name could not be kept")
			}
		}
		n.report()
	}
}

// Fields is the log with what every line about the agreement tells.
func (n *Node) Fields() *logrus.Entry {
	f := logrus.Fields{"instance": n.Name, "version": n.state.Load().Active().Number, "term": uint64(0), "leader": ""}
	if n.raft != nil { // not before it has started
		_, leader := n.raft.LeaderWithID()
		f["leader"], _, _ = strings.Cut(string(leader), ".")
		f["term"] = n.raft.CurrentTerm()
	}
	return n.Log.WithFields(f)
}

// watch tells the core when this instance begins or ends to lead.
func (n *Node) watch(leads <-chan bool) {
	for {
		select {
		case leading := <-leads:
			term := n.raft.CurrentTerm()
			n.tell(sharedconfig.Role{Leading: leading, Term: term})
			n.Fields().WithField("leading", leading).Info("role")
			if leading {
				go func() {
					if n.raft.Barrier(0).Error() == nil {
						n.tell(sharedconfig.Ready{Term: term})
					}
				}()
			}
		case <-n.stop:
			return
		}
	}
}

// Members is who is a member, by this instance's newest word of the log.
func (n *Node) Members() []sharedconfig.Member {
	f := n.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	var all []sharedconfig.Member
	for _, s := range f.Configuration().Servers {
		name, folder, err := parseServerID(string(s.ID))
		if err == nil {
			all = append(all, sharedconfig.Member{Name: name, Folder: folder, Addr: string(s.Address), Voter: s.Suffrage == raft.Voter})
		}
	}
	return all
}

func target(m sharedconfig.Member) peer.Target {
	return peer.Target{ID: string(serverID(m.Name, m.Folder)), Addr: m.Addr}
}

func microseconds(m sharedconfig.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// carryOut does what the core decided. What may wait is done on a goroutine of its own.
func (n *Node) carryOut(a sharedconfig.Action) {
	set := sharedconfig.Defaults("", n.StalenessBound.Microseconds(), false)
	switch a := a.(type) {
	case sharedconfig.Append:
		go n.append(a)
	case sharedconfig.Check:
		n.at("check")
		go n.check(a, microseconds(set.CheckTimeout))
	case sharedconfig.Reply:
		n.reply(a)
	case sharedconfig.RequestLease:
		go n.askLease(a.Seq, microseconds(set.LeaseInterval*4))
	case sharedconfig.Verify:
		go func() {
			term := n.raft.CurrentTerm()
			err := n.raft.VerifyLeader().Error()
			if n.raft.CurrentTerm() != term {
				term = 0
			}
			n.tell(sharedconfig.Verified{Seq: a.Seq, OK: err == nil, Term: term})
		}()
	case sharedconfig.AnswerLeaseRequest:
		n.mu.Lock()
		to := n.grants[a.Call]
		delete(n.grants, a.Call)
		n.mu.Unlock()
		if to != nil {
			to <- a
		}
	case sharedconfig.ChangeMembership:
		go n.setRoster(a)
	case sharedconfig.WaitForCatchUp:
		go n.await(a.Member, microseconds(set.CheckTimeout))
	case sharedconfig.Activate:
		if a.Version.Number > n.used.Load() { // the log is read again from the start
			n.activate(a.Version)
		}
	case sharedconfig.NewLease:
		n.lease.Store(&a.Lease)
		if a.Lease.Removed {
			if err := n.store.SetMetadata(selfRemoved, "yes"); err != nil {
				n.Log.WithError(err).Error("the removal could not be kept")
			}
		}
	case sharedconfig.Log:
		n.Fields().Info(a.Text)
	}
}

func (n *Node) at(step string) {
	if n.OnStep != nil {
		n.OnStep(step)
	}
}

func (n *Node) append(a sharedconfig.Append) {
	before, after := "propose", "proposed"
	if a.Entry.Decide != nil {
		before, after = "decide", "decided"
	}
	text, err := a.Entry.Encode()
	if err == nil {
		n.at(before)
		err = n.raft.Apply(text, 2*time.Second).Error()
	}
	if err == nil && a.Request != "" {
		n.at(after)
	}
	if err != nil && a.Request != "" {
		n.tell(sharedconfig.AppendFailed{Request: a.Request})
	}
}

func (n *Node) setRoster(a sharedconfig.ChangeMembership) {
	id, addr := serverID(a.Member.Name, a.Member.Folder), raft.ServerAddress(a.Member.Addr)
	var f raft.IndexFuture
	switch {
	case a.Remove:
		f = n.raft.RemoveServer(id, 0, 5*time.Second)
	case a.Member.Voter:
		f = n.raft.AddVoter(id, addr, 0, 5*time.Second)
	default:
		f = n.raft.AddNonvoter(id, addr, 0, 5*time.Second)
	}
	set := sharedconfig.MembershipChanged{Seq: a.Seq, OK: true}
	if err := f.Error(); err != nil {
		set.OK, set.Reason = false, err.Error()
	}
	n.tell(sharedconfig.MemberList{Members: n.Members()})
	n.tell(set)
}

// await tells once a member has applied all that was agreed on when it was asked for.
func (n *Node) await(m sharedconfig.Member, within time.Duration) {
	want, until := n.raft.CommitIndex(), time.Now().Add(within)
	for time.Now().Before(until) {
		body, err := n.endpoint.Call(target(m), callApplied, nil, nil, within)
		var at uint64
		if err == nil && json.Unmarshal(body, &at) == nil && at >= want {
			n.tell(sharedconfig.CaughtUp{Folder: m.Folder})
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-n.stop:
			return
		}
	}
}

func (n *Node) appliedCalled(string, []byte, io.Reader) ([]byte, error) {
	return json.Marshal(n.raft.AppliedIndex())
}

// check asks a member, or this instance itself, what it says of a change.
func (n *Node) check(a sharedconfig.Check, within time.Duration) {
	v := sharedconfig.CheckResult{Request: a.Change.Request, Folder: a.Member.Folder}
	body, err := json.Marshal(a.Change)
	if err == nil && target(a.Member).ID == string(n.id) {
		body, err = n.checkCalled("", body, nil)
	} else if err == nil {
		body, err = n.endpoint.Call(target(a.Member), callCheck, body, nil, within)
	}
	if err != nil {
		v.TimedOut, v.Reason = true, err.Error()
	} else {
		v.Reason = string(body)
		v.Accepted = v.Reason == ""
	}
	n.tell(v)
}

// checkCalled says why this instance could not serve by a document; nothing: it could.
func (n *Node) checkCalled(_ string, body []byte, _ io.Reader) ([]byte, error) {
	var c sharedconfig.Change
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if err := n.Check(c.Text); err != nil {
		return []byte(err.Error()), nil
	}
	return nil, nil
}

// askLease asks the leader, which may be this instance. Without an answer it asks again with the next one.
func (n *Node) askLease(seq uint64, within time.Duration) {
	g, err := n.askOnce(within)
	if err != nil || !g.OK {
		n.Log.WithError(err).WithField("ask", seq).Debug("no lease granted")
		return
	}
	n.tell(sharedconfig.LeaseGranted{Seq: seq, OK: g.OK, Version: g.Version, Removed: g.Removed})
}

func (n *Node) askOnce(within time.Duration) (g sharedconfig.AnswerLeaseRequest, err error) {
	addr, id := n.raft.LeaderWithID()
	var body []byte
	switch id {
	case "":
		body, err = n.askAround(within)
	case n.id:
		body, err = n.leaseCalled(string(n.id), nil, nil)
	default:
		body, err = n.endpoint.Call(peer.Target{ID: string(id), Addr: string(addr)}, callLease, nil, nil, within)
	}
	if err == nil {
		err = json.Unmarshal(body, &g)
	}
	return g, err
}

// askAround asks all whom this instance knows: one that was removed hears of no leader any more.
func (n *Node) askAround(within time.Duration) ([]byte, error) {
	for _, m := range n.Members() {
		if to := target(m); to.ID != string(n.id) {
			body, err := n.endpoint.Call(to, callLease, nil, nil, within/2)
			var g sharedconfig.AnswerLeaseRequest
			if err == nil && json.Unmarshal(body, &g) == nil && g.OK {
				return body, nil
			}
		}
	}
	return nil, errors.New("nobody leads")
}

// leaseCalled answers who asks for a lease.
func (n *Node) leaseCalled(from string, _ []byte, _ io.Reader) ([]byte, error) {
	_, folder, err := parseServerID(from)
	if err != nil {
		return nil, err
	}
	g, ok := answered(n, n.grants, 2*time.Second, func(call uint64) sharedconfig.Event { return sharedconfig.LeaseRequested{Call: call, Folder: folder} })
	if !ok {
		return nil, errors.New("not verified in time")
	}
	return json.Marshal(g)
}
