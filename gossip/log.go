package gossip

import (
	"slices"

	"github.com/sirupsen/logrus"

	"alderproxy/membership"
)

const (
	// changeJoined is the value of the log field "what" for members that joined or restarted.
	changeJoined = "came"
	// maxLoggedNames bounds the names of members in one log message.
	maxLoggedNames = 20
)

// logViewChange logs how the view changed. Each change of another member is logged by its reporter only.
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
		}).Info("fleet changed")
	}
}

func (n *Node) logTrustChange(view membership.View) {
	log := n.config.Log.WithFields(logrus.Fields{"view": view.Version, "alive": view.PresentCount()})
	if view.Trusted {
		log.Info("the view of the fleet is trusted again")
	} else {
		log.Warn("this instance may be cut off: its view of the fleet stands still")
	}
}

// changesToReport returns the names of the changed members whose reporter is this one, by the kind of change.
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
