package sharedconfig

import "fmt"

// DataDirectory describes the contents of an instance's data directory at its start.
type DataDirectory struct {
	First     uint64          // index of the first entry of the log; 0: the log is empty
	Last      uint64          // index of the last entry; 0: the log is empty
	Snapshots []SnapshotFound // newest first
}

// SnapshotFound describes a snapshot in a data directory.
type SnapshotFound struct {
	Name  string
	Index uint64 // index of the last entry that the snapshot includes
	Err   error  // why the snapshot cannot be read; nil: it is intact
}

// CheckUsable returns an error if an instance must not start from the data directory. An older snapshot replaces a
// corrupt one only if the log continues from it: with a gap, the instance would get a state that never existed.
func (d DataDirectory) CheckUsable() error {
	var corrupt error
	for _, snapshot := range d.Snapshots {
		if snapshot.Err == nil {
			return d.checkStart(snapshot, corrupt)
		}
		corrupt = fmt.Errorf("snapshot %s is spoilt: %w", snapshot.Name, snapshot.Err)
	}
	if corrupt != nil && d.First != 1 {
		return corrupt
	}
	if d.First > 1 {
		return fmt.Errorf("the log begins at entry %d and there is no snapshot before it", d.First)
	}
	return nil
}

// checkStart returns an error if an instance must not start from the newest intact snapshot. corrupt is the error
// of the corrupt snapshot before it; nil: there is none.
func (d DataDirectory) checkStart(snapshot SnapshotFound, corrupt error) error {
	hasGap := d.Last > 0 && d.First > snapshot.Index+1
	switch {
	case hasGap && corrupt != nil:
		return fmt.Errorf("%w; the one before it ends at entry %d and the log begins at %d", corrupt, snapshot.Index, d.First)
	case hasGap:
		return fmt.Errorf("the log begins at entry %d and snapshot %s ends at %d", d.First, snapshot.Name, snapshot.Index)
	case d.Last == 0:
		return corrupt
	}
	return nil
}
