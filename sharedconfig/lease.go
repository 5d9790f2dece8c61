package sharedconfig

import (
	"fmt"
	"slices"
)

// Lease says until when an instance may take queries by which versions. A grant for version v that was asked for at
// t says that at t, or later, v was the active one: whatever replaced it did so after t, so that v and all that came
// after it may be served until t plus the bound. Values are never changed.
type Lease struct {
	Grants  []Grant // by version, ascending; each of them ends later than the ones before
	Serve   bool    // go on when no grant holds: the operators prefer service to agreement
	Removed bool    // the instance is no member any more
}

// Grant is one of them.
type Grant struct {
	Version uint64
	Until   Micros
}

// Until is when the newest grant that covers a version ends, or 0.
func (l Lease) Until(version uint64) Micros {
	until := Micros(0)
	for _, g := range l.Grants {
		if g.Version <= version {
			until = max(until, g.Until)
		}
	}
	return until
}

// Holds tells whether a version is covered at a moment.
func (l Lease) Holds(now Micros, version uint64) bool {
	return version > 0 && !l.Removed && now < l.Until(version)
}

// Allows tells whether queries may be taken by a version at a moment.
func (l Lease) Allows(now Micros, version uint64) bool {
	return l.Holds(now, version) || l.Serve && version > 0 && !l.Removed
}

// with adds a grant and drops those that it covers or that have ended.
func (l Lease) with(g Grant, now Micros) Lease {
	var kept []Grant
	for _, o := range l.Grants {
		if o.Until > now && !(g.Version <= o.Version && g.Until >= o.Until) {
			kept = append(kept, o)
		}
	}
	covered := slices.ContainsFunc(kept, func(o Grant) bool { return o.Version <= g.Version && o.Until >= g.Until })
	if !covered {
		kept = append(kept, g)
		slices.SortFunc(kept, func(a, b Grant) int { return int(int64(a.Version) - int64(b.Version)) })
	}
	l.Grants = kept
	return l
}

// Reason says in words why an instance does not serve, or serves without agreement; empty: it serves as agreed.
func (l Lease) Reason(now Micros, version uint64) string {
	switch {
	case l.Removed:
		return "this instance was removed from its group"
	case version == 0:
		return "this instance has no agreed document yet"
	case l.Holds(now, version):
		return ""
	case l.Until(version) == 0:
		return fmt.Sprintf("nobody has confirmed that version %d is still the active one", version)
	}
	return fmt.Sprintf("nobody has confirmed for %d ms beyond the bound that version %d is still the active one",
		(now-l.Until(version))/1000, version)
}
