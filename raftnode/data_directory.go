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

// Keys of the metadata that an instance stores about itself.
const (
	metadataName          = "name"
	metadataDirectoryID   = "folder"
	metadataGroupID       = "group"
	metadataRemoved       = "removed" // removedValue if the instance was removed from its group
	metadataActiveVersion = "active"  // the version that was served last, as JSON
)

const removedValue = "yes"

// dataDirectory is an instance's open data directory.
type dataDirectory struct {
	path     string
	store    *raftstore.Store
	serverID raft.ServerID // of the instance to which the directory belongs
}

func randomHex(size int) string {
	random := make([]byte, size)
	rand.Read(random) // never returns an error
	return hex.EncodeToString(random)
}

// openDataDirectory opens an instance's data directory, or creates it.
func openDataDirectory(path, name string) (*dataDirectory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("cannot open the data directory: %w", err)
	}
	store, err := raftstore.Open(filepath.Join(path, databaseFileName))
	if err != nil {
		return nil, fmt.Errorf("cannot open the data directory: %w", err)
	}
	directory := &dataDirectory{path: path, store: store}
	directory.serverID, err = loadOrCreateServerID(store, name)
	if err != nil {
		directory.closeAfterError()
		return nil, directory.wrapError(err)
	}
	return directory, nil
}

// loadOrCreateServerID returns the server ID of the instance to which a store belongs. The instance must have the given
// name. A new store gets a random directory ID: an instance that has lost its votes must not vote under its old server ID,
// since it could vote twice in a term.
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
		return "", fmt.Errorf("%w: the stored name is %s, the configured one %s", ErrOtherInstance, storedName, name)
	}
	return serverID(name, directoryID), nil
}

func (d *dataDirectory) close() error { return d.store.Close() }

// closeAfterError closes the directory after an error. That error is the one to report, and not one from closing.
func (d *dataDirectory) closeAfterError() { _ = d.store.Close() }

// wrapError adds the directory's path to an error.
func (d *dataDirectory) wrapError(err error) error {
	return fmt.Errorf("data directory %s: %w", d.path, err)
}

// groupID returns the ID of the instance's group, or an empty string if the instance is not a member of a group yet.
func (d *dataDirectory) groupID() (string, error) { return d.store.Metadata(metadataGroupID) }

func (d *dataDirectory) setGroupID(groupID string) error {
	return d.store.SetMetadata(metadataGroupID, groupID)
}

// isRemoved reports whether the instance was removed from its group.
func (d *dataDirectory) isRemoved() (bool, error) {
	value, err := d.store.Metadata(metadataRemoved)
	return value != "", err
}

func (d *dataDirectory) setRemoved() error {
	return d.store.SetMetadata(metadataRemoved, removedValue)
}

// activeVersion returns the version that was served last. Its number is 0 if there is none.
func (d *dataDirectory) activeVersion() (sharedconfig.Version, error) {
	var version sharedconfig.Version
	text, err := d.store.Metadata(metadataActiveVersion)
	if err != nil || text == "" {
		return version, err
	}
	if err := json.Unmarshal([]byte(text), &version); err != nil {
		return version, d.wrapError(fmt.Errorf("cannot decode the version that was served last: %w", err))
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

// openSnapshots opens the snapshot store. It returns an error if the instance must not start from the data directory.
func (d *dataDirectory) openSnapshots(logger hclog.Logger) (raft.SnapshotStore, error) {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(d.path, retainedSnapshots, logger)
	if err != nil {
		return nil, err
	}
	contents, err := d.contents(snapshots)
	if err != nil {
		return nil, err
	}
	return snapshots, contents.Validate()
}

// deleteObsoleteEntries deletes the entries that the next entry of the log would not follow. Raft must not have started, and
// openSnapshots must have returned the snapshots.
func (d *dataDirectory) deleteObsoleteEntries(snapshots raft.SnapshotStore) error {
	contents, err := d.contents(snapshots)
	if err != nil {
		return err
	}
	last := contents.ObsoleteUpTo()
	if last == 0 {
		return nil
	}
	return d.store.DeleteRange(contents.FirstIndex, last)
}

// contents reads the log's indexes and all snapshots.
func (d *dataDirectory) contents(snapshots raft.SnapshotStore) (contents sharedconfig.DataDirectory, err error) {
	if contents.FirstIndex, err = d.store.FirstIndex(); err != nil {
		return contents, err
	}
	if contents.LastIndex, err = d.store.LastIndex(); err != nil {
		return contents, err
	}
	gap := d.store.Gap()
	contents.GapBefore, contents.GapAfter = gap.Before, gap.After
	metas, err := snapshots.List()
	if err != nil {
		return contents, err
	}
	for _, meta := range metas {
		contents.Snapshots = append(contents.Snapshots, sharedconfig.SnapshotInfo{
			Name:      meta.ID,
			LastIndex: meta.Index,
			Err:       checkSnapshot(snapshots, meta.ID),
		})
	}
	return contents, nil
}

func checkSnapshot(snapshots raft.SnapshotStore, id string) error {
	_, reader, err := snapshots.Open(id)
	if err != nil {
		return err
	}
	_, err = readSnapshot(reader)
	return err
}
