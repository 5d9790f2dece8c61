// Package sharedconfig decides how a few instances hold one configuration: a change in two steps, the lease without which
// none serves, and who is a member. It has no clock, input or output. Core takes events and returns actions, as the
// decisions in policy do; State is what the log of the group makes of its entries, the same at every instance.
//
// All times are microseconds on a clock of the instance's own that may start anywhere, never runs backwards and goes
// on while the process is stopped or the machine sleeps.
package sharedconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Micros is a span or a moment in microseconds.
type Micros = int64

// Version is one version of the document.
type Version struct {
	Number   uint64 `json:"number"` // from 1
	Digest   string `json:"digest"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
	At       int64  `json:"at"` // when the change was asked for, in milliseconds since 1970, by the clock of who took it
	Request  string `json:"request"`
	Restores uint64 `json:"restores,omitempty"` // the version that a roll back brought back
	Text     string `json:"text,omitempty"`
}

// Change is what somebody asks for.
type Change struct {
	Request  string `json:"request"` // names the change: one that comes again is the same
	Expect   uint64 `json:"expect"`  // the version it was made for
	Text     string `json:"text"`
	Digest   string `json:"digest"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
	At       int64  `json:"at"`
	Restores uint64 `json:"restores,omitempty"`
}

// Status is what became of a change.
type Status string

// What becomes of a change.
const (
	Unknown  Status = ""         // not known here; the same request may be asked for again
	Done     Status = "done"     // Version is active, everywhere that holds a lease
	Pending  Status = "pending"  // proposed, not decided yet
	Conflict Status = "conflict" // made for another version than the active one
	Busy     Status = "busy"     // another change is under way
	Refused  Status = "refused"  // Instance said no: Why
)

// Outcome tells it.
type Outcome struct {
	Request  string `json:"request"`
	Status   Status `json:"status"`
	Version  uint64 `json:"version,omitempty"`
	Instance string `json:"instance,omitempty"`
	Why      string `json:"why,omitempty"`
}

// Entry is an entry of the log. Exactly one field is set.
type Entry struct {
	Found   *Bootstrap `json:"found,omitempty"`
	Propose *Change    `json:"propose,omitempty"`
	Decide  *Decision  `json:"decide,omitempty"`
	Retire  *Retire    `json:"retire,omitempty"`
}

// Bootstrap begins a group with its first version.
type Bootstrap struct {
	Group string `json:"group"`
	Keep  int    `json:"keep"` // versions kept in the history
	First Change `json:"first"`
}

// Decision ends the change that is pending.
type Decision struct {
	Request  string `json:"request"`
	Accept   bool   `json:"accept"`
	Instance string `json:"instance,omitempty"` // who said no
	Why      string `json:"why,omitempty"`
}

// Retire notes a folder whose instance was removed: it must never be a member again.
type Retire struct {
	Folder string `json:"folder"`
}

// State is what the entries so far have made. Values reached through it are never changed: a copy stays what it is.
type State struct {
	Group    string    `json:"group"`
	Keep     int       `json:"keep"`
	Versions []Version `json:"versions"` // by number; the last is active
	Pending  *Change   `json:"pending,omitempty"`
	Outcomes []Outcome `json:"outcomes"` // of the newest changes, in the order they ended
	Retired  []string  `json:"retired,omitempty"`
}

// maxOutcomes is how many ended changes are known by their request. One that is asked for again later than that
// would be a new one, and then fails on the version that it expects.
const maxOutcomes = 1024

// Active is the version in force; its number is 0 before the group is founded.
func (s State) Active() Version {
	if len(s.Versions) == 0 {
		return Version{}
	}
	return s.Versions[len(s.Versions)-1]
}

// Version finds a kept version.
func (s State) Version(number uint64) (Version, bool) {
	i, ok := slices.BinarySearchFunc(s.Versions, number, func(v Version, n uint64) int {
		return int(int64(v.Number) - int64(n))
	})
	if !ok {
		return Version{}, false
	}
	return s.Versions[i], true
}

// Outcome is what became of a request, as far as it is known.
func (s State) Outcome(request string) Outcome {
	if s.Pending != nil && s.Pending.Request == request {
		return Outcome{Request: request, Status: Pending}
	}
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].Request == request {
			return s.Outcomes[i]
		}
	}
	return Outcome{Request: request}
}

// IsRetired tells whether a folder's instance was removed for good.
func (s State) IsRetired(folder string) bool { return slices.Contains(s.Retired, folder) }

// Apply makes one entry, and tells what became of the change that it concerns. Every instance that applies the same
// entries has the same state. It must depend on nothing else: neither on settings nor on what this program can read.
func (s State) Apply(e Entry) (State, Outcome) {
	switch {
	case e.Found != nil && len(s.Versions) == 0:
		s.Group, s.Keep = e.Found.Group, max(2, e.Found.Keep)
		return s.activate(e.Found.First)
	case e.Propose != nil && len(s.Versions) > 0:
		return s.propose(*e.Propose)
	case e.Decide != nil:
		return s.decide(*e.Decide)
	case e.Retire != nil && !s.IsRetired(e.Retire.Folder):
		s.Retired = append(slices.Clip(s.Retired), e.Retire.Folder)
	}
	return s, Outcome{}
}

func (s State) propose(c Change) (State, Outcome) {
	if known := s.Outcome(c.Request); known.Status != Unknown {
		return s, known
	}
	o := Outcome{Request: c.Request}
	active := s.Active()
	switch {
	case s.Pending != nil:
		o.Status, o.Why = Busy, "change "+s.Pending.Request+" is under way" // not kept: it may be asked for again
		return s, o
	case c.Expect != active.Number:
		o.Status, o.Why = Conflict, fmt.Sprintf("version %d is active and not %d", active.Number, c.Expect)
		return s.recordOutcome(o), o
	case c.Digest == active.Digest && c.Text == active.Text:
		o.Status, o.Version, o.Why = Done, active.Number, "nothing to change"
		return s.recordOutcome(o), o
	}
	s.Pending = &c
	o.Status = Pending
	return s, o
}

func (s State) decide(d Decision) (State, Outcome) {
	if s.Pending == nil || s.Pending.Request != d.Request {
		return s, s.Outcome(d.Request)
	}
	c := *s.Pending
	s.Pending = nil
	if !d.Accept {
		o := Outcome{Request: d.Request, Status: Refused, Instance: d.Instance, Why: d.Why}
		return s.recordOutcome(o), o
	}
	return s.activate(c)
}

func (s State) activate(c Change) (State, Outcome) {
	v := Version{
		Number: s.Active().Number + 1, Digest: c.Digest, Author: c.Author, Reason: c.Reason, At: c.At,
		Request: c.Request, Restores: c.Restores, Text: c.Text,
	}
	s.Versions = append(slices.Clip(s.Versions), v)
	if len(s.Versions) > s.Keep {
		s.Versions = slices.Clone(s.Versions[len(s.Versions)-s.Keep:])
	}
	o := Outcome{Request: c.Request, Status: Done, Version: v.Number}
	return s.recordOutcome(o), o
}

func (s State) recordOutcome(o Outcome) State {
	s.Outcomes = append(slices.Clip(s.Outcomes), o)
	if len(s.Outcomes) > maxOutcomes {
		s.Outcomes = slices.Clone(s.Outcomes[len(s.Outcomes)-maxOutcomes:])
	}
	return s
}

// Check tells whether a state that was read back hangs together.
func (s State) Check() error {
	for i, v := range s.Versions {
		if i > 0 && v.Number != s.Versions[i-1].Number+1 || v.Number == 0 {
			return fmt.Errorf("version %d stands where another belongs", v.Number)
		}
	}
	if len(s.Versions) > 0 && (s.Group == "" || s.Keep < 2) {
		return errors.New("versions without a group")
	}
	return nil
}

// Encode and DecodeEntry are an entry's form in the log.
func (e Entry) Encode() ([]byte, error) { return json.Marshal(e) }

// DecodeEntry reads an entry.
func DecodeEntry(text []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("entry of the log: %w", err)
	}
	return e, nil
}
