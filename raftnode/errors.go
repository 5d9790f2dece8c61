package raftnode

import "errors"

// Errors of instances and data directories.
var (
	// ErrAlreadyBootstrapped is wrapped by the error of Bootstrap for a data directory that belongs to a group.
	ErrAlreadyBootstrapped = errors.New("the data directory already belongs to a group")
	// ErrOtherInstance is wrapped by errors about the data directory of an instance with another name.
	ErrOtherInstance = errors.New("it belongs to another instance")
	// ErrNoVersion is wrapped by errors about a data directory whose log and snapshots contain no version.
	ErrNoVersion = errors.New("it has no version of the shared configuration")
	// ErrRemoved is returned by reads of an instance that was removed from its group, and wrapped by the error of
	// RecoverUnsafe for its data directory. The text is that of sharedconfig.Lease.NotCoveredReason.
	ErrRemoved = errors.New("this instance was removed from its group")
	// ErrNoLeader is the error of lease requests, and the reason of outcomes, while no leader is known.
	ErrNoLeader = errors.New("no leader is known")
	// ErrNoQuorum is returned by a read for which no leader was confirmed by a majority of the voters in time.
	ErrNoQuorum = errors.New("no leader is known, or a majority of the voters did not confirm it in time")
	// ErrLagging is returned by a read if this instance has not applied the confirmed version in time.
	ErrLagging = errors.New("this instance has not applied the active version in time")
	// ErrNotVoter is wrapped by the errors of a follower for operations that only voters support.
	ErrNotVoter = errors.New("this instance is not a voter")
	// ErrStopping is returned by RPCs to an instance that is shutting down, and by its reads.
	ErrStopping = errors.New("the instance is shutting down")
	// ErrMalformedID is wrapped by errors about server IDs that are not of the form NAME.DIRECTORYID.
	ErrMalformedID = errors.New("malformed server ID")
	// ErrSnapshotChecksum is returned for a snapshot whose content differs from its checksum or is too short for one.
	ErrSnapshotChecksum = errors.New("checksum mismatch")
)

// errNotVerified is the reply to a lease request for which the leadership was not verified in time.
var errNotVerified = errors.New("the leadership was not verified in time")
