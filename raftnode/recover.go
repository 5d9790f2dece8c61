package raftnode

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// RecoveryReport is what a folder holds, for who must decide whether to go on from it alone.
type RecoveryReport struct {
	Name    string
	Members []sharedconfig.Member
	Last    uint64 // newest entry of the log
	Term    uint64
	State   sharedconfig.State
}

// recovered is the machine that a group is begun anew from. What it snapshots belongs to a group of its own, in
// which the folders of the other members are retired: should they come back, they and this one must not mix.
type recovered struct {
	machine
	group   string
	retired []string
}

func (r *recovered) Snapshot() (raft.FSMSnapshot, error) {
	s, _ := r.now()
	return snapshot(s.Recover(r.group, r.retired)), nil
}

// Examine reads what a folder holds. It changes nothing.
func Examine(folder, name string) (RecoveryReport, error) {
	if _, err := os.Stat(filepath.Join(folder, fileName)); err != nil {
		return RecoveryReport{}, fmt.Errorf("folder: %w", err)
	}
	n, _, rem, err := remains(folder, name)
	if err != nil {
		return rem, err
	}
	return rem, n.store.Close()
}

func remains(folder, name string) (n *Node, snaps raft.SnapshotStore, rem RecoveryReport, err error) {
	n = &Node{serving: newServing(Config{DataDirectory: folder, Name: name})}
	if n.store, n.id, err = openDataDirectory(folder, name); err != nil {
		return n, nil, rem, err
	}
	defer func() {
		if err != nil {
			n.store.Close()
			err = fmt.Errorf("folder %s: %w", folder, err)
		}
	}()
	if snaps, err = raft.NewFileSnapshotStoreWithLogger(folder, retainedSnapshots, hclog.NewNullLogger()); err != nil {
		return n, nil, rem, err
	}
	if err = n.inspect(snaps); err != nil {
		return n, snaps, rem, err
	}
	rem.Name = name
	var m machine
	m.tell = func(sharedconfig.Event) {}
	var members raft.Configuration
	after := uint64(0)
	if metas, err := snaps.List(); err == nil && len(metas) > 0 {
		meta, from, err := snaps.Open(metas[0].ID)
		if err != nil {
			return n, snaps, rem, err
		}
		if err := m.Restore(from); err != nil {
			return n, snaps, rem, err
		}
		after, members, rem.Last, rem.Term = meta.Index, meta.Configuration, meta.Index, meta.Term
	}
	last, err := n.store.LastIndex()
	if err != nil {
		return n, snaps, rem, err
	}
	for i := after + 1; i <= last; i++ {
		var l raft.Log
		if err := n.store.GetLog(i, &l); err != nil {
			return n, snaps, rem, err
		}
		switch l.Type {
		case raft.LogConfiguration:
			members = raft.DecodeConfiguration(l.Data)
		case raft.LogCommand:
			m.Apply(&l)
		}
		rem.Last, rem.Term = l.Index, l.Term
	}
	for _, s := range members.Servers {
		if name, folder, err := parseServerID(string(s.ID)); err == nil {
			rem.Members = append(rem.Members, sharedconfig.Member{Name: name, Folder: folder, Addr: string(s.Address), Voter: s.Suffrage == raft.Voter})
		}
	}
	rem.State, _ = m.now()
	return n, snaps, rem, nil
}

// RecoverUnsafe makes an instance the only member of a new group that goes on from what its folder holds, also from
// entries of which nobody knows whether they were agreed on. It is for when a majority is gone for good.
func RecoverUnsafe(folder, name, address string) error {
	n, snaps, rem, err := remains(folder, name)
	if err != nil {
		return err
	}
	defer n.store.Close()
	if removed, err := n.store.Metadata(selfRemoved); err != nil || removed != "" {
		return fmt.Errorf("folder %s: this instance was removed from its group: nothing goes on from it", folder)
	}
	if rem.State.Active().Number == 0 {
		return fmt.Errorf("folder %s: no version is in it", folder)
	}
	m := &recovered{group: randomHex(8)}
	m.tell = func(sharedconfig.Event) {}
	for _, o := range rem.Members {
		if serverID(o.Name, o.Folder) != n.id {
			m.retired = append(m.retired, o.Folder)
		}
	}
	slices.Sort(m.retired)
	conf := raft.DefaultConfig()
	conf.LocalID, conf.Logger = n.id, hclog.NewNullLogger()
	only := raft.Configuration{Servers: []raft.Server{{ID: n.id, Address: raft.ServerAddress(address)}}}
	t := &transport{addr: raft.ServerAddress(address), calls: make(chan raft.RPC)}
	if err := raft.RecoverCluster(conf, m, n.store, n.store, snaps, t, only); err != nil {
		return fmt.Errorf("folder %s: %w", folder, err)
	}
	return n.store.SetMetadata(selfGroup, m.group)
}
