package sharedconfig

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDataDirectoryValidate checks that an instance does not start from a data directory with missing entries or an
// unreadable snapshot, from which it would reach a state that never existed.
func TestDataDirectoryValidate(t *testing.T) {
	errRead := errors.New("bad")
	intact9 := SnapshotInfo{Name: "a", LastIndex: 9}
	unreadable15 := SnapshotInfo{Name: "b", LastIndex: 15, Err: errRead}
	for name, c := range map[string]struct {
		directory DataDirectory
		want      string // error; empty: none
	}{
		"empty": {},
		"only a log": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 9},
		},
		"only a snapshot": {
			directory: DataDirectory{Snapshots: []SnapshotInfo{intact9}},
		},
		"log overlaps the snapshot": {
			directory: DataDirectory{FirstIndex: 5, LastIndex: 20, Snapshots: []SnapshotInfo{intact9}},
		},
		"log follows the snapshot": {
			directory: DataDirectory{FirstIndex: 10, LastIndex: 20, Snapshots: []SnapshotInfo{intact9}},
		},
		"gap between snapshot and log": {
			directory: DataDirectory{FirstIndex: 11, LastIndex: 20, Snapshots: []SnapshotInfo{intact9}},
			want:      "the log begins at index 11, but snapshot a ends at index 9",
		},
		"log without a beginning": {
			directory: DataDirectory{FirstIndex: 3, LastIndex: 20},
			want:      "the log begins at index 3, and no snapshot has the entries before it",
		},
		"unreadable snapshot, log continues the older one": {
			directory: DataDirectory{FirstIndex: 5, LastIndex: 20, Snapshots: []SnapshotInfo{unreadable15, intact9}},
		},
		"unreadable snapshot, gap between the older one and the log": {
			directory: DataDirectory{FirstIndex: 12, LastIndex: 20, Snapshots: []SnapshotInfo{unreadable15, intact9}},
			want:      "cannot read snapshot b: bad; the next older snapshot ends at index 9, but the log begins at index 12",
		},
		"unreadable snapshot, no log": {
			directory: DataDirectory{Snapshots: []SnapshotInfo{unreadable15, intact9}},
			want:      "cannot read snapshot b: bad",
		},
		"unreadable snapshot, complete log": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 20, Snapshots: []SnapshotInfo{unreadable15}},
		},
		"unreadable snapshot, log without a beginning": {
			directory: DataDirectory{FirstIndex: 5, LastIndex: 20, Snapshots: []SnapshotInfo{unreadable15}},
			want:      "cannot read snapshot b: bad",
		},
	} {
		err := c.directory.Validate()
		if c.want == "" {
			assert.NoError(t, err, name)
		} else {
			assert.EqualError(t, err, c.want, name)
		}
	}
}
