package membership

import (
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Micros is a duration or a point in time in microseconds. Points in time are on the caller's monotonic clock, whose
// origin is arbitrary.
type Micros = int64

// ID identifies a member. It is derived from the member's name.
type ID uint32

// IDFromName returns the ID of a name. Two names with the same ID cannot both be members: the later one is refused.
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
	MaxFacts           = 8 // facts of one member
)

// minSendRate is the least datagrams per second with which probes, acks and gossip can be sent.
const minSendRate = 4

// ticksPerProbeInterval is how many times Step is called per probe interval.
const ticksPerProbeInterval = 10

// Config is the static configuration of a member.
type Config struct {
	// Name identifies the member; it is unique in the group.
	Name string
	// Zone is the failure domain of the member; it may be empty.
	Zone string
	// Addr is the IPv4 address at which others reach the member.
	Addr netip.AddrPort
	// Seeds are addresses of possible members. The member's own address and dead ones are harmless.
	Seeds []netip.AddrPort
	// Generation is higher at each start of a process of the same name, for example derived from its start time.
	Generation uint32
	// RandomSeed seeds the random number generator.
	RandomSeed uint64
	// ProbeInterval is the time between two probes.
	ProbeInterval Micros
	// SuspicionTimeout is the base of the time that a suspect has to refute the suspicion. It exceeds the longest pause
	// of a process that must not count as its death.
	SuspicionTimeout Micros
	// MaxSendRate is the maximum number of datagrams sent per second.
	MaxSendRate int
	// TombstoneTTL is how long members that left or died are remembered.
	TombstoneTTL Micros
}

// Validate returns an error that describes the first invalid field, or nil.
func (c Config) Validate() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxNameLength:
		return fmt.Errorf("membership: name %q has not 1 to %d bytes", c.Name, MaxNameLength)
	case len(c.Zone) > MaxZoneLength:
		return fmt.Errorf("membership: zone %q has over %d bytes", c.Zone, MaxZoneLength)
	case !c.Addr.IsValid() || !c.Addr.Addr().Unmap().Is4():
		return fmt.Errorf("membership: address %v is no IPv4 address", c.Addr)
	case c.ProbeInterval <= 0 || c.SuspicionTimeout < c.ProbeInterval || c.TombstoneTTL < c.SuspicionTimeout:
		return fmt.Errorf("membership: period %d, hold %d and forget %d are not in order", c.ProbeInterval, c.SuspicionTimeout, c.TombstoneTTL)
	case c.MaxSendRate < minSendRate:
		return fmt.Errorf("membership: budget of %d datagrams a second is under %d", c.MaxSendRate, minSendRate)
	}
	return nil
}

// TickInterval is the maximum time between two calls of Step.
func (c Config) TickInterval() Micros { return c.ProbeInterval / ticksPerProbeInterval }
