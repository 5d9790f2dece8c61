package membership

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"time"
)

// Micros is a duration or a point in time in microseconds. Points in time are on the caller's monotonic clock. Its
// origin is arbitrary, but its values must be positive, because 0 stands for no time.
type Micros = int64

// ID identifies a member. It is derived from the member's name.
type ID uint32

// IDFromName returns the ID for a member name. If two names have the same ID, only the first one can be a member; the
// later one is rejected.
func IDFromName(name string) ID {
	h := fnv.New32a()
	h.Write([]byte(name)) // never fails
	return ID(h.Sum32())
}

// Limits that keep an update or a fact within one datagram. Lengths are in bytes.
const (
	MaxNameLength      = 24
	MaxZoneLength      = 24
	MaxFactNameLength  = 16
	MaxFactValueLength = 48
	MaxFacts           = 8 // per member
)

// minSendRate is the minimum of Config.MaxSendRate. A lower rate does not suffice for probes, acks and gossip.
const minSendRate = 4

// ticksPerProbeInterval is the minimum number of calls of Step per probe interval.
const ticksPerProbeInterval = 10

// Config is the static configuration of a member.
type Config struct {
	// Name identifies the member and is unique in the group.
	Name string
	// Zone is the failure domain of the member; it may be empty.
	Zone string
	// Addr is the IPv4 address at which other members reach this one.
	Addr netip.AddrPort
	// Seeds are addresses of possible members, through which this member joins the group. They may include its own
	// address and addresses at which no process listens.
	Seeds []netip.AddrPort
	// Generation identifies one start of the process. It increases with each start under the same name; a value derived
	// from the start time is suitable.
	Generation uint32
	// RandomSeed seeds the random number generator.
	RandomSeed uint64
	// ProbeInterval is the time between two probes.
	ProbeInterval Micros
	// SuspicionTimeout is the base of the time that a suspect has to refute the suspicion. It must exceed the longest
	// pause after which a process must not be declared dead.
	SuspicionTimeout Micros
	// MaxSendRate is the maximum number of datagrams sent per second on average. A burst may add the budget of one
	// second.
	MaxSendRate int
	// TombstoneTTL is the time for which members that left or died are remembered.
	TombstoneTTL Micros
}

// Validate returns an error that describes the first invalid field, or nil.
func (c Config) Validate() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxNameLength:
		return fmt.Errorf("membership: name %q must have 1 to %d bytes", c.Name, MaxNameLength)
	case len(c.Zone) > MaxZoneLength:
		return fmt.Errorf("membership: zone %q must have at most %d bytes", c.Zone, MaxZoneLength)
	case !c.Addr.IsValid() || !c.Addr.Addr().Unmap().Is4():
		return fmt.Errorf("membership: address %v is not an IPv4 address with a port", c.Addr)
	case c.ProbeInterval <= 0 || c.SuspicionTimeout < c.ProbeInterval || c.TombstoneTTL < c.SuspicionTimeout:
		return fmt.Errorf(
			"membership: period %v must be positive, hold %v at least period, and forget %v at least hold",
			time.Duration(c.ProbeInterval)*time.Microsecond,
			time.Duration(c.SuspicionTimeout)*time.Microsecond,
			time.Duration(c.TombstoneTTL)*time.Microsecond,
		)
	case c.MaxSendRate < minSendRate:
		return fmt.Errorf("membership: datagrams_per_s %d is less than the minimum of %d", c.MaxSendRate, minSendRate)
	}
	return nil
}

// TickInterval returns the maximum time between two calls of Step.
func (c Config) TickInterval() Micros { return c.ProbeInterval / ticksPerProbeInterval }
