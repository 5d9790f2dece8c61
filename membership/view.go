package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// markViewDirty notes that the view is out of date.
func (g *Group) markViewDirty() {
	if g.viewDirtySince == 0 {
		g.viewDirtySince = g.now
	}
}

// publishView hands out the view as it now is. While accusations are open that others share, evidence is still
// coming in, and a zone that goes ought to be one change and not one for each member: it waits, but not for long.
func (g *Group) publishView() {
	if g.viewDirtySince == 0 {
		return
	}
	if g.now-g.viewDirtySince < 2*g.SuspicionTimeout {
		for _, m := range g.membersByID {
			if m.State == Suspect && len(m.accusers) > 1 && g.suspicionTimeout(m)-(g.now-m.suspicionStartedAt) < 2*g.ProbeInterval {
				return
			}
		}
	}
	g.viewDirtySince = 0
	v := g.snapshot()
	if equivalent(v, g.view) {
		return
	}
	v.Version = g.view.Version + 1
	g.view = v
	g.emit(ViewChanged{v})
}

// Look is the view as it is at this moment, with what is no change: who was heard when, and by how many.
func (g *Group) Look() View { return g.snapshot() }

func (g *Group) snapshot() View {
	v := View{Version: g.view.Version, Digest: g.digest(), Trusted: g.trusted(), Converged: g.converged}
	for _, m := range g.membersByID {
		line := m.Member
		if m == g.self {
			line.SeenByCount = 1
		}
		for _, at := range m.lastSeenBy {
			if g.now-at < 10*g.ProbeInterval {
				line.SeenByCount++
			}
		}
		for _, f := range m.facts {
			if f.Value != "" {
				line.Facts = append(line.Facts, f.forSending(g.now))
			}
		}
		slices.SortFunc(line.Facts, func(x, y Fact) int { return cmp.Compare(x.Name, y.Name) })
		v.Members = append(v.Members, line)
	}
	slices.SortFunc(v.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return v
}

// equivalent tells whether two views differ in nothing that anybody acts on: when a member was last heard is no change.
func equivalent(x, y View) bool {
	there := func(m Member) MemberState { return max(m.State, Suspect) }
	line := func(a, b Member) bool {
		fact := func(f, h Fact) bool { return f.Name == h.Name && f.Version == h.Version }
		return a.ID == b.ID && a.Generation == b.Generation && there(a) == there(b) && a.Reachability.presumed() == b.Reachability.presumed() && a.Addr == b.Addr &&
			a.Distrusted == b.Distrusted && slices.EqualFunc(a.Facts, b.Facts, fact)
	}
	return x.Digest == y.Digest && x.Trusted == y.Trusted && x.Converged == y.Converged && slices.EqualFunc(x.Members, y.Members, line)
}

// Reporter tells which of those that are there logs what becomes of a member, so that hundreds do not all say the same:
// members that hold the same view name the same one. A member that nobody else is left for is its own.
func (v View) Reporter(of ID) ID {
	best, most := of, uint64(0)
	for _, m := range v.Members {
		if m.State > Suspect || m.ID == of {
			continue
		}
		var b [8]byte
		binary.BigEndian.PutUint32(b[:], uint32(of))
		binary.BigEndian.PutUint32(b[4:], uint32(m.ID))
		if h := xxhash.Sum64(b[:]); h >= most {
			best, most = m.ID, h
		}
	}
	return best
}

// Find is the line of a name.
func (v View) Find(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}
