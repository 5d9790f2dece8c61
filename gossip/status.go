package gossip

import (
	"fmt"
	"time"

	"alderproxy/membership"
)

// Status is how an instance sees its fleet, for operators.
type Status struct {
	Name        string         `json:"name"`
	Group       string         `json:"group"`
	ViewVersion uint64         `json:"view"` // counts this instance's views
	Digest      string         `json:"digest"`
	Trusted     bool           `json:"trusted"` // false: it may be cut off, and its view stands still
	NameTakenBy string         `json:"taken,omitempty"`
	AliveCount  int            `json:"alive"`
	Members     []Member       `json:"members"`
	Datagrams   DatagramCounts `json:"datagrams"`
}

// Member is one line of it. Spans are in milliseconds, by the clock of the instance that tells.
type Member struct {
	Name                 string `json:"name"`
	Zone                 string `json:"zone,omitempty"`
	Addr                 string `json:"addr"`
	State                string `json:"state"`
	Reachability         string `json:"reach"`
	StateAgeMillis       int64  `json:"since_ms"`
	StateReason          string `json:"why,omitempty"`
	SeenByCount          int    `json:"seen_by"`
	LastContactAgeMillis int64  `json:"heard_ms"` // -1: never by this instance itself
	StartedUnixMillis    int64  `json:"started"`  // in milliseconds since 1970, by its own clock
	Distrusted           bool   `json:"doubted,omitempty"`
	Facts                []Fact `json:"facts,omitempty"`
}

// Fact is one that a member attached to itself.
type Fact struct {
	Name    string `json:"name"`
	Value   string `json:"value"`
	Version uint32 `json:"version"`
}

// Status tells it.
func (n *Node) Status() Status {
	v, at := n.look(), n.config.Clock()
	ago := func(t membership.Micros) int64 { return (at - t) / int64(time.Millisecond/time.Microsecond) }
	s := Status{
		Name: n.config.Member.Name, Group: n.config.Group, ViewVersion: v.Version, Digest: fmt.Sprintf("%08x", v.Digest),
		Trusted: v.Trusted, AliveCount: v.AliveCount(), Datagrams: *n.counts.Load(),
	}
	if by := n.taken.Load(); by != nil {
		s.NameTakenBy = by.String()
	}
	for _, m := range v.Members {
		line := Member{
			Name: m.Name, Zone: m.Zone, Addr: m.Addr.String(), State: m.State.String(), Reachability: m.Reachability.String(),
			StateAgeMillis: ago(m.StateSince), StateReason: m.StateReason, SeenByCount: m.SeenByCount, LastContactAgeMillis: -1, StartedUnixMillis: born(m.Generation).UnixMilli(), Distrusted: m.Distrusted,
		}
		switch {
		case m.Name == s.Name:
			line.LastContactAgeMillis = 0
		case m.LastContact > 0:
			line.LastContactAgeMillis = ago(m.LastContact)
		}
		for _, f := range m.Facts {
			line.Facts = append(line.Facts, Fact{f.Name, f.Value, f.Version})
		}
		s.Members = append(s.Members, line)
	}
	return s
}
