// Package raftstore keeps an instance's part of the group's log, its votes and what it knows of itself in one bbolt
// file. Each record carries a checksum: what a crash or a bad disk spoilt is found when the file is opened.
package raftstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

// Store is the file. It is a raft.LogStore and a raft.StableStore.
type Store struct{ db *bbolt.DB }

var logBucket, stableBucket, metadataBucket = []byte("log"), []byte("stable"), []byte("self")

// ErrCorrupt is behind errors about records that are not what was written.
var ErrCorrupt = errors.New("spoilt")

var msgpackHandle = &codec.MsgpackHandle{}

// Open opens or makes the file and reads every record once.
func Open(path string) (s *Store, err error) {
	// bbolt panics on pages that make no sense, and the kernel faults where the file ends before its map does. What is
	// open then stays open: the instance does not start.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			s, err = nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, r)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s = &Store{db}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{logBucket, stableBucket, metadataBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		err = s.verify()
	}
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// verify reads every record: each must be whole, and the log without a gap.
func (s *Store) verify() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		next := uint64(0)
		err := tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			if len(k) != 8 {
				return fmt.Errorf("record %x of the log: %w", k, ErrCorrupt)
			}
			i := binary.BigEndian.Uint64(k)
			if next != 0 && i != next {
				return fmt.Errorf("log: %w: entry %d follows %d", ErrCorrupt, i, next-1)
			}
			next = i + 1
			var l raft.Log
			if err := read(v, &l); err != nil || l.Index != i {
				return fmt.Errorf("entry %d of the log: %w", i, ErrCorrupt)
			}
			return nil
		})
		for _, name := range [][]byte{stableBucket, metadataBucket} {
			if err == nil {
				err = tx.Bucket(name).ForEach(func(k, v []byte) error {
					if _, err := open(v); err != nil {
						return fmt.Errorf("record %s: %w", k, err)
					}
					return nil
				})
			}
		}
		return err
	})
}

// seal puts a checksum before a value.
func seal(v []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(v)), xxhash.Sum64(v)), v...)
}

func open(v []byte) ([]byte, error) {
	if len(v) < 8 || binary.BigEndian.Uint64(v) != xxhash.Sum64(v[8:]) {
		return nil, ErrCorrupt
	}
	return bytes.Clone(v[8:]), nil
}

func read(v []byte, l *raft.Log) error {
	text, err := open(v)
	if err != nil {
		return err
	}
	return codec.NewDecoderBytes(text, msgpackHandle).Decode(l)
}

func key(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) edge(of func(*bbolt.Cursor) ([]byte, []byte)) (i uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if k, _ := of(tx.Bucket(logBucket).Cursor()); k != nil {
			i = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return i, err
}

// FirstIndex is the first entry's index; 0: the log is empty.
func (s *Store) FirstIndex() (uint64, error) { return s.edge((*bbolt.Cursor).First) }

// LastIndex is the last entry's index; 0: the log is empty.
func (s *Store) LastIndex() (uint64, error) { return s.edge((*bbolt.Cursor).Last) }

// GetLog reads an entry.
func (s *Store) GetLog(i uint64, l *raft.Log) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		v := tx.Bucket(logBucket).Get(key(i))
		if v == nil {
			return raft.ErrLogNotFound
		}
		if err := read(v, l); err != nil {
			return fmt.Errorf("entry %d of the log: %w", i, err)
		}
		return nil
	})
}

// StoreLog writes an entry.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries: all of them or none.
func (s *Store) StoreLogs(all []*raft.Log) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, l := range all {
			var text []byte
			if err := codec.NewEncoderBytes(&text, msgpackHandle).Encode(l); err != nil {
				return fmt.Errorf("entry %d of the log: %w", l.Index, err)
			}
			if err := tx.Bucket(logBucket).Put(key(l.Index), seal(text)); err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange deletes entries from the first to the last given, both included.
func (s *Store) DeleteRange(from, to uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.Seek(key(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Store) put(bucket, k, v []byte) error {
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(k, seal(v)) })
}

func (s *Store) get(bucket, k []byte) (v []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if sealed := tx.Bucket(bucket).Get(k); sealed != nil {
			v, err = open(sealed)
		}
		return err
	})
	return v, err
}

// errNotFound has the text by which Raft knows that a value is not there.
var errNotFound = errors.New("not found")

// Set writes a value that Raft keeps.
func (s *Store) Set(k, v []byte) error { return s.put(stableBucket, k, v) }

// Get reads one.
func (s *Store) Get(k []byte) ([]byte, error) {
	v, err := s.get(stableBucket, k)
	if err == nil && v == nil {
		return nil, errNotFound
	}
	return v, err
}

// SetUint64 writes a number that Raft keeps.
func (s *Store) SetUint64(k []byte, v uint64) error { return s.Set(k, key(v)) }

// GetUint64 reads one; 0: it is not there.
func (s *Store) GetUint64(k []byte) (uint64, error) {
	v, err := s.get(stableBucket, k)
	if err != nil || len(v) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(v), nil
}

// Metadata is what an instance keeps of itself, by name; empty: nothing.
func (s *Store) Metadata(name string) (string, error) {
	v, err := s.get(metadataBucket, []byte(name))
	return string(v), err
}

// SetMetadata keeps something of the instance itself.
func (s *Store) SetMetadata(name, value string) error {
	return s.put(metadataBucket, []byte(name), []byte(value))
}
