package sharedconfig

import "fmt"

// DataDirectory describes the contents of an instance's data directory when the instance starts.
type DataDirectory struct {
	FirstIndex uint64         // index of the first entry of the log; 0: the log is empty
	LastIndex  uint64         // index of the last entry; 0: the log is empty
	GapBefore  uint64         // index of the entry before the log's last gap; 0: the log has no gap
	GapAfter   uint64         // index of the entry after that gap
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
	if d.GapAfter == 0 {
		return d.validateContiguous()
	}
	behindGap := d
	behindGap.FirstIndex = d.GapAfter
	if err := behindGap.validateContiguous(); err != nil {
		return fmt.Errorf("entry %d of the log follows %d: %w", d.GapAfter, d.GapBefore, err)
	}
	return nil
}

// ObsoleteUpTo returns the index up to which the log's entries must be deleted before the start, since the next entry would not
// follow them, or 0 if there are none. The directory must be valid. Such entries are included in the newest snapshot: it was
// received from the leader, and the instance ended before it had deleted them, or an earlier revision kept them.
func (d DataDirectory) ObsoleteUpTo() uint64 {
	if len(d.Snapshots) > 0 && d.Snapshots[0].Err == nil && d.LastIndex < d.Snapshots[0].LastIndex {
		return d.LastIndex
	}
	return d.GapBefore
}

// validateContiguous is Validate for a log without gaps.
func (d DataDirectory) validateContiguous() error {
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
