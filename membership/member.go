package membership

import "net/netip"

// MemberState is the state of a member.
type MemberState uint8

// The states of a member. Of two states with the same incarnation, the one with the higher value takes precedence,
// except that dead and left do not replace each other.
const (
	StateAlive MemberState = iota
	StateSuspect
	StateDead
	StateLeft
)

// String returns the name of the state that is shown to operators.
func (s MemberState) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&3] }

// Present reports whether a member in this state counts as present in the group: it is alive, or it is suspected and
// may still refute the suspicion.
func (s MemberState) Present() bool { return s <= StateSuspect }

// Reachability tells in which directions messages between this member and another one are known to arrive.
type Reachability uint8

// The values of Reachability.
const (
	ReachabilityUnknown Reachability = iota // no probe has determined it yet
	Reachable                               // messages arrive in both directions
	ReachableOneWay                         // this member's messages arrive; the other's acks come through helpers only
	ReachableIndirectly                     // this member's messages are not known to arrive, but helpers reach the other
	Unreachable                             // neither this member nor a helper reaches the other, or it is dead or left
)

// String returns the name of the reachability that is shown to operators.
func (r Reachability) String() string {
	return [...]string{"unknown", "reachable", "one-way", "through others", "unreachable"}[min(r, Unreachable)]
}

// unknownAsReachable returns Reachable in place of ReachabilityUnknown, so that the first successful probe of a member
// does not count as a change of the view.
func (r Reachability) unknownAsReachable() Reachability { return max(r, Reachable) }

// The reasons for a member's state that are shown to operators.
const (
	reasonDiscovered       = "discovered"
	reasonRefuted          = "refuted by a later incarnation"
	reasonRestarted        = "restarted"
	reasonNoAck            = "no ack to this instance's probe"
	reasonSuspectedByOther = "suspected by another member"
	reasonReportedDead     = "reported dead by another member"
	reasonPortUnreachable  = "no process listens at its address"
	reasonDeathConfirmed   = "death confirmed by other members"
	reasonLeft             = "left gracefully"
	reasonTimedOutSuffix   = "; suspicion not refuted in time"
)

// Member is one member of a View. The observer is the member whose view it is.
type Member struct {
	ID   ID
	Name string
	Zone string
	Addr netip.AddrPort
	// Generation identifies one start of the member's process; a later start has a higher one.
	Generation uint32
	// Incarnation is the number that the member increments to refute a suspicion.
	Incarnation  uint32
	State        MemberState
	Reachability Reachability
	// StateSince is the time of the last change of State.
	StateSince Micros
	// StateReason explains the last change of State to operators. It is empty if there was none.
	StateReason string
	// SeenByCount is the number of members, the observer included, that the observer knows to have recently received an
	// ack from it or sent a refutation of it.
	SeenByCount int
	// Distrusted reports whether the member's accusations are ignored because too many of them were refuted.
	Distrusted bool
	// Facts are sorted by name.
	Facts []Fact
	// LastContact is the time at which the observer last received a message directly from it; 0 if never.
	LastContact Micros
}

// memberRecord is the state that is kept for one member of the group. Its maps are allocated when their first entry is
// added, since most members of a large group have no accusers and no facts.
type memberRecord struct {
	Member
	// lastMessageAt is the time at which the last message of the member's current generation arrived; 0 if none has.
	lastMessageAt Micros
	// confirmedReceiptAt is the time of the last ack by which the member confirmed that it receives this member's
	// messages.
	confirmedReceiptAt Micros
	// lastSeenBy holds, for each member that received an ack from it or sent a refutation of it, the time at which
	// the observer learned of that.
	lastSeenBy map[ID]Micros
	// accusers is the set of members that suspect it.
	accusers map[ID]bool
	// departureReporters is the set of members that reported it dead or left.
	departureReporters map[ID]bool
	// suspicionStartedAt is the time at which the current suspicion began or was last restarted.
	suspicionStartedAt Micros
	// nextSuspectPingAt is the time from which a suspect may be pinged again.
	nextSuspectPingAt Micros
	// portUnreachable reports whether the host rejected a datagram to its address because no process listens there.
	portUnreachable bool
	// nameClaim is the pending claim of another process to the member's name; nil if there is none.
	nameClaim *nameClaim
	// facts holds the member's facts by name.
	facts map[string]*storedFact
	// replayWindow detects duplicates of the member's messages.
	replayWindow replayWindow
	// refutedDeaths is the number of times, up to maxRefutedDeaths, that the member was declared dead and refuted that.
	refutedDeaths int
	// accusationsMade and accusationsRefuted count the accusations that the member made, and those of them that the
	// suspect refuted. Both are halved now and then; see accusationDecayThreshold.
	accusationsMade    int
	accusationsRefuted int
}

// setEntry sets an entry of a map and allocates the map if it is nil.
func setEntry[K comparable, V any](entries *map[K]V, key K, value V) {
	if *entries == nil {
		*entries = map[K]V{}
	}
	(*entries)[key] = value
}
