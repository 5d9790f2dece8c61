package sharedconfig

// Version is the active version of the document or an earlier one.
type Version struct {
	Number            uint64 `json:"number"` // from 1
	Digest            string `json:"digest"`
	Author            string `json:"author"`
	Reason            string `json:"reason"`
	RequestedAtMillis int64  `json:"at"`                 // Unix time of the change request in ms, on the clock of its recipient
	RequestID         string `json:"request"`            // ID of the change request that created the version
	RestoredVersion   uint64 `json:"restores,omitempty"` // number of the version that a rollback restored; 0: not a rollback
	Text              string `json:"text,omitempty"`
}

// Change is a requested change of the document.
type Change struct {
	RequestID         string `json:"request"` // a change with a known ID is a duplicate of the earlier one
	ExpectedVersion   uint64 `json:"expect"`  // number of the version that the change is based on
	Text              string `json:"text"`
	Digest            string `json:"digest"`
	Author            string `json:"author"`
	Reason            string `json:"reason"`
	RequestedAtMillis int64  `json:"at"`                 // Unix time of the request in ms
	RestoredVersion   uint64 `json:"restores,omitempty"` // number of the version that a rollback restores; 0: not a rollback
}

// Status is the status of a change or of a membership change.
type Status string

// The values of Status. After StatusDone, other instances may still serve the previous version within the staleness bound.
const (
	StatusUnknown  Status = ""         // this instance knows no outcome; the request may be repeated
	StatusDone     Status = "done"     // the change is accepted or has nothing to change, or the membership change is complete
	StatusPending  Status = "pending"  // proposed but not decided
	StatusConflict Status = "conflict" // based on a version other than the active one
	StatusBusy     Status = "busy"     // another change is in progress
	StatusRejected Status = "refused"  // rejected by a member, not accepted by a majority of the voters, or not permitted
)

// Outcome is the result of a change or of a membership change.
type Outcome struct {
	RequestID  string `json:"request"`
	Status     Status `json:"status"`
	Version    uint64 `json:"version,omitempty"`  // StatusDone: number of the version that the change created, or of the active one if there was nothing to change
	RejectedBy string `json:"instance,omitempty"` // StatusRejected: name of the member that rejected the change, if any did
	Reason     string `json:"why,omitempty"`      // explanation for operators
}

// Member is an instance in the Raft group.
type Member struct {
	Name        string `json:"name"`
	DirectoryID string `json:"folder"` // ID of the data directory: the member gets another one with a new data directory
	Addr        string `json:"addr"`
	Voter       bool   `json:"voter"`
}
