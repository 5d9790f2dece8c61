package sharedconfig

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEncodedNames checks the JSON names in the log, in snapshots and in messages. They must not change with the names
// in the code, since instances of other releases read them.
func TestEncodedNames(t *testing.T) {
	change := Change{
		RequestID: "r", ExpectedVersion: 1, Text: "t", Digest: "d", Author: "a", Reason: "why", RequestedAtMillis: 5, RestoredVersion: 6,
	}
	version := Version{
		Number: 2, Digest: "d", Author: "a", Reason: "why", RequestedAtMillis: 5, RequestID: "r", RestoredVersion: 6, Text: "t",
	}
	member := Member{Name: "n1", DirectoryID: "f1", Addr: "a1", Voter: true}
	outcome := Outcome{RequestID: "r", Status: StatusRejected, Version: 2, RejectedBy: "n1", Reason: "no"}
	const (
		changeJSON  = `{"request":"r","expect":1,"text":"t","digest":"d","author":"a","reason":"why","at":5,"restores":6}`
		versionJSON = `{"number":2,"digest":"d","author":"a","reason":"why","at":5,"request":"r","restores":6,"text":"t"}`
		memberJSON  = `{"name":"n1","folder":"f1","addr":"a1","voter":true}`
		outcomeJSON = `{"request":"r","status":"refused","version":2,"instance":"n1","why":"no"}`
	)
	for want, value := range map[string]any{
		changeJSON:  change,
		versionJSON: version,
		memberJSON:  member,
		outcomeJSON: outcome,
		`{"found":{"group":"g","keep":3,"first":` + changeJSON + `}}`: Entry{
			Bootstrap: &Bootstrap{GroupID: "g", MaxVersions: 3, FirstChange: change},
		},
		`{"propose":` + changeJSON + `}`: Entry{Propose: &change},
		`{"decide":{"request":"r","accept":true,"instance":"n1","why":"no"}}`: Entry{
			Decide: &Decision{RequestID: "r", Accept: true, RejectedBy: "n1", Reason: "no"},
		},
		`{"retire":{"folder":"f1"}}`: Entry{Retire: &Retirement{DirectoryID: "f1"}},
		`{"group":"g","keep":3,"versions":[` + versionJSON + `],"pending":` + changeJSON +
			`,"outcomes":[` + outcomeJSON + `],"retired":["f1"]}`: State{
			GroupID: "g", MaxVersions: 3, Versions: []Version{version}, PendingChange: &change, Outcomes: []Outcome{outcome}, RetiredDirectoryIDs: []string{"f1"},
		},
		`{"have":2,"digest":"d"}`: PollRequest{Version: 2, Digest: "d"},
		`{"ok":true,"why":"no","group":"g","version":2,"left":7,"active":` + versionJSON + `,"voters":[` + memberJSON + `]}`: PollReply{
			Seq: 9, OK: true, Reason: "no", GroupID: "g", Version: 2, LeaseRemaining: 7, ActiveVersion: &version, Voters: []Member{member},
		},
		`{"Call":4,"OK":true,"Version":2,"Removed":true}`: LeaseReply{CallID: 4, OK: true, Version: 2, Removed: true},
	} {
		got, err := json.Marshal(value)
		require.NoError(t, err)
		assert.Equal(t, want, string(got))
	}
}
