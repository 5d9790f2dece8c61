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
		assertValidates(t, c.directory, c.want, name)
	}
}

// assertValidates asserts that Validate returns an error with the given text, or none if the text is empty.
func assertValidates(t *testing.T, directory DataDirectory, want, name string) {
	t.Helper()
	err := directory.Validate()
	if want == "" {
		assert.NoError(t, err, name)
	} else {
		assert.EqualError(t, err, want, name)
	}
}

// TestDataDirectoryValidateGap guards against a gap in the log that prevents the start although the newest snapshot covers it,
// and against one that is accepted although entries are missing.
func TestDataDirectoryValidateGap(t *testing.T) {
	intact9 := SnapshotInfo{Name: "a", LastIndex: 9}
	unreadable15 := SnapshotInfo{Name: "b", LastIndex: 15, Err: errors.New("bad")}
	for name, c := range map[string]struct {
		directory DataDirectory
		want      string // error; empty: none
	}{
		"gap that the snapshot covers": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 20, GapBefore: 4, GapAfter: 10, Snapshots: []SnapshotInfo{intact9}},
		},
		"gap beyond the snapshot": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 20, GapBefore: 10, GapAfter: 12, Snapshots: []SnapshotInfo{intact9}},
			want:      "entry 12 of the log follows 10: the log begins at index 12, but snapshot a ends at index 9",
		},
		"gap without a snapshot": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 20, GapBefore: 4, GapAfter: 10},
			want:      "entry 10 of the log follows 4: the log begins at index 10, and no snapshot has the entries before it",
		},
		"gap that only an unreadable snapshot covers": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 20, GapBefore: 4, GapAfter: 16, Snapshots: []SnapshotInfo{unreadable15, intact9}},
			want:      "entry 16 of the log follows 4: cannot read snapshot b: bad; the next older snapshot ends at index 9, but the log begins at index 16",
		},
	} {
		assertValidates(t, c.directory, c.want, name)
	}
}

// TestDataDirectoryObsoleteUpTo guards against a log that keeps entries which the next one would not follow, so that the
// instance cannot start again.
func TestDataDirectoryObsoleteUpTo(t *testing.T) {
	intact9 := SnapshotInfo{Name: "a", LastIndex: 9}
	for name, c := range map[string]struct {
		directory DataDirectory
		want      uint64
	}{
		"empty":                             {},
		"only a log":                        {directory: DataDirectory{FirstIndex: 1, LastIndex: 9}},
		"only a snapshot":                   {directory: DataDirectory{Snapshots: []SnapshotInfo{intact9}}},
		"log that ends with the snapshot":   {directory: DataDirectory{FirstIndex: 5, LastIndex: 9, Snapshots: []SnapshotInfo{intact9}}},
		"log that ends before the snapshot": {directory: DataDirectory{FirstIndex: 2, LastIndex: 8, Snapshots: []SnapshotInfo{intact9}}, want: 8},
		"log that ends before an unreadable snapshot": {
			directory: DataDirectory{FirstIndex: 1, LastIndex: 8, Snapshots: []SnapshotInfo{{LastIndex: 9, Err: errors.New("bad")}}},
		},
		"gap": {
			directory: DataDirectory{FirstIndex: 2, LastIndex: 12, GapBefore: 4, GapAfter: 10, Snapshots: []SnapshotInfo{intact9}},
			want:      4,
		},
	} {
		assert.Equal(t, c.want, c.directory.ObsoleteUpTo(), name)
	}
}
