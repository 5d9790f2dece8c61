package storepool

import (
	"time"

	"alderproxy/policy"
)

// Limits are the limits of connections to stores.
type Limits struct {
	// ConnectTimeout limits the time to connect, the time of each write, and the time from the first byte of a received
	// message to its last. It is also the timeout of health checks.
	ConnectTimeout policy.Micros
	// IdleTimeout is the time after which stores close an unused connection.
	IdleTimeout policy.Micros
	// MaxInFlight is the number of attempts in flight at which a connection accepts no further calls.
	MaxInFlight int
	// MaxConnections is the maximum number of open connections to one store; 0 if unlimited.
	MaxConnections int
}

// SetLimits replaces the limits, also those of open connections.
func (p *Pool) SetLimits(limits Limits) { p.limits.Store(&limits) }

func (p *Pool) connectTimeout() time.Duration {
	return time.Duration(p.limits.Load().ConnectTimeout) * time.Microsecond
}

// idleLimit returns the time after which the pool closes an idle connection. It is shorter than the store's own timeout,
// since a call that is sent while the store closes the connection would be reset and might have run.
func (p *Pool) idleLimit() time.Duration {
	return time.Duration(p.limits.Load().IdleTimeout) * time.Microsecond * 9 / 10
}
