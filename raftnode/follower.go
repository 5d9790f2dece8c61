package raftnode

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/clock"
	"alderproxy/peer"
	"alderproxy/sharedconfig"
)

// Follower is an instance that takes no part in Raft and polls the voters.
type Follower struct {
	*instance
	endpoint      *peer.Endpoint
	core          *sharedconfig.Follower // used by the event loop only
	groupID       atomic.Pointer[string] // empty: not known yet
	activeVersion atomic.Pointer[sharedconfig.Version]
	voters        atomic.Pointer[[]sharedconfig.Member]
}

// StartFollower starts a follower. With a new data directory it serves nothing until a voter has replied.
func StartFollower(config Config) (*Follower, error) {
	directory, err := openDataDirectory(config.DataDirectory, config.Name)
	if err != nil {
		return nil, err
	}
	version, err := directory.activeVersion()
	if err != nil {
		directory.closeAfterError()
		return nil, err
	}
	f := newFollower(config, directory, version)
	if version.Number > 0 {
		f.activate(version)
	}
	f.start(
		func() { f.runEventLoop(f.step) },
		f.activateVersions,
	)
	return f, nil
}

func newFollower(config Config, directory *dataDirectory, version sharedconfig.Version) *Follower {
	id := string(directory.serverID)
	f := &Follower{instance: newInstance(config, directory, id)}
	f.logWithState = f.withFollowerFields
	f.core = sharedconfig.NewFollower(f.settings, config.SeedVoters, version)
	f.lease.Store(&sharedconfig.Lease{ServeWhenStale: f.settings.ServeWhenStale})
	f.groupID.Store(new(string))
	f.activeVersion.Store(&version)
	f.voters.Store(&[]sharedconfig.Member{})
	f.endpoint = peer.New(peer.Config{
		ID:    id,
		Group: func() string { return *f.groupID.Load() },
		Key:   config.Key,
		Log:   config.Log,
	})
	return f
}

// Close stops the instance.
func (f *Follower) Close() error {
	close(f.stop)
	f.endpoint.Close()
	f.goroutines.Wait()
	return f.directory.close()
}

// withFollowerFields returns the log with the fields that describe the follower's state.
func (f *Follower) withFollowerFields() *logrus.Entry {
	return f.config.Log.WithFields(logrus.Fields{
		"instance": f.config.Name,
		"version":  f.activeVersion.Load().Number,
		"follows":  len(*f.voters.Load()),
	})
}

// step passes the queued events to the core and starts the actions that it returns.
func (f *Follower) step(events []sharedconfig.Event) {
	for _, action := range f.core.Step(clock.Now(), events) {
		f.perform(action)
	}
	groupID := f.core.GroupID()
	voters := f.core.Voters()
	f.groupID.Store(&groupID)
	f.voters.Store(&voters)
}

// perform carries out an action. Polls run in goroutines of their own, since they wait for a voter.
func (f *Follower) perform(action sharedconfig.Action) {
	switch action := action.(type) {
	case sharedconfig.PollVoter:
		go f.poll(action)
	case sharedconfig.Activate:
		f.activeVersion.Store(&action.Version)
		f.scheduleActivation(action.Version)
	case sharedconfig.SetLease:
		f.lease.Store(&action.Lease)
	case sharedconfig.LogMessage:
		f.logWithState().Warn(action.Text)
	}
}

// poll polls a voter and passes the result to the event loop.
func (f *Follower) poll(action sharedconfig.PollVoter) {
	reply, err := f.requestPoll(action)
	if err != nil {
		f.config.Log.WithError(err).WithField("voter", action.Voter.Addr).Debug("poll of a voter failed")
		f.events.push(sharedconfig.PollFailed{Seq: action.Seq})
		return
	}
	reply.Seq = action.Seq
	f.events.push(reply)
}

// requestPoll sends a poll to a voter and returns the reply. The staleness bound is the timeout, since a lease from a later
// reply would have expired.
func (f *Follower) requestPoll(action sharedconfig.PollVoter) (reply sharedconfig.PollReply, err error) {
	body, err := json.Marshal(action.Request)
	if err != nil {
		return reply, err
	}
	target := memberTarget(action.Voter)
	if action.Voter.Name == "" { // only the configured address is known
		target = peer.Target{Addr: action.Voter.Addr}
	}
	result, err := f.endpoint.Call(target, rpcPollVoter, body, nil, f.config.StalenessBound)
	if err != nil {
		return reply, err
	}
	err = json.Unmarshal(result, &reply)
	return reply, err
}

// Status returns the status of this instance and of its group.
func (f *Follower) Status() Status {
	active := f.activeVersion.Load()
	served := f.servedVersion.Load()
	status := Status{
		Name:                 f.config.Name,
		GroupID:              *f.groupID.Load(),
		ActiveVersion:        active.Number,
		ServedVersion:        served,
		Digest:               active.Digest,
		LeaseRemainingMillis: f.leaseRemainingMillis(),
		NotCoveredReason:     f.lease.Load().NotCoveredReason(clock.Now(), served),
	}
	for _, voter := range *f.voters.Load() {
		if voter.Name != "" {
			status.Members = append(status.Members, voter)
		}
		status.VoterAddresses = append(status.VoterAddresses, voter.Addr)
	}
	return status
}

// State returns the part of the group's state that this instance has: the group's ID and the active version.
func (f *Follower) State() sharedconfig.State {
	active := f.activeVersion.Load()
	if active.Number == 0 {
		return sharedconfig.State{}
	}
	return sharedconfig.State{
		GroupID:  *f.groupID.Load(),
		Versions: []sharedconfig.Version{*active},
	}
}

// Read fails with ErrNotVoter, since only voters can have a state confirmed. The error lists the voters.
func (f *Follower) Read(time.Duration) (sharedconfig.State, error) {
	const hint = "read from one of %s, or read the state of this instance with --local"
	return sharedconfig.State{}, fmt.Errorf("%w: "+hint, ErrNotVoter, f.voterAddresses())
}

// Execute rejects the command, since only voters execute commands. The reason lists the voters.
func (f *Follower) Execute(command Command, _ time.Duration) sharedconfig.Outcome {
	outcome := rejectedOutcome(fmt.Sprintf("%v: send the command to one of %s", ErrNotVoter, f.voterAddresses()))
	if command.Change != nil {
		outcome.RequestID = command.Change.RequestID
	}
	return outcome
}

func (f *Follower) voterAddresses() string { return strings.Join(f.Status().VoterAddresses, ", ") }
