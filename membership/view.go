package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// recentlySeenIntervals is for how many probe intervals an ack counts in Member.SeenByCount.
	recentlySeenIntervals = 10
	// maxViewDelayTimeouts is the longest delay of a view, in suspicion timeouts.
	maxViewDelayTimeouts = 2
	// imminentDeathIntervals is how many probe intervals before its end a suspicion delays the view.
	imminentDeathIntervals = 2
)

// View is one member's view of the group.
type View struct {
	// Version counts the changes of this member's view.
	Version uint64
	// Digest is equal at two members whose views contain the same present members.
	Digest uint32
	// Trusted is false while this member may be isolated; it declares nobody dead then.
	Trusted bool
	// Converged is true once another member has had the same view, or if there is no other member.
	Converged bool
	// Members are sorted by name. They include those that left or died until their tombstones expire.
	Members []Member
}

// PresentCount returns the number of members that are present, suspects included.
func (v View) PresentCount() int {
	count := 0
	for _, member := range v.Members {
		if member.State.Present() {
			count++
		}
	}
	return count
}

// Find returns the member of a name, and false if there is none.
func (v View) Find(name string) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(member Member, name string) int {
		return cmp.Compare(member.Name, name)
	})
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Reporter returns the present member that logs the changes of another one, so that not every member of a large group
// logs each change. Members with the same view agree on it. A member without others is its own reporter.
func (v View) Reporter(subject ID) ID {
	reporter := subject
	highest := uint64(0)
	for _, member := range v.Members {
		if !member.State.Present() || member.ID == subject {
			continue
		}
		var key [8]byte
		binary.BigEndian.PutUint32(key[:], uint32(subject))
		binary.BigEndian.PutUint32(key[4:], uint32(member.ID))
		if hash := xxhash.Sum64(key[:]); hash >= highest {
			reporter = member.ID
			highest = hash
		}
	}
	return reporter
}

// equivalent reports whether two views differ only in what no consumer acts on, such as times of contact and
// suspicions.
func (v View) equivalent(other View) bool {
	return v.Digest == other.Digest &&
		v.Trusted == other.Trusted &&
		v.Converged == other.Converged &&
		slices.EqualFunc(v.Members, other.Members, Member.equivalent)
}

func (m Member) equivalent(other Member) bool {
	sameFact := func(x, y Fact) bool { return x.Name == y.Name && x.Version == y.Version }
	return m.ID == other.ID &&
		m.Generation == other.Generation &&
		max(m.State, StateSuspect) == max(other.State, StateSuspect) &&
		m.Reachability.unknownAsReachable() == other.Reachability.unknownAsReachable() &&
		m.Addr == other.Addr &&
		m.Distrusted == other.Distrusted &&
		slices.EqualFunc(m.Facts, other.Facts, sameFact)
}

// markViewDirty records that the published view is outdated.
func (g *Group) markViewDirty() {
	if g.viewDirtySince == 0 {
		g.viewDirtySince = g.now
	}
}

// publishView publishes the view if it has changed. It waits, for a limited time, while suspicions are about to end, so
// that the failure of a zone makes one change and not one for each member.
func (g *Group) publishView() {
	if g.viewDirtySince == 0 {
		return
	}
	delay := g.now - g.viewDirtySince
	if delay < maxViewDelayTimeouts*g.SuspicionTimeout && g.deathsImminent() {
		return
	}
	g.viewDirtySince = 0
	view := g.Snapshot()
	if view.equivalent(g.view) {
		return
	}
	view.Version = g.view.Version + 1
	g.view = view
	g.emit(ViewChanged{view})
}

// deathsImminent reports whether a suspicion that several accusers share is about to end.
func (g *Group) deathsImminent() bool {
	return slices.ContainsFunc(g.membersByID, func(member *memberRecord) bool {
		return member.State == StateSuspect &&
			len(member.accusers) > 1 &&
			g.remainingSuspicion(member) < imminentDeathIntervals*g.ProbeInterval
	})
}

// Snapshot returns the current view, including the changes that ViewChanged does not announce.
func (g *Group) Snapshot() View {
	view := View{
		Version:   g.view.Version,
		Digest:    g.digest(),
		Trusted:   g.trusted(),
		Converged: g.converged,
	}
	for _, member := range g.membersByID {
		view.Members = append(view.Members, g.snapshotMember(member))
	}
	slices.SortFunc(view.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return view
}

func (g *Group) snapshotMember(member *memberRecord) Member {
	snapshot := member.Member
	if member == g.self {
		snapshot.SeenByCount = 1
	}
	for _, seenAt := range member.lastSeenBy {
		if g.now-seenAt < recentlySeenIntervals*g.ProbeInterval {
			snapshot.SeenByCount++
		}
	}
	for _, fact := range member.facts {
		if fact.Value != "" {
			snapshot.Facts = append(snapshot.Facts, fact.withRemainingTTL(g.now))
		}
	}
	slices.SortFunc(snapshot.Facts, func(x, y Fact) int { return cmp.Compare(x.Name, y.Name) })
	return snapshot
}
