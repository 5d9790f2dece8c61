package storepool

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"alderproxy/internal/ratelog"
	"alderproxy/policy"
)

// Store is an entry of the endpoint list.
type Store struct {
	policy.Endpoint
	// Name identifies the store.
	Name string
	// Addr is the store's TCP address, host:port.
	Addr string
}

// Digest returns a hash of the names, ring positions, zones and states of the listed stores. It does not depend on the
// order of the list. Addresses are not included, since they may differ between instances.
func Digest(list []Store) (sum uint64) {
	for _, s := range list {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s %d %d %d", s.Name, s.RingPosition, s.Zone, s.State))
	}
	return sum
}

// storeConnections are the connections to one store. The pool's lock guards them.
type storeConnections struct {
	Store
	connections []*connection
	// brokenAt is the time at which a connection last failed with attempts in flight.
	brokenAt time.Time
	// closeLog limits the rate of the log line for failed connections.
	closeLog ratelog.Limiter
}

// UpdateEndpoints replaces the endpoint list. It must be called before the broker receives the list. Queued calls to
// stores that are draining, removed or replaced are withdrawn immediately: such a store must receive no call after the
// change of the list, even if the call was queued before.
func (p *Pool) UpdateEndpoints(list []Store) {
	fenced, retired := p.replaceEndpoints(list)
	for _, c := range fenced {
		c.fence()
	}
	for _, c := range retired {
		c.retire()
	}
}

// replaceEndpoints replaces the list. It returns the connections that must be fenced, and those among them that must also
// be retired.
func (p *Pool) replaceEndpoints(list []Store) (fenced, retired []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[uint32]bool{}
	for _, s := range list {
		listed[s.ID] = true
		st := p.stores[s.ID]
		if st == nil {
			st = &storeConnections{}
			p.stores[s.ID] = st
		} else {
			outdated := st.removeOutdated(s)
			fenced = append(fenced, outdated...)
			retired = append(retired, outdated...)
		}
		st.Store = s
		if s.State != policy.Ready {
			fenced = append(fenced, st.connections...)
		}
	}
	for id, st := range p.stores {
		if listed[id] {
			continue
		}
		fenced = append(fenced, st.connections...)
		retired = append(retired, st.connections...)
		delete(p.stores, id)
	}
	p.retiring = append(p.retiring, retired...)
	return fenced, retired
}

// removeOutdated removes and returns the connections to another process than the one that is listed now. The new process
// does not know them, and if the machine of the old process has vanished, they appear to be open until they are written
// to.
func (st *storeConnections) removeOutdated(listed Store) (outdated []*connection) {
	sameServer := st.Addr == listed.Addr && st.RingPosition == listed.RingPosition
	if sameServer && st.StartedAt == listed.StartedAt {
		return nil
	}
	current := make([]*connection, 0, len(st.connections))
	for _, c := range st.connections {
		if sameServer && c.createdAt.UnixMicro() > listed.StartedAt {
			current = append(current, c)
		} else {
			outdated = append(outdated, c)
		}
	}
	st.connections = current
	return outdated
}
