package raftnode

import "errors"

// Errors of an instance.
var (
	// ErrAlreadyBootstrapped is wrapped by the error of Bootstrap for a data directory that has a group.
	ErrAlreadyBootstrapped = errors.New("the folder belongs to a group already")
	// ErrOtherInstance is wrapped by errors about a data directory of an instance with another name.
	ErrOtherInstance = errors.New("it belongs to another instance")
	// ErrNoVersion is wrapped by errors about a data directory without a version.
	ErrNoVersion = errors.New("no version is in it")
	// ErrRemoved is returned by an instance that was removed from its group.
	ErrRemoved = errors.New("this instance was removed from its group")
	// ErrNoLeader is returned while no leader is known.
	ErrNoLeader = errors.New("nobody leads")
	// ErrNoQuorum is returned by a read that no majority has confirmed in time.
	ErrNoQuorum = errors.New("nobody leads, or no majority is reachable")
	// ErrLagging is returned by a read whose confirmed version has not arrived in time.
	ErrLagging = errors.New("this instance lags behind")
	// ErrNotVoter is wrapped by the errors of a follower that is asked for what only voters can do.
	ErrNotVoter = errors.New("this instance has no vote")
	// ErrStopping is returned by an instance that is shutting down.
	ErrStopping = errors.New("the instance is stopping")
	// ErrMalformedID is wrapped by errors about ids that name no instance.
	ErrMalformedID = errors.New("malformed instance id")
	// ErrSnapshotChecksum is returned for a snapshot that differs from what was written.
	ErrSnapshotChecksum = errors.New("checksum mismatch")
)

// errNotVerified answers a lease request that no majority has confirmed in time.
var errNotVerified = errors.New("not verified in time")
