package raftnode

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// currentTermKey is the key under which Raft stores its current term.
const currentTermKey = "CurrentTerm"

// Bootstrap creates a new group, with a first version of the document, in a data directory. The instance that starts with
// this directory is the group's only member until others are added. maxVersions is the number of versions that the group
// retains. The error wraps ErrAlreadyBootstrapped if the data directory belongs to a group.
func Bootstrap(path, name, address, text, digest, author string, maxVersions int, createdAt time.Time) (err error) {
	directory, err := openDataDirectory(path, name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, directory.close()) }()
	existingGroupID, err := directory.groupID()
	if err != nil || existingGroupID != "" {
		return errors.Join(err, fmt.Errorf("%s: %w", path, ErrAlreadyBootstrapped))
	}
	groupID := randomHex(groupIDSize)
	entry, err := sharedconfig.Entry{
		Bootstrap: &sharedconfig.Bootstrap{
			GroupID:     groupID,
			MaxVersions: maxVersions,
			FirstChange: sharedconfig.Change{
				RequestID:         "first-" + groupID,
				Text:              text,
				Digest:            digest,
				Author:            author,
				Reason:            "the group begins",
				RequestedAtMillis: createdAt.UnixMilli(),
			},
		},
	}.Encode()
	if err != nil {
		return err
	}
	if err := directory.storeBootstrapLog(address, entry); err != nil {
		return err
	}
	return directory.setGroupID(groupID)
}

// storeBootstrapLog writes the log that a leader of the first term would have written: a configuration with itself as the
// only member, and one entry.
func (d *dataDirectory) storeBootstrapLog(address string, entry []byte) error {
	const term = 1
	members := raft.EncodeConfiguration(singleMemberConfiguration(d.serverID, address))
	err := d.store.StoreLogs([]*raft.Log{
		{Index: 1, Term: term, Type: raft.LogConfiguration, Data: members},
		{Index: 2, Term: term, Type: raft.LogCommand, Data: entry},
	})
	if err != nil {
		return err
	}
	return d.store.SetUint64([]byte(currentTermKey), term)
}

// singleMemberConfiguration returns the configuration of a group whose only member is the given voter.
func singleMemberConfiguration(id raft.ServerID, address string) raft.Configuration {
	server := raft.Server{ID: id, Address: raft.ServerAddress(address)}
	return raft.Configuration{Servers: []raft.Server{server}}
}
