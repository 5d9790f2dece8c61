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
	// Addr is its TCP address, host:port.
	Addr string
}

// Digest returns a value that is equal for lists with the same stores in the same states, in any order. Addresses are left
// out, since they may differ between instances.
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
	// brokenAt is when a connection last broke with attempts in flight.
	brokenAt time.Time
	closeLog ratelog.Limiter
}

// UpdateEndpoints replaces the endpoint list. It must be called before the broker learns of the list. Calls that wait to be
// written to a store that is draining or was removed are withdrawn at once, since a store must receive no call after the
// list has changed, whenever the call was queued.
func (p *Pool) UpdateEndpoints(list []Store) {
	fenced, retired := p.replaceEndpoints(list)
	for _, c := range fenced {
		c.fence()
	}
	for _, c := range retired {
		c.retire()
	}
}

// replaceEndpoints stores the list and returns the connections that must not be written to any more, and those among them
// that end as soon as nothing is in flight on them.
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

// removeOutdated removes and returns the connections that lead to another process than the one that is listed now. A new
// process knows nothing of them, and if the machine of the old one has vanished, they look open until they are written to.
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
