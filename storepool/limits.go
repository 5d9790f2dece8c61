package storepool

import (
	"time"

	"alderproxy/policy"
)

// Limits are the settings that concern connections and not the decisions.
type Limits struct {
	// ConnectTimeout limits connecting, every write, and the time from the first byte of a message to its last.
	ConnectTimeout policy.Micros
	// IdleTimeout is when stores close a connection that is not used.
	IdleTimeout policy.Micros
	// MaxInFlight is how many attempts one connection carries at once.
	MaxInFlight int
	// MaxConnections is how many connections to one store may be open; 0 sets no limit.
	MaxConnections int
}

// SetLimits replaces the limits from now on.
func (p *Pool) SetLimits(limits Limits) { p.limits.Store(&limits) }

func (p *Pool) connectTimeout() time.Duration {
	return time.Duration(p.limits.Load().ConnectTimeout) * time.Microsecond
}

// idleLimit is when the pool closes an idle connection: before the store does, since a call that crosses the store's close
// would be reset and might have run.
func (p *Pool) idleLimit() time.Duration {
	return time.Duration(p.limits.Load().IdleTimeout) * time.Microsecond * 9 / 10
}
