package gossip

import (
	"fmt"

	"alderproxy/membership"
)

// microsPerMilli is the number of microseconds in a millisecond.
const microsPerMilli = 1000

// neverContacted is the LastContactAgeMillis of a member from which no message was received.
const neverContacted = -1

// Status is a node's view of its group, for operators.
type Status struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	// ViewVersion is the number of changes of this node's view so far.
	ViewVersion uint64 `json:"view"`
	// Digest is the hash of the present members, in hex.
	Digest string `json:"digest"`
	// Trusted is false while this node may be isolated. It then declares no other member dead.
	Trusted bool `json:"trusted"`
	// NameTakenBy is the address of the other member that owns this node's name. It is empty if there is none.
	NameTakenBy string `json:"taken,omitempty"`
	// AliveCount is the number of members that are present, suspects included.
	AliveCount int            `json:"alive"`
	Members    []Member       `json:"members"`
	Datagrams  DatagramCounts `json:"datagrams"`
}

// Member is a member in a Status. Ages are in milliseconds and measured by the clock of the reporting node.
type Member struct {
	Name           string `json:"name"`
	Zone           string `json:"zone,omitempty"`
	Addr           string `json:"addr"`
	State          string `json:"state"`
	Reachability   string `json:"reach"`
	StateAgeMillis int64  `json:"since_ms"`
	StateReason    string `json:"why,omitempty"`
	// SeenByCount is the number of members, the reporting node included, that it knows to have recently received an ack
	// from this one.
	SeenByCount int `json:"seen_by"`
	// LastContactAgeMillis is the time since the reporting node last received a message directly from this member; -1 if
	// never, 0 for the reporting node itself.
	LastContactAgeMillis int64 `json:"heard_ms"`
	// StartedUnixMillis is the start time of the member's process in Unix time, by its own clock.
	StartedUnixMillis int64 `json:"started"`
	// Distrusted reports whether the member's accusations are ignored because too many of them were refuted.
	Distrusted bool   `json:"doubted,omitempty"`
	Facts      []Fact `json:"facts,omitempty"`
}

// Fact is a fact that a member has published about itself.
type Fact struct {
	Name    string `json:"name"`
	Value   string `json:"value"`
	Version uint32 `json:"version"`
}

// Status returns the current status of the node and of the members that it knows.
func (n *Node) Status() Status {
	view := n.snapshot()
	now := n.config.Clock()
	status := Status{
		Name:        n.config.Member.Name,
		Group:       n.config.Group,
		ViewVersion: view.Version,
		Digest:      fmt.Sprintf("%08x", view.Digest),
		Trusted:     view.Trusted,
		AliveCount:  view.PresentCount(),
		Datagrams:   *n.counts.Load(),
	}
	if owner := n.nameTakenBy.Load(); owner != nil {
		status.NameTakenBy = owner.String()
	}
	for _, member := range view.Members {
		status.Members = append(status.Members, n.memberStatus(member, now))
	}
	return status
}

func (n *Node) memberStatus(member membership.Member, now membership.Micros) Member {
	status := Member{
		Name:                 member.Name,
		Zone:                 member.Zone,
		Addr:                 member.Addr.String(),
		State:                member.State.String(),
		Reachability:         member.Reachability.String(),
		StateAgeMillis:       (now - member.StateSince) / microsPerMilli,
		StateReason:          member.StateReason,
		SeenByCount:          member.SeenByCount,
		LastContactAgeMillis: neverContacted,
		StartedUnixMillis:    generationStart(member.Generation).UnixMilli(),
		Distrusted:           member.Distrusted,
	}
	switch {
	case member.Name == n.config.Member.Name:
		status.LastContactAgeMillis = 0
	case member.LastContact > 0:
		status.LastContactAgeMillis = (now - member.LastContact) / microsPerMilli
	}
	for _, fact := range member.Facts {
		status.Facts = append(status.Facts, Fact{Name: fact.Name, Value: fact.Value, Version: fact.Version})
	}
	return status
}
