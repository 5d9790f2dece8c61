package gossip

import (
	"slices"

	"github.com/sirupsen/logrus"

	"alderproxy/membership"
)

const (
	// changeJoined is the value of the log field "what" for members that joined, returned or restarted.
	changeJoined = "came"
	// maxLoggedNames is the maximum number of member names in a log line.
	maxLoggedNames = 20
)

// logViewChange logs the differences between two views: a change of trust, and the changes of the members that this one
// reports, so that in a large group each change is logged once.
func (n *Node) logViewChange(previous, current membership.View) {
	if previous.Version > 0 && previous.Trusted != current.Trusted {
		n.logTrustChange(current)
	}
	changes := n.changesToReport(previous, current)
	for _, change := range []string{changeJoined, membership.StateDead.String(), membership.StateLeft.String()} {
		names := changes[change]
		if len(names) == 0 {
			continue
		}
		slices.Sort(names)
		n.config.Log.WithFields(logrus.Fields{
			"what":    change,
			"members": names[:min(len(names), maxLoggedNames)],
			"count":   len(names),
			"alive":   current.PresentCount(),
			"view":    current.Version,
		}).Info("membership changed")
	}
}

// logTrustChange logs that this node's view became trusted or untrusted.
func (n *Node) logTrustChange(view membership.View) {
	log := n.config.Log.WithFields(logrus.Fields{"view": view.Version, "alive": view.PresentCount()})
	if view.Trusted {
		log.Info("membership view is trusted again")
	} else {
		log.Warn("membership view is not trusted: this instance may be isolated and declares no other member dead")
	}
}

// changesToReport returns the names of the other members that joined, left or died between two views and whose reporter
// is this member, by the value of the log field "what".
func (n *Node) changesToReport(previous, current membership.View) map[string][]string {
	self := membership.IDFromName(n.config.Member.Name)
	changes := map[string][]string{}
	for _, member := range current.Members {
		if member.ID == self || current.Reporter(member.ID) != self {
			continue
		}
		before, known := previous.Find(member.Name)
		wasPresent := known && before.State.Present()
		switch {
		case !member.State.Present():
			if wasPresent {
				change := member.State.String()
				changes[change] = append(changes[change], member.Name)
			}
		case !known:
			if previous.Version > 0 {
				changes[changeJoined] = append(changes[changeJoined], member.Name)
			}
		case !wasPresent || before.Generation != member.Generation:
			changes[changeJoined] = append(changes[changeJoined], member.Name)
		}
	}
	return changes
}
