package raftnode

import (
	"fmt"
	"strings"

	"github.com/hashicorp/raft"
)

const serverIDSeparator = "."

// serverID returns an instance's server ID in Raft: its name, a dot and the ID of its data directory.
func serverID(name, directoryID string) raft.ServerID {
	return raft.ServerID(name + serverIDSeparator + directoryID)
}

// parseServerID returns the name and the directory ID in a server ID. The error wraps ErrMalformedID.
func parseServerID(id string) (name, directoryID string, err error) {
	name, directoryID, ok := strings.Cut(id, serverIDSeparator)
	if !ok || name == "" || directoryID == "" {
		return "", "", fmt.Errorf("%w: %q", ErrMalformedID, id)
	}
	return name, directoryID, nil
}
