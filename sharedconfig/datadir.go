package sharedconfig

import "fmt"

// DataDirectory describes the contents of an instance's data directory when the instance starts.
type DataDirectory struct {
	FirstIndex uint64         // index of the first entry of the log; 0: the log is empty
	LastIndex  uint64         // index of the last entry; 0: the log is empty
	Snapshots  []SnapshotInfo // newest first
}

// SnapshotInfo describes a snapshot in a data directory.
type SnapshotInfo struct {
	Name      string
	LastIndex uint64 // index of the last entry that the snapshot includes
	Err       error  // why the snapshot cannot be read; nil: it is intact
}

// Validate returns an error if the instance must not start from the data directory. An older snapshot can replace an
// unreadable one only if the log continues from it: across a gap, the instance would reach a state that never existed.
func (d DataDirectory) Validate() error {
	var unreadable error
	for _, snapshot := range d.Snapshots {
		if snapshot.Err == nil {
			return d.checkStart(snapshot, unreadable)
		}
		unreadable = fmt.Errorf("cannot read snapshot %s: %w", snapshot.Name, snapshot.Err)
	}
	if unreadable != nil && d.FirstIndex != 1 {
		return unreadable
	}
	if d.FirstIndex > 1 {
		return fmt.Errorf("the log begins at index %d, and no snapshot has the entries before it", d.FirstIndex)
	}
	return nil
}

// checkStart returns an error if the instance must not start from snapshot, its newest intact one. unreadable is the
// error of the unreadable snapshot that is newer, or nil if there is none.
func (d DataDirectory) checkStart(snapshot SnapshotInfo, unreadable error) error {
	hasGap := d.LastIndex > 0 && d.FirstIndex > snapshot.LastIndex+1
	switch {
	case hasGap && unreadable != nil:
		return fmt.Errorf("%w; the next older snapshot ends at index %d, but the log begins at index %d", unreadable, snapshot.LastIndex, d.FirstIndex)
	case hasGap:
		return fmt.Errorf("the log begins at index %d, but snapshot %s ends at index %d", d.FirstIndex, snapshot.Name, snapshot.LastIndex)
	case d.LastIndex == 0:
		return unreadable
	}
	return nil
}
