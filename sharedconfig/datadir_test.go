package sharedconfig

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDataDirectoryCheckUsable(t *testing.T) {
	errChecksum := errors.New("bad")
	intact9 := SnapshotFound{Name: "a", Index: 9}
	corrupt15 := SnapshotFound{Name: "b", Index: 15, Err: errChecksum}
	for name, c := range map[string]struct {
		directory DataDirectory
		want      string // error; empty: none
	}{
		"empty": {},
		"only a log": {
			directory: DataDirectory{First: 1, Last: 9},
		},
		"only a snapshot": {
			directory: DataDirectory{Snapshots: []SnapshotFound{intact9}},
		},
		"log overlaps the snapshot": {
			directory: DataDirectory{First: 5, Last: 20, Snapshots: []SnapshotFound{intact9}},
		},
		"log follows the snapshot": {
			directory: DataDirectory{First: 10, Last: 20, Snapshots: []SnapshotFound{intact9}},
		},
		"gap": {
			directory: DataDirectory{First: 11, Last: 20, Snapshots: []SnapshotFound{intact9}},
			want:      "the log begins at entry 11 and snapshot a ends at 9",
		},
		"log without a beginning": {
			directory: DataDirectory{First: 3, Last: 20},
			want:      "the log begins at entry 3 and there is no snapshot before it",
		},
		"corrupt, older one fits": {
			directory: DataDirectory{First: 5, Last: 20, Snapshots: []SnapshotFound{corrupt15, intact9}},
		},
		"corrupt, gap behind the older one": {
			directory: DataDirectory{First: 12, Last: 20, Snapshots: []SnapshotFound{corrupt15, intact9}},
			want:      "snapshot b is spoilt: bad; the one before it ends at entry 9 and the log begins at 12",
		},
		"corrupt, no log": {
			directory: DataDirectory{Snapshots: []SnapshotFound{corrupt15, intact9}},
			want:      "snapshot b is spoilt: bad",
		},
		"corrupt, complete log": {
			directory: DataDirectory{First: 1, Last: 20, Snapshots: []SnapshotFound{corrupt15}},
		},
		"corrupt, rest of a log": {
			directory: DataDirectory{First: 5, Last: 20, Snapshots: []SnapshotFound{corrupt15}},
			want:      "snapshot b is spoilt: bad",
		},
	} {
		err := c.directory.CheckUsable()
		if c.want == "" {
			assert.NoError(t, err, name)
		} else {
			assert.EqualError(t, err, c.want, name)
		}
	}
}
