package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// recentlySeenIntervals is the number of probe intervals for which an ack or a refutation counts in
	// Member.SeenByCount.
	recentlySeenIntervals = 10
	// maxViewDelayTimeouts is the maximum delay of a changed view, in suspicion timeouts.
	maxViewDelayTimeouts = 2
	// imminentDeathIntervals is the number of probe intervals before the end of a suspicion timeout in which the
	// suspicion delays the view.
	imminentDeathIntervals = 2
)

// View is one member's view of the group.
type View struct {
	// Version is the number of changes of this member's view so far.
	Version uint64
	// Digest is a hash of the present members. It is equal at members that see the same members as present.
	Digest uint32
	// Trusted is false while this member may be isolated. Until it is true again, this member declares no other one
	// dead.
	Trusted bool
	// Converged is true once the view was stable and equal to another member's, or if this member knows no other member
	// after soleMemberIntervals. Without seeds other than its own address, it is true from the start. It never becomes
	// false again.
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

// Find returns the member with the given name. It returns false if there is none.
func (v View) Find(name string) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(member Member, name string) int {
		return cmp.Compare(member.Name, name)
	})
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Reporter returns the present member that logs state changes of the subject, so that in a large group each change is
// logged once. Members with the same view agree on the reporter. If no other member is present, the subject is its own
// reporter.
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

// equivalent reports whether two views are equal apart from details that no consumer acts on, such as times of contact
// and suspicions.
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

// markViewDirty records that the state has changed since the view was last published.
func (g *Group) markViewDirty() {
	if g.viewDirtySince == 0 {
		g.viewDirtySince = g.now
	}
}

// publishView publishes the view if it has changed. While suspicions are about to time out, it waits for a limited
// time, so that the failure of a zone results in one change of the view and not in one per member.
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

// deathsImminent reports whether a suspicion with several accusers is about to time out.
func (g *Group) deathsImminent() bool {
	return slices.ContainsFunc(g.membersByID, func(member *memberRecord) bool {
		return member.State == StateSuspect &&
			len(member.accusers) > 1 &&
			g.remainingSuspicion(member) < imminentDeathIntervals*g.ProbeInterval
	})
}

// Snapshot returns the current view, including details whose changes are not published with ViewChanged.
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
