package raftnode

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"alderproxy/raftstore"
	"alderproxy/sharedconfig"
)

const (
	databaseFileName  = "agreed.db"
	retainedSnapshots = 2
	directoryIDSize   = 4 // random bytes
	groupIDSize       = 8 // random bytes
)

// Metadata keys of what an instance stores about itself.
const (
	metadataName          = "name"
	metadataDirectoryID   = "folder"
	metadataGroupID       = "group"
	metadataRemoved       = "removed" // removedValue, if the instance was removed from its group
	metadataActiveVersion = "active"  // the version served last, as JSON
)

const removedValue = "yes"

// dataDirectory is an instance's open data directory.
type dataDirectory struct {
	path     string
	store    *raftstore.Store
	serverID raft.ServerID // of the instance
}

func randomHex(size int) string {
	random := make([]byte, size)
	rand.Read(random) // never returns an error
	return hex.EncodeToString(random)
}

// openDataDirectory opens an instance's data directory, or creates it.
func openDataDirectory(path, name string) (*dataDirectory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	store, err := raftstore.Open(filepath.Join(path, databaseFileName))
	if err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	directory := &dataDirectory{path: path, store: store}
	directory.serverID, err = loadOrCreateServerID(store, name)
	if err != nil {
		directory.closeAfterError()
		return nil, directory.wrapError(err)
	}
	return directory, nil
}

// loadOrCreateServerID returns the id of the instance that a store belongs to, which must have the given name. A new store gets a
// random id of its own: an instance that lost its votes must not vote as the instance that it was.
func loadOrCreateServerID(store *raftstore.Store, name string) (raft.ServerID, error) {
	storedName, nameErr := store.Metadata(metadataName)
	directoryID, idErr := store.Metadata(metadataDirectoryID)
	if err := errors.Join(nameErr, idErr); err != nil {
		return "", err
	}
	if directoryID == "" {
		directoryID = randomHex(directoryIDSize)
		err := errors.Join(
			store.SetMetadata(metadataName, name),
			store.SetMetadata(metadataDirectoryID, directoryID),
		)
		return serverID(name, directoryID), err
	}
	if storedName != name {
		return "", fmt.Errorf("%w: %s's and not %s's", ErrOtherInstance, storedName, name)
	}
	return serverID(name, directoryID), nil
}

func (d *dataDirectory) close() error { return d.store.Close() }

// closeAfterError closes the directory after an error, which is the one to report.
func (d *dataDirectory) closeAfterError() { _ = d.store.Close() }

// wrapError names the directory in an error.
func (d *dataDirectory) wrapError(err error) error { return fmt.Errorf("folder %s: %w", d.path, err) }

// groupID returns the instance's groupID, or an empty string.
func (d *dataDirectory) groupID() (string, error) { return d.store.Metadata(metadataGroupID) }

func (d *dataDirectory) setGroupID(groupID string) error {
	return d.store.SetMetadata(metadataGroupID, groupID)
}

// isRemoved reports whether the instance was isRemoved from its group.
func (d *dataDirectory) isRemoved() (bool, error) {
	value, err := d.store.Metadata(metadataRemoved)
	return value != "", err
}

func (d *dataDirectory) setRemoved() error {
	return d.store.SetMetadata(metadataRemoved, removedValue)
}

// activeVersion returns the version served last. Its number is 0 if there is none.
func (d *dataDirectory) activeVersion() (sharedconfig.Version, error) {
	var version sharedconfig.Version
	text, err := d.store.Metadata(metadataActiveVersion)
	if err != nil || text == "" {
		return version, err
	}
	if err := json.Unmarshal([]byte(text), &version); err != nil {
		return version, d.wrapError(fmt.Errorf("the version served last: %w", err))
	}
	return version, nil
}

func (d *dataDirectory) setActiveVersion(version sharedconfig.Version) error {
	text, err := json.Marshal(version)
	if err != nil {
		return err
	}
	return d.store.SetMetadata(metadataActiveVersion, string(text))
}

// openSnapshots opens the snapshots and returns an error if the instance must not start from the directory.
func (d *dataDirectory) openSnapshots(logger hclog.Logger) (raft.SnapshotStore, error) {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(d.path, retainedSnapshots, logger)
	if err != nil {
		return nil, err
	}
	if err := d.checkUsable(snapshots); err != nil {
		return nil, err
	}
	return snapshots, nil
}

// checkUsable reads the extent of the log and all snapshots before Raft does.
func (d *dataDirectory) checkUsable(snapshots raft.SnapshotStore) error {
	var found sharedconfig.DataDirectory
	var err error
	if found.FirstIndex, err = d.store.FirstIndex(); err != nil {
		return err
	}
	if found.LastIndex, err = d.store.LastIndex(); err != nil {
		return err
	}
	metas, err := snapshots.List()
	if err != nil {
		return err
	}
	for _, meta := range metas {
		found.Snapshots = append(found.Snapshots, sharedconfig.SnapshotInfo{
			Name:      meta.ID,
			LastIndex: meta.Index,
			Err:       checkSnapshot(snapshots, meta.ID),
		})
	}
	return found.Validate()
}

func checkSnapshot(snapshots raft.SnapshotStore, id string) error {
	_, reader, err := snapshots.Open(id)
	if err != nil {
		return err
	}
	_, err = readSnapshot(reader)
	return err
}
