package sharedconfig

import "fmt"

// DataDirectory is what an instance's folder holds, as it was read at the start.
type DataDirectory struct {
	First, Last uint64 // entries of the log; 0: none
	Snapshots   []SnapshotFound
}

// SnapshotFound is one snapshot, the newest first.
type SnapshotFound struct {
	Name  string
	Index uint64 // of the last entry that it holds
	Err   error  // what is wrong with it
}

// CheckUsable says why an instance must not start from a folder. Older snapshots stand in for a spoilt one only as far as
// the log goes on behind them: a gap would leave the instance with a state that never was.
func (f DataDirectory) CheckUsable() error {
	var spoilt error
	for _, s := range f.Snapshots {
		if s.Err != nil {
			spoilt = fmt.Errorf("snapshot %s is spoilt: %w", s.Name, s.Err)
			continue
		}
		if f.Last > 0 && f.First > s.Index+1 {
			if spoilt != nil {
				return fmt.Errorf("%w; the one before it ends at entry %d and the log begins at %d", spoilt, s.Index, f.First)
			}
			return fmt.Errorf("the log begins at entry %d and snapshot %s ends at %d", f.First, s.Name, s.Index)
		}
		if spoilt != nil && f.Last == 0 {
			return spoilt
		}
		return nil
	}
	if spoilt != nil && f.First != 1 {
		return spoilt
	}
	if f.First > 1 {
		return fmt.Errorf("the log begins at entry %d and there is no snapshot before it", f.First)
	}
	return nil
}

// Recover is the state of a new group that goes on from this one without its other members. A change that was
// pending is dropped: nobody is left to check it with.
func (s State) Recover(group string, retired []string) State {
	s.Group, s.Pending = group, nil
	s.Retired = append(s.Retired[:len(s.Retired):len(s.Retired)], retired...)
	return s
}
