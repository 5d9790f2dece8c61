package sharedconfig

import (
	"encoding/json"
	"fmt"
)

// Entry is an entry of the replicated log. Exactly one field is set.
type Entry struct {
	Bootstrap *Bootstrap  `json:"found,omitempty"`
	Propose   *Change     `json:"propose,omitempty"`
	Decide    *Decision   `json:"decide,omitempty"`
	Retire    *Retirement `json:"retire,omitempty"`
}

// Bootstrap creates a group with its first version.
type Bootstrap struct {
	GroupID     string `json:"group"`
	MaxVersions int    `json:"keep"` // number of versions retained in the history
	FirstChange Change `json:"first"`
}

// Decision commits or rejects the pending change.
type Decision struct {
	RequestID  string `json:"request"`
	Accept     bool   `json:"accept"`
	RejectedBy string `json:"instance,omitempty"` // name of the instance that rejected it
	Reason     string `json:"why,omitempty"`      // reason of a rejection
}

// Retirement records the ID of a removed instance, which must never become a member again.
type Retirement struct {
	InstanceID string `json:"folder"`
}

// Encode returns the entry in its form in the log, which DecodeEntry reads.
func (e Entry) Encode() ([]byte, error) { return json.Marshal(e) }

// DecodeEntry parses an entry of the log.
func DecodeEntry(text []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("entry of the log: %w", err)
	}
	return e, nil
}
