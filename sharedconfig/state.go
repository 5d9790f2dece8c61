package sharedconfig

import (
	"cmp"
	"fmt"
	"slices"
)

// maxOutcomes is the maximum number of outcomes that are retained. A request that is repeated after its outcome was
// dropped counts as a new change. If the earlier one was accepted, or any other since, it conflicts with the active
// version; otherwise it is proposed again.
const maxOutcomes = 1024

// minMaxVersions is the lowest value of State.MaxVersions: room for the active version and the one that it replaced.
const minMaxVersions = 2

// State is the result of the log's entries up to an index. Methods return new states and never modify what a state
// refers to, so that copies stay valid.
type State struct {
	GroupID             string    `json:"group"`             // empty before the bootstrap
	MaxVersions         int       `json:"keep"`              // maximum number of versions retained
	Versions            []Version `json:"versions"`          // by ascending number; the last one is active
	PendingChange       *Change   `json:"pending,omitempty"` // proposed but not decided; nil: none
	Outcomes            []Outcome `json:"outcomes"`          // of the latest decided changes, in the order of their decisions
	RetiredDirectoryIDs []string  `json:"retired,omitempty"` // directory IDs of members that were removed or are to be removed
}

// Active returns the active version. Its number is 0 before the bootstrap.
func (s State) Active() Version {
	if len(s.Versions) == 0 {
		return Version{}
	}
	return s.Versions[len(s.Versions)-1]
}

// Version returns the retained version with the given number, and reports whether there is one.
func (s State) Version(number uint64) (Version, bool) {
	i, found := slices.BinarySearchFunc(s.Versions, number, func(v Version, number uint64) int {
		return cmp.Compare(v.Number, number)
	})
	if !found {
		return Version{}, false
	}
	return s.Versions[i], true
}

// Outcome returns the outcome of the change with the given request ID. Its status is StatusUnknown if the outcome is
// not known or no longer retained.
func (s State) Outcome(requestID string) Outcome {
	if s.PendingChange != nil && s.PendingChange.RequestID == requestID {
		return Outcome{RequestID: requestID, Status: StatusPending}
	}
	for _, outcome := range slices.Backward(s.Outcomes) {
		if outcome.RequestID == requestID {
			return outcome
		}
	}
	return Outcome{RequestID: requestID}
}

// IsRetired reports whether the instance with the given directory ID was removed from the group or is to be removed.
func (s State) IsRetired(directoryID string) bool {
	return slices.Contains(s.RetiredDirectoryIDs, directoryID)
}

// Apply returns the state after an entry, and the outcome of the change that the entry concerns, if any.
//
// The result depends on the state and the entry alone, since all members must get the same one. That includes the texts
// of outcomes, which are stored: members of different releases would diverge if a text changed.
func (s State) Apply(e Entry) (State, Outcome) {
	switch {
	case e.Bootstrap != nil && len(s.Versions) == 0:
		s.GroupID = e.Bootstrap.GroupID
		s.MaxVersions = max(minMaxVersions, e.Bootstrap.MaxVersions)
		return s.activate(e.Bootstrap.FirstChange)
	case e.Propose != nil && len(s.Versions) > 0:
		return s.propose(*e.Propose)
	case e.Decide != nil:
		return s.decide(*e.Decide)
	case e.Retire != nil && !s.IsRetired(e.Retire.DirectoryID):
		s.RetiredDirectoryIDs = append(slices.Clip(s.RetiredDirectoryIDs), e.Retire.DirectoryID)
	}
	return s, Outcome{}
}

func (s State) propose(change Change) (State, Outcome) {
	if recorded := s.Outcome(change.RequestID); recorded.Status != StatusUnknown {
		return s, recorded
	}
	outcome := Outcome{RequestID: change.RequestID}
	active := s.Active()
	switch {
	case s.PendingChange != nil: // not recorded, so that the request can be repeated
		outcome.Status = StatusBusy
		outcome.Reason = "change " + s.PendingChange.RequestID + " is under way"
		return s, outcome
	case change.ExpectedVersion != active.Number:
		outcome.Status = StatusConflict
		outcome.Reason = fmt.Sprintf("version %d is active and not %d", active.Number, change.ExpectedVersion)
		return s.recordOutcome(outcome), outcome
	case change.Digest == active.Digest && change.Text == active.Text:
		outcome.Status = StatusDone
		outcome.Version = active.Number
		outcome.Reason = "nothing to change"
		return s.recordOutcome(outcome), outcome
	}
	s.PendingChange = &change
	outcome.Status = StatusPending
	return s, outcome
}

func (s State) decide(decision Decision) (State, Outcome) {
	if s.PendingChange == nil || s.PendingChange.RequestID != decision.RequestID {
		return s, s.Outcome(decision.RequestID)
	}
	change := *s.PendingChange
	s.PendingChange = nil
	if !decision.Accept {
		outcome := Outcome{
			RequestID:  decision.RequestID,
			Status:     StatusRejected,
			RejectedBy: decision.RejectedBy,
			Reason:     decision.Reason,
		}
		return s.recordOutcome(outcome), outcome
	}
	return s.activate(change)
}

func (s State) activate(change Change) (State, Outcome) {
	version := Version{
		Number:            s.Active().Number + 1,
		Digest:            change.Digest,
		Author:            change.Author,
		Reason:            change.Reason,
		RequestedAtMillis: change.RequestedAtMillis,
		RequestID:         change.RequestID,
		RestoredVersion:   change.RestoredVersion,
		Text:              change.Text,
	}
	s.Versions = appendBounded(s.Versions, version, s.MaxVersions)
	outcome := Outcome{RequestID: change.RequestID, Status: StatusDone, Version: version.Number}
	return s.recordOutcome(outcome), outcome
}

func (s State) recordOutcome(outcome Outcome) State {
	s.Outcomes = appendBounded(s.Outcomes, outcome, maxOutcomes)
	return s
}

// appendBounded returns items with item appended, reduced to the last limit items. It does not modify the array of
// items.
func appendBounded[T any](items []T, item T, limit int) []T {
	items = append(slices.Clip(items), item)
	if len(items) > limit {
		items = slices.Clone(items[len(items)-limit:])
	}
	return items
}

// Recover returns the state of a new group that continues from this one without its other members, whose directory IDs
// are retiredIDs. A pending change is dropped, since the members that had to check it are not in the new group.
func (s State) Recover(groupID string, retiredDirectoryIDs []string) State {
	s.GroupID = groupID
	s.PendingChange = nil
	s.RetiredDirectoryIDs = append(slices.Clip(s.RetiredDirectoryIDs), retiredDirectoryIDs...)
	return s
}

// Validate returns an error if a state that was read from storage is inconsistent.
func (s State) Validate() error {
	for i, v := range s.Versions {
		if i > 0 && v.Number != s.Versions[i-1].Number+1 || v.Number == 0 {
			return fmt.Errorf("invalid version number %d at position %d: the numbers must be above 0 and consecutive", v.Number, i+1)
		}
	}
	if len(s.Versions) > 0 && (s.GroupID == "" || s.MaxVersions < minMaxVersions) {
		return fmt.Errorf("state has versions, but group ID %q and a maximum of %d versions: expected a group ID and a maximum of at least %d", s.GroupID, s.MaxVersions, minMaxVersions)
	}
	return nil
}
