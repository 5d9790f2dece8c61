package sharedconfig

// Version is one committed version of the document.
type Version struct {
	Number          uint64 `json:"number"` // from 1
	Digest          string `json:"digest"`
	Author          string `json:"author"`
	Reason          string `json:"reason"`
	RequestedAt     int64  `json:"at"`                 // Unix time of the change request in ms, by the clock of its recipient
	RequestID       string `json:"request"`            // ID of the change that made the version
	RestoredVersion uint64 `json:"restores,omitempty"` // number of the version that a rollback restored; 0: no rollback
	Text            string `json:"text,omitempty"`
}

// Change is a requested change of the document.
type Change struct {
	RequestID       string `json:"request"` // request ID; a change with a known ID is a duplicate of the earlier one
	ExpectedVersion uint64 `json:"expect"`  // number of the version that the change is based on
	Text            string `json:"text"`
	Digest          string `json:"digest"`
	Author          string `json:"author"`
	Reason          string `json:"reason"`
	RequestedAt     int64  `json:"at"`                 // Unix time of the request in ms
	RestoredVersion uint64 `json:"restores,omitempty"` // number of the version that a rollback restores; 0: no rollback
}

// Status is the status of a change.
type Status string

// The statuses of a change.
const (
	StatusUnknown  Status = ""         // not known to this instance; the same request may be repeated
	StatusDone     Status = "done"     // the version is active on every instance that holds a lease for it
	StatusPending  Status = "pending"  // proposed and not decided yet
	StatusConflict Status = "conflict" // based on another version than the active one
	StatusBusy     Status = "busy"     // another change is in progress
	StatusRejected Status = "refused"  // rejected by an instance, or not checked by a majority
)

// Outcome is the result of a change or of a membership change.
type Outcome struct {
	RequestID  string `json:"request"`
	Status     Status `json:"status"`
	Version    uint64 `json:"version,omitempty"`  // Done: number of the active version
	RejectedBy string `json:"instance,omitempty"` // Rejected: name of the instance that rejected the change
	Reason     string `json:"why,omitempty"`      // reason, for people
}

// Member is an instance of the group.
type Member struct {
	Name       string `json:"name"`
	InstanceID string `json:"folder"` // instance ID of its data directory
	Addr       string `json:"addr"`
	Voter      bool   `json:"voter"`
}
