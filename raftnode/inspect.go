package raftnode

import (
	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// inspect reads what the folder holds before Raft does, and says why the instance must not start from it.
func (n *Node) inspect(snapshots raft.SnapshotStore) error {
	var f sharedconfig.DataDirectory
	var err error
	if f.First, err = n.store.FirstIndex(); err != nil {
		return err
	}
	if f.Last, err = n.store.LastIndex(); err != nil {
		return err
	}
	metas, err := snapshots.List()
	if err != nil {
		return err
	}
	for _, m := range metas {
		found := sharedconfig.SnapshotFound{Name: m.ID, Index: m.Index}
		_, from, err := snapshots.Open(m.ID)
		if err == nil {
			_, err = decodeState(from)
			from.Close()
		}
		found.Err = err
		f.Snapshots = append(f.Snapshots, found)
	}
	return f.CheckUsable()
}
