package sharedconfig

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDataDirectoryValidate(t *testing.T) {
	errChecksum := errors.New("bad")
	intact9 := SnapshotInfo{Name: "a", LastIndex: 9}
	corrupt15 := SnapshotInfo{Name: "b", LastIndex: 15, Err: errChecksum}
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
		"gap": {
			directory: DataDirectory{FirstIndex: 11, LastIndex: 20, Snapshots: []SnapshotInfo{intact9}},
			want:      "the log begins at entry 11 and snapshot a ends at 9",
		},
		"log without a beginning": {
			directory: DataDirectory{FirstIndex: 3, LastIndex: 20},
			want:      "the log begins at entry 3 and there is no snapshot before it",
		},
		"corrupt, older one fits": {
			directory: DataDirectory{FirstIndex: 5, LastIndex: 20, Snapshots: []SnapshotInfo{corrupt15, intact9}},
		},
		"corrupt, gap behind the older one": {
			directory: DataDirectory{FirstIndex: 12, LastIndex: 20, Snapshots: []SnapshotInfo{corrupt15, intact9}},
			want:      "snapshot b is corrupt: bad; the one before it ends at entry 9 and the log begins at 12",
		},
		"corrupt, no log": {
			directory: DataDirectory{Snapshots: []SnapshotInfo{corrupt15, intact9}},
			want:      "snapshot b is corrupt: bad",
		},
		"corrupt, complete log": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 20, Snapshots: []SnapshotInfo{corrupt15}},
		},
		"corrupt, rest of a log": {
			directory: DataDirectory{FirstIndex: 5, LastIndex: 20, Snapshots: []SnapshotInfo{corrupt15}},
			want:      "snapshot b is corrupt: bad",
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
