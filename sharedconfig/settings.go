package sharedconfig

// Settings are the parameters of a Core or Follower.
type Settings struct {
	InstanceID              string // identifies the instance by its data directory, for as long as that exists
	StalenessBound          Micros // how long a version may be served after it was replaced
	ServeWhenStale          bool   // keep serving without a lease instead of rejecting queries
	Removed                 bool   // the instance learned before that it was removed from the group
	LeaseRenewalInterval    Micros // time between two lease requests
	CheckTimeout            Micros // how long members have to check a change
	MembershipChangeTimeout Micros // how long a membership change may take, including a new member's catching up with the log
	ReachabilityTimeout     Micros // a member counts as reachable for this long after a lease request
	ChangeTimeout           Micros // how long a caller waits for the decision on a change
}

// Bounds and defaults of Settings that DefaultSettings derives.
const (
	minLeaseRenewalInterval Micros = 20_000
	maxLeaseRenewalInterval Micros = 500_000
	minReachabilityTimeout  Micros = 200_000

	defaultCheckTimeout            Micros = 1_000_000
	defaultMembershipChangeTimeout Micros = 10_000_000
	defaultChangeTimeout           Micros = 5_000_000
)

// DefaultSettings returns the settings of an instance for a staleness bound.
func DefaultSettings(instanceID string, stalenessBound Micros, serveWhenStale bool) Settings {
	return Settings{
		InstanceID:              instanceID,
		StalenessBound:          stalenessBound,
		ServeWhenStale:          serveWhenStale,
		LeaseRenewalInterval:    min(max(stalenessBound/10, minLeaseRenewalInterval), maxLeaseRenewalInterval),
		CheckTimeout:            defaultCheckTimeout,
		MembershipChangeTimeout: defaultMembershipChangeTimeout,
		ReachabilityTimeout:     max(2*stalenessBound/5, minReachabilityTimeout),
		ChangeTimeout:           defaultChangeTimeout,
	}
}
