package sharedconfig

import (
	"encoding/json"
	"fmt"
)

// Entry is the data of an entry of the Raft log. Exactly one field is set.
type Entry struct {
	Bootstrap *Bootstrap  `json:"found,omitempty"`
	Propose   *Change     `json:"propose,omitempty"`
	Decide    *Decision   `json:"decide,omitempty"`
	Retire    *Retirement `json:"retire,omitempty"`
}

// Bootstrap creates a group with its first version.
type Bootstrap struct {
	GroupID     string `json:"group"`
	MaxVersions int    `json:"keep"` // maximum number of versions retained
	FirstChange Change `json:"first"`
}

// Decision accepts or rejects the pending change.
type Decision struct {
	RequestID  string `json:"request"`
	Accept     bool   `json:"accept"`
	RejectedBy string `json:"instance,omitempty"` // name of the member that rejected the change; empty: none did
	Reason     string `json:"why,omitempty"`      // why the change was rejected
}

// Retirement records the directory ID of an instance that is to be removed and can never become a member again.
type Retirement struct {
	DirectoryID string `json:"folder"`
}

// Encode returns the entry as it is stored in the log. DecodeEntry is the inverse.
func (e Entry) Encode() ([]byte, error) { return json.Marshal(e) }

// DecodeEntry parses an entry as it is stored in the log.
func DecodeEntry(text []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("cannot decode a log entry: %w", err)
	}
	return e, nil
}
