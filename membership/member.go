package membership

import "net/netip"

// MemberState is the state of a member in the view of the group.
type MemberState uint8

// The states of a member. Of two states of the same incarnation the one with the higher number wins.
const (
	StateAlive MemberState = iota
	StateSuspect
	StateDead
	StateLeft
)

// String returns the state's name, as operators see it.
func (s MemberState) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&3] }

// Present reports whether the member counts as a participant of the group: it is alive, or suspected and may still
// refute the suspicion.
func (s MemberState) Present() bool { return s <= StateSuspect }

// Reachability describes in which directions messages between this member and another one arrive.
type Reachability uint8

// The values of Reachability.
const (
	ReachabilityUnknown Reachability = iota // no probe has ended yet
	Reachable                               // messages arrive in both directions
	ReachableOneWay                         // it receives this member's messages; its own arrive through helpers only
	ReachableIndirectly                     // messages arrive in neither direction, but helpers reach it
	Unreachable
)

// String returns the name, as operators see it.
func (r Reachability) String() string {
	return [...]string{"unknown", "reachable", "one-way", "through others", "unreachable"}[min(r, Unreachable)]
}

// unknownAsReachable maps unknown to reachable: the first successful probe of a member is not a change of the view.
func (r Reachability) unknownAsReachable() Reachability { return max(r, Reachable) }

// Reasons for a member's state, as operators see them.
const (
	reasonDiscovered       = "told of"
	reasonRefuted          = "speaks for itself"
	reasonRestarted        = "started anew"
	reasonNoAck            = "no answer to this member"
	reasonSuspectedByOther = "others had no answer"
	reasonReportedDead     = "another holds it to be dead"
	reasonPortUnreachable  = "nothing listens at its address"
	reasonDeathConfirmed   = "the others agreed"
	reasonLeft             = "left as planned"
	reasonTimedOutSuffix   = "; it did not answer in time"
)

// Member is one member of a View.
type Member struct {
	ID   ID
	Name string
	Zone string
	Addr netip.AddrPort
	// Generation identifies the start of the member's process.
	Generation uint32
	// Incarnation is the number that the member raises to refute a suspicion.
	Incarnation  uint32
	State        MemberState
	Reachability Reachability
	// StateSince is the time of the last change of State.
	StateSince Micros
	// StateReason explains the last change of State to operators.
	StateReason string
	// SeenByCount is the number of members, this one included, that received an ack of it recently.
	SeenByCount int
	// Distrusted means that the member's accusations are ignored because too many of them were refuted.
	Distrusted bool
	// Facts are sorted by name.
	Facts []Fact
	// LastContact is when this member itself last received a message from it; 0 is never.
	LastContact Micros
}

// memberRecord is all that this member keeps of one member of the group. Its maps are made on the first entry, since
// few of hundreds of members are accused or published about.
type memberRecord struct {
	Member
	// lastMessageAt is when this generation of the member last sent a message to this one; 0 is never.
	lastMessageAt Micros
	// confirmedReceiptAt is when the member last acknowledged that it received a message of this one.
	confirmedReceiptAt Micros
	// lastSeenBy holds, for each member that received an ack of it, when that became known here.
	lastSeenBy map[ID]Micros
	// accusers are the members that suspect it.
	accusers map[ID]bool
	// departureReporters are the members that reported it dead or left.
	departureReporters map[ID]bool
	// suspicionStartedAt is when the current suspicion began or was last restarted.
	suspicionStartedAt Micros
	// portUnreachable means that a datagram to its address was rejected: no process listens there.
	portUnreachable bool
	// nameClaim is a pending claim of another process on the member's name; nil is none.
	nameClaim *nameClaim
	// facts are the member's facts by name.
	facts map[string]*storedFact
	// replayWindow detects duplicates of the member's messages.
	replayWindow replayWindow
	// refutedDeaths counts, up to maxResurrections, how often the member was declared dead and proved to be alive.
	refutedDeaths int
	// accusationsMade and accusationsRefuted count the suspicions that the member raised, and those of them that the
	// suspect refuted.
	accusationsMade    int
	accusationsRefuted int
}

// setEntry adds an entry to a map and makes the map if it is nil.
func setEntry[K comparable, V any](entries *map[K]V, key K, value V) {
	if *entries == nil {
		*entries = map[K]V{}
	}
	(*entries)[key] = value
}
