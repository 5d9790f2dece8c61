package sharedconfig

// Settings are the parameters of a Core or Follower.
type Settings struct {
	DirectoryID             string // ID of the data directory, preceded by the name in a Follower, which only hashes it
	StalenessBound          Micros // maximum time for which a version is served after it was replaced, unless ServeWhenStale is set
	ServeWhenStale          bool   // serve without a valid lease instead of rejecting queries
	Removed                 bool   // an earlier run learned that this instance was removed from the group
	LeaseRenewalInterval    Micros // time between two lease requests of a member, or two polls of a follower
	CheckTimeout            Micros // time limit for the members to check a change, and for a WaitForCatchUp before it is repeated
	MembershipChangeTimeout Micros // time limit for a membership change, including the catch-up of a new member
	ReachabilityTimeout     Micros // time after its last lease request during which a member counts as reachable
	ChangeTimeout           Micros // time after its proposal at which the callers of an undecided change are answered; none for a resumed change
}

// Default settings, and bounds on those that DefaultSettings derives from the staleness bound.
const (
	minLeaseRenewalInterval Micros = 20_000
	maxLeaseRenewalInterval Micros = 500_000
	minReachabilityTimeout  Micros = 200_000

	defaultCheckTimeout            Micros = 1_000_000
	defaultMembershipChangeTimeout Micros = 10_000_000
	defaultChangeTimeout           Micros = 5_000_000
)

// DefaultSettings returns the settings of an instance with the given staleness bound.
func DefaultSettings(directoryID string, stalenessBound Micros, serveWhenStale bool) Settings {
	return Settings{
		DirectoryID:             directoryID,
		StalenessBound:          stalenessBound,
		ServeWhenStale:          serveWhenStale,
		LeaseRenewalInterval:    min(max(stalenessBound/10, minLeaseRenewalInterval), maxLeaseRenewalInterval),
		CheckTimeout:            defaultCheckTimeout,
		MembershipChangeTimeout: defaultMembershipChangeTimeout,
		ReachabilityTimeout:     max(2*stalenessBound/5, minReachabilityTimeout),
		ChangeTimeout:           defaultChangeTimeout,
	}
}
