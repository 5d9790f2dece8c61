package raftnode

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// RecoveryReport describes the contents of a data directory, for the decision whether to recover a group from it.
type RecoveryReport struct {
	Name         string                // of the instance
	Members      []sharedconfig.Member // by the newest configuration in the log or a snapshot
	LastLogIndex uint64                // index of the last entry of the log, or of the snapshot if that includes later ones
	LastLogTerm  uint64                // of that entry
	State        sharedconfig.State    // after that entry, committed or not
}

// ReadRecoveryReport describes the contents of an instance's data directory. It changes neither the log nor the snapshots.
// The instance must not run.
func ReadRecoveryReport(path, name string) (RecoveryReport, error) {
	if _, err := os.Stat(filepath.Join(path, databaseFileName)); err != nil {
		return RecoveryReport{}, fmt.Errorf("cannot open the data directory: %w", err)
	}
	source, err := openRecoverySource(path, name)
	if err != nil {
		return RecoveryReport{}, err
	}
	return source.report, source.directory.close()
}

// RecoverUnsafe makes an instance the only member of a new group, whose state includes all entries of the instance's log,
// committed or not. It is for a group that has lost the majority of its voters for good. The instance must not run.
func RecoverUnsafe(path, name, address string) (err error) {
	source, err := openRecoverySource(path, name)
	if err != nil {
		return err
	}
	directory := source.directory
	defer func() { err = errors.Join(err, directory.close()) }()
	if removed, err := directory.isRemoved(); err != nil || removed {
		return directory.wrapError(fmt.Errorf("%w: no group can be recovered from it", ErrRemoved))
	}
	if source.report.State.Active().Number == 0 {
		return directory.wrapError(ErrNoVersion)
	}
	groupID := randomHex(groupIDSize)
	if err := source.recoverCluster(groupID, address); err != nil {
		return directory.wrapError(err)
	}
	return directory.setGroupID(groupID)
}

// recoverySource is an open data directory whose snapshots and log have been read.
type recoverySource struct {
	directory *dataDirectory
	snapshots raft.SnapshotStore
	report    RecoveryReport
}

func openRecoverySource(path, name string) (*recoverySource, error) {
	directory, err := openDataDirectory(path, name)
	if err != nil {
		return nil, err
	}
	source := &recoverySource{directory: directory}
	source.snapshots, err = directory.openSnapshots(hclog.NewNullLogger())
	if err == nil {
		source.report, err = source.replay(name)
	}
	if err != nil {
		directory.closeAfterError()
		return nil, directory.wrapError(err)
	}
	return source, nil
}

// replay restores the newest snapshot and applies all entries after it.
func (r *recoverySource) replay(name string) (RecoveryReport, error) {
	report := RecoveryReport{Name: name}
	machine := &stateMachine{notify: func(sharedconfig.Event) {}}
	members, err := r.restoreSnapshot(machine, &report)
	if err != nil {
		return report, err
	}
	store := r.directory.store
	lastIndex, err := store.LastIndex()
	if err != nil {
		return report, err
	}
	for index := report.LastLogIndex + 1; index <= lastIndex; index++ {
		var entry raft.Log
		if err := store.GetLog(index, &entry); err != nil {
			return report, err
		}
		switch entry.Type {
		case raft.LogConfiguration:
			members = raft.DecodeConfiguration(entry.Data)
		case raft.LogCommand:
			machine.Apply(&entry)
		default: // the other types change nothing that is reported
		}
		report.LastLogIndex = entry.Index
		report.LastLogTerm = entry.Term
	}
	report.Members = membersFromConfiguration(members)
	report.State = machine.currentState()
	return report, nil
}

// restoreSnapshot restores the newest snapshot, if there is one, and returns its configuration.
func (r *recoverySource) restoreSnapshot(machine *stateMachine, report *RecoveryReport) (raft.Configuration, error) {
	var none raft.Configuration
	metas, err := r.snapshots.List()
	if err != nil || len(metas) == 0 {
		return none, nil // openSnapshots has checked that the log is complete then
	}
	meta, reader, err := r.snapshots.Open(metas[0].ID)
	if err != nil {
		return none, err
	}
	if err := machine.Restore(reader); err != nil {
		return none, err
	}
	report.LastLogIndex = meta.Index
	report.LastLogTerm = meta.Term
	return meta.Configuration, nil
}

// recoverCluster rewrites the data directory for a new group whose only member is this instance.
func (r *recoverySource) recoverCluster(groupID, address string) error {
	config := raft.DefaultConfig()
	config.LocalID = r.directory.serverID
	config.Logger = hclog.NewNullLogger()
	machine := &recoveryStateMachine{
		stateMachine:        stateMachine{notify: func(sharedconfig.Event) {}},
		groupID:             groupID,
		retiredDirectoryIDs: r.otherDirectoryIDs(),
	}
	store := r.directory.store
	members := singleMemberConfiguration(r.directory.serverID, address)
	return raft.RecoverCluster(config, machine, store, store, r.snapshots, newTransport(address), members)
}

// otherDirectoryIDs returns the directory IDs of the other members, sorted.
func (r *recoverySource) otherDirectoryIDs() []string {
	var ids []string
	for _, member := range r.report.Members {
		if serverID(member.Name, member.DirectoryID) != r.directory.serverID {
			ids = append(ids, member.DirectoryID)
		}
	}
	slices.Sort(ids)
	return ids
}

// recoveryStateMachine is the state machine from which a group is recovered. Its snapshot is the state of a new group, in
// which the directory IDs of the other members are retired: a member of the old group must not join the new one with its
// data directory.
type recoveryStateMachine struct {
	stateMachine
	groupID             string
	retiredDirectoryIDs []string
}

// Snapshot returns the state of the new group.
func (m *recoveryStateMachine) Snapshot() (raft.FSMSnapshot, error) {
	return snapshot{state: m.currentState().Recover(m.groupID, m.retiredDirectoryIDs)}, nil
}
