package raftnode

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// raftCurrentTerm is the key under which Raft stores its term.
const raftCurrentTerm = "CurrentTerm"

// Bootstrap creates a new group with a first version of the document in a data directory. The instance that starts from
// it is the group's only member until others are added. keep is how many versions the group keeps. The error wraps
// ErrAlreadyBootstrapped if the data directory has a group.
func Bootstrap(path, name, address, text, digest, author string, keep int, at time.Time) (err error) {
	directory, err := openDataDirectory(path, name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, directory.close()) }()
	existing, err := directory.group()
	if err != nil || existing != "" {
		return errors.Join(err, fmt.Errorf("%s: %w", path, ErrAlreadyBootstrapped))
	}
	group := randomHex(groupIDSize)
	entry, err := sharedconfig.Entry{
		Bootstrap: &sharedconfig.Bootstrap{
			GroupID:     group,
			MaxVersions: keep,
			FirstChange: sharedconfig.Change{
				RequestID:         "first-" + group,
				Text:              text,
				Digest:            digest,
				Author:            author,
				Reason:            "the group begins",
				RequestedAtMillis: at.UnixMilli(),
			},
		},
	}.Encode()
	if err != nil {
		return err
	}
	if err := directory.storeFirstTerm(address, entry); err != nil {
		return err
	}
	return directory.setGroup(group)
}

// storeFirstTerm writes the log that the leader of the first term would have written: itself as the only member and one
// entry.
func (d *dataDirectory) storeFirstTerm(address string, entry []byte) error {
	const term = 1
	members := raft.EncodeConfiguration(singleMember(d.id, address))
	err := d.store.StoreLogs([]*raft.Log{
		{Index: 1, Term: term, Type: raft.LogConfiguration, Data: members},
		{Index: 2, Term: term, Type: raft.LogCommand, Data: entry},
	})
	if err != nil {
		return err
	}
	return d.store.SetUint64([]byte(raftCurrentTerm), term)
}

// singleMember is the member list of a group of one.
func singleMember(id raft.ServerID, address string) raft.Configuration {
	server := raft.Server{ID: id, Address: raft.ServerAddress(address)}
	return raft.Configuration{Servers: []raft.Server{server}}
}
