package sharedconfig

import (
	"maps"
	"slices"
)

// pollRetryDivisor divides the interval between two polls while a poll is unanswered or the lease does not cover the
// active version.
const pollRetryDivisor = 4

// Follower makes the decisions of an instance outside the Raft group, of which there may be hundreds. It polls one
// voter at a time for the active version and a lease. Its lease ends no later than the voter's, since the remaining
// duration that the voter reports counts from the time at which the poll was sent. The staleness bound therefore holds
// for followers too, without a verification of the leadership for each poll. Its methods must not be called
// concurrently.
type Follower struct {
	stepState
	settings      Settings
	seedVoters    []Member // known by address only: Name and DirectoryID are empty
	knownVoters   []Member // from the latest reply that listed any
	active        Version
	groupID       string // empty before the first reply that grants a lease
	loggedGroupID string // ID of the other group that was logged last
	lease         Lease
	pendingPolls  map[uint64]pendingPoll // by sequence number
	lastPollSeq   uint64                 // sequence number of the latest poll
	lastPollAt    Micros                 // send time of the latest poll
	voterFailedAt map[string]Micros      // time of each voter's latest failure, by address
}

// pendingPoll is a poll that may still be answered.
type pendingPoll struct {
	sentAt Micros
	voter  Member
}

// NewFollower returns a follower that knows the addresses of some voters. last is the version that the instance served
// before it started; its number is 0 if there is none.
func NewFollower(settings Settings, voters []string, last Version) *Follower {
	f := &Follower{
		settings:      settings,
		active:        last,
		lease:         Lease{ServeWhenStale: settings.ServeWhenStale},
		pendingPolls:  map[uint64]pendingPoll{},
		lastPollAt:    -settings.LeaseRenewalInterval,
		voterFailedAt: map[string]Micros{},
	}
	for _, addr := range voters {
		f.seedVoters = append(f.seedVoters, Member{Addr: addr, Voter: true})
	}
	return f
}

// Active returns the latest version that this instance knows.
func (f *Follower) Active() Version { return f.active }

// GroupID returns the ID of the group that this instance follows. It is empty before the first reply that grants a lease.
func (f *Follower) GroupID() string { return f.groupID }

// Voters returns the known voters in this instance's order of preference.
func (f *Follower) Voters() []Member { return f.votersByPreference() }

// Step handles events that have occurred up to the time now and returns the resulting actions.
func (f *Follower) Step(now Micros, events []Event) []Action {
	f.begin(now)
	for _, e := range events {
		switch e := e.(type) {
		case PollReply:
			f.handlePollReply(e)
		case PollFailed:
			f.handlePollFailed(e)
		}
	}
	f.poll()
	return f.actions
}

// poll polls the most preferred voter when a poll is due.
func (f *Follower) poll() {
	if f.now < f.lastPollAt+f.pollInterval() {
		return
	}
	f.expirePolls()
	voters := f.votersByPreference()
	if len(voters) == 0 {
		return
	}
	f.lastPollSeq++
	f.lastPollAt = f.now
	f.pendingPolls[f.lastPollSeq] = pendingPoll{sentAt: f.now, voter: voters[0]}
	f.emit(PollVoter{Seq: f.lastPollSeq, Voter: voters[0], Request: f.pollRequest()})
}

func (f *Follower) pollInterval() Micros {
	isCurrent := len(f.pendingPolls) == 0 && f.lastPollSeq > 0 && f.lease.Covers(f.now, f.active.Number)
	if isCurrent {
		return f.settings.LeaseRenewalInterval
	}
	return f.settings.LeaseRenewalInterval / pollRetryDivisor
}

// expirePolls marks voters as failed that have not replied within half a lease renewal interval. It drops polls older
// than the staleness bound, since a reply could no longer extend the lease.
func (f *Follower) expirePolls() {
	for _, seq := range slices.Sorted(maps.Keys(f.pendingPolls)) {
		pending := f.pendingPolls[seq]
		age := f.now - pending.sentAt
		if age >= f.settings.LeaseRenewalInterval/2 {
			f.markFailed(pending.voter)
		}
		if age >= f.settings.StalenessBound {
			delete(f.pendingPolls, seq)
		}
	}
}

// pollRequest names the version that this instance has. Before the first reply it names none, since the stored version
// may belong to a group that has been bootstrapped anew since.
func (f *Follower) pollRequest() PollRequest {
	if f.groupID == "" {
		return PollRequest{}
	}
	return PollRequest{Version: f.active.Number, Digest: f.active.Digest}
}

func (f *Follower) handlePollFailed(e PollFailed) {
	pending, isPending := f.pendingPolls[e.Seq]
	if !isPending {
		return
	}
	delete(f.pendingPolls, e.Seq)
	f.markFailed(pending.voter)
}

func (f *Follower) handlePollReply(e PollReply) {
	pending, isPending := f.pendingPolls[e.Seq]
	if !isPending { // a duplicate or late reply
		return
	}
	delete(f.pendingPolls, e.Seq)
	if !e.OK {
		f.markFailed(pending.voter)
		return
	}
	isFirstReply := f.groupID == ""
	if !isFirstReply && e.GroupID != f.groupID {
		f.ignoreOtherGroup(pending.voter, e.GroupID)
		return
	}
	f.groupID = e.GroupID
	if len(e.Voters) > 0 {
		f.knownVoters = e.Voters
	}
	f.clearFailures(pending.voter)
	if e.ActiveVersion != nil && f.replacesActive(*e.ActiveVersion, isFirstReply) {
		f.active = *e.ActiveVersion
		f.emit(Activate{Version: f.active})
	}
	f.extendLease(pending.sentAt, e)
}

// ignoreOtherGroup marks a voter of another group as failed. It logs the group unless it is the one logged last.
func (f *Follower) ignoreOtherGroup(voter Member, groupID string) {
	f.markFailed(voter)
	if f.loggedGroupID == groupID {
		return
	}
	f.loggedGroupID = groupID
	f.logf("ignoring the voter at %s: it belongs to group %s, not to %s; if the group was bootstrapped again, restart this instance",
		voter.Addr, groupID, f.groupID)
}

// replacesActive reports whether a version replaces the one that this instance has. Version numbers only grow, except
// with the first reply: the stored version may belong to a group that has been bootstrapped anew since.
func (f *Follower) replacesActive(version Version, isFirstReply bool) bool {
	if version.Number > f.active.Number {
		return true
	}
	return isFirstReply && (version.Number != f.active.Number || version.Digest != f.active.Digest)
}

// extendLease adds the grant of a reply to the lease. sentAt is the time at which the poll was sent.
func (f *Follower) extendLease(sentAt Micros, e PollReply) {
	expiresAt := grantExpiry(sentAt, min(e.LeaseRemaining, f.settings.StalenessBound))
	if expiresAt <= f.now {
		return
	}
	f.lease = f.lease.withGrant(Grant{Version: e.Version, ExpiresAt: expiresAt}, f.now)
	f.emit(SetLease{Lease: f.lease})
}
