// Package raftstore stores an instance's Raft log, its term and votes, and its metadata in one bbolt file. Each record has
// a checksum, which is verified when the file is opened and whenever the record is read.
package raftstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Store is an open file. It implements raft.LogStore and raft.StableStore.
type Store struct {
	db  *bbolt.DB
	gap Gap // of the log when the file was opened
}

var (
	_ raft.LogStore          = (*Store)(nil)
	_ raft.MonotonicLogStore = (*Store)(nil)
	_ raft.StableStore       = (*Store)(nil)
)

// Gap is a gap in a log: no entries between those at the indexes Before and After. The zero value means that there is none.
type Gap struct{ Before, After uint64 }

// Buckets of the file.
var (
	logBucket      = []byte("log")    // log entries by index
	stableBucket   = []byte("stable") // Raft's term and votes
	metadataBucket = []byte("self")   // what the instance stores about itself
)

const (
	lockTimeout  = time.Second // limits the wait for another process that has the file open
	checksumSize = 8           // bytes of the checksum before a record's value
	uint64Size   = 8           // bytes of a log entry's key and of a stored integer
)

// Errors of a file that cannot be opened or read.
var (
	// ErrCorrupt is wrapped by errors about records that differ from what was written.
	ErrCorrupt = errors.New("corrupt")
	// ErrGap is wrapped by the error of StoreLogs for an entry that does not follow the last one.
	ErrGap = errors.New("entries are missing")
	// ErrLocked is wrapped by the error of Open if another process has the file open.
	ErrLocked = errors.New("another process has the file open")
)

// Open opens or creates the file at a path and verifies all records. The error wraps ErrCorrupt for a corrupt file, unless
// bbolt detects that with an error of its own, and ErrLocked if another process has the file open.
func Open(path string) (store *Store, err error) {
	// bbolt panics on corrupt pages, and an access to its memory mapping faults beyond the end of a truncated file. The file
	// stays open then; this is harmless, since the instance does not start.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			store = nil
			err = fmt.Errorf("%s: %w: %v", path, ErrCorrupt, r)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	store = &Store{db: db}
	err = store.createBuckets()
	if err == nil {
		err = store.verify()
	}
	if err != nil {
		_ = db.Close() // the first error is the cause
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return store, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) createBuckets() error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{logBucket, stableBucket, metadataBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

// Gap returns the last gap that the log had when the file was opened. Earlier revisions left one when an instance that had
// fallen behind received a snapshot: the log kept the old entries, and continued behind the snapshot. The log may only be used
// if a snapshot includes all entries before Gap.After.
func (s *Store) Gap() Gap { return s.gap }

// verify returns an error if a record is corrupt, and finds the last gap of the log.
func (s *Store) verify() error {
	return s.db.View(func(tx *bbolt.Tx) (err error) {
		if s.gap, err = verifyLog(tx.Bucket(logBucket)); err != nil {
			return err
		}
		for _, name := range [][]byte{stableBucket, metadataBucket} {
			err := tx.Bucket(name).ForEach(func(key, record []byte) error {
				if _, err := decodeRecord(record); err != nil {
					return fmt.Errorf("record %s: %w", key, err)
				}
				return nil
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// verifyLog returns an error if an entry is corrupt, and else the last gap.
func verifyLog(bucket *bbolt.Bucket) (gap Gap, err error) {
	next := uint64(0) // 0 before the first entry
	err = bucket.ForEach(func(key, record []byte) error {
		if len(key) != uint64Size {
			return fmt.Errorf("record %x of the log: %w", key, ErrCorrupt)
		}
		index := decodeUint64(key)
		if next != 0 && index != next {
			gap = Gap{Before: next - 1, After: index}
		}
		next = index + 1
		var entry raft.Log
		if err := decodeEntry(record, &entry); err != nil || entry.Index != index {
			return fmt.Errorf("entry %d of the log: %w", index, ErrCorrupt)
		}
		return nil
	})
	return gap, err
}

// encodeRecord returns a record: the checksum of the value, and the value.
func encodeRecord(value []byte) []byte {
	record := make([]byte, 0, checksumSize+len(value))
	record = binary.BigEndian.AppendUint64(record, xxhash.Sum64(value))
	return append(record, value...)
}

// decodeRecord returns a copy of a record's value. The error is ErrCorrupt if the checksum does not match the value.
func decodeRecord(record []byte) ([]byte, error) {
	if len(record) < checksumSize {
		return nil, ErrCorrupt
	}
	value := record[checksumSize:]
	if binary.BigEndian.Uint64(record) != xxhash.Sum64(value) {
		return nil, ErrCorrupt
	}
	return bytes.Clone(value), nil
}

func encodeUint64(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

func decodeUint64(b []byte) uint64 { return binary.BigEndian.Uint64(b) }
