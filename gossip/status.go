package gossip

import (
	"fmt"
	"time"

	"alderproxy/membership"
)

// Status is how an instance sees its fleet, for operators.
type Status struct {
	Name    string   `json:"name"`
	Group   string   `json:"group"`
	View    uint64   `json:"view"` // counts this instance's views
	Digest  string   `json:"digest"`
	Trusted bool     `json:"trusted"` // false: it may be cut off, and its view stands still
	Taken   string   `json:"taken,omitempty"`
	Alive   int      `json:"alive"`
	Members []Member `json:"members"`
	Counts  Counts   `json:"datagrams"`
}

// Member is one line of it. Spans are in milliseconds, by the clock of the instance that tells.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Addr    string `json:"addr"`
	State   string `json:"state"`
	Reach   string `json:"reach"`
	Since   int64  `json:"since_ms"`
	Why     string `json:"why,omitempty"`
	SeenBy  int    `json:"seen_by"`
	Heard   int64  `json:"heard_ms"` // -1: never by this instance itself
	Started int64  `json:"started"`  // in milliseconds since 1970, by its own clock
	Doubted bool   `json:"doubted,omitempty"`
	Facts   []Fact `json:"facts,omitempty"`
}

// Fact is one that a member attached to itself.
type Fact struct {
	Name    string `json:"name"`
	Value   string `json:"value"`
	Version uint32 `json:"version"`
}

// Status tells it.
func (n *Node) Status() Status {
	v, at := n.look(), n.config.Now()
	ago := func(t membership.Micros) int64 { return (at - t) / int64(time.Millisecond/time.Microsecond) }
	s := Status{
		Name: n.config.Member.Name, Group: n.config.Group, View: v.Version, Digest: fmt.Sprintf("%08x", v.Digest),
		Trusted: v.Trusted, Alive: v.Alive(), Counts: *n.counts.Load(),
	}
	if by := n.taken.Load(); by != nil {
		s.Taken = by.String()
	}
	for _, m := range v.Members {
		line := Member{
			Name: m.Name, Zone: m.Zone, Addr: m.Addr.String(), State: m.Standing.String(), Reach: m.Reach.String(),
			Since: ago(m.Since), Why: m.Why, SeenBy: m.SeenBy, Heard: -1, Started: born(m.Birth).UnixMilli(), Doubted: m.Doubted,
		}
		switch {
		case m.Name == s.Name:
			line.Heard = 0
		case m.LastHeardAt > 0:
			line.Heard = ago(m.LastHeardAt)
		}
		for _, f := range m.Facts {
			line.Facts = append(line.Facts, Fact{f.Name, f.Value, f.Version})
		}
		s.Members = append(s.Members, line)
	}
	return s
}
