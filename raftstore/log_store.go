package raftstore

import (
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

var msgpackHandle = &codec.MsgpackHandle{}

// FirstIndex returns the index of the first log entry, or 0 if the log is empty.
func (s *Store) FirstIndex() (uint64, error) { return s.indexAt((*bbolt.Cursor).First) }

// LastIndex returns the index of the last log entry, or 0 if the log is empty.
func (s *Store) LastIndex() (uint64, error) { return s.indexAt((*bbolt.Cursor).Last) }

// indexAt returns the index of the log entry to which moveCursor moves a new cursor, or 0 if the log is empty.
func (s *Store) indexAt(moveCursor func(*bbolt.Cursor) (key, record []byte)) (index uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if key, _ := moveCursor(tx.Bucket(logBucket).Cursor()); key != nil {
			index = decodeUint64(key)
		}
		return nil
	})
	return index, err
}

// GetLog reads the log entry at an index. The error is raft.ErrLogNotFound if there is none.
func (s *Store) GetLog(index uint64, entry *raft.Log) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		record := tx.Bucket(logBucket).Get(encodeUint64(index))
		if record == nil {
			return raft.ErrLogNotFound
		}
		if err := decodeEntry(record, entry); err != nil {
			return fmt.Errorf("entry %d of the log: %w", index, err)
		}
		return nil
	})
}

// StoreLog writes a log entry.
func (s *Store) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// IsMonotonic returns true: the log has no gaps. Raft then deletes the whole log when it has installed a snapshot from the
// leader, instead of leaving a gap between the entries before the snapshot and those behind it.
func (s *Store) IsMonotonic() bool { return true }

// StoreLogs writes log entries. If it fails, it writes none of them. The error wraps ErrGap if an entry does not follow the last
// one. An entry may replace an earlier one.
func (s *Store) StoreLogs(entries []*raft.Log) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(logBucket)
		last := uint64(0)
		if key, _ := bucket.Cursor().Last(); key != nil {
			last = decodeUint64(key)
		}
		for _, entry := range entries {
			if last != 0 && entry.Index > last+1 {
				return fmt.Errorf("%w: entry %d of the log would follow %d", ErrGap, entry.Index, last)
			}
			last = max(last, entry.Index)
			record, err := encodeEntry(entry)
			if err != nil {
				return fmt.Errorf("entry %d of the log: %w", entry.Index, err)
			}
			if err := bucket.Put(encodeUint64(entry.Index), record); err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange deletes the log entries with the indexes from first to last, both included.
func (s *Store) DeleteRange(first, last uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(logBucket).Cursor()
		key, _ := cursor.Seek(encodeUint64(first))
		for key != nil && decodeUint64(key) <= last {
			if err := cursor.Delete(); err != nil {
				return err
			}
			key, _ = cursor.Next()
		}
		return nil
	})
}

func encodeEntry(entry *raft.Log) ([]byte, error) {
	var value []byte
	if err := codec.NewEncoderBytes(&value, msgpackHandle).Encode(entry); err != nil {
		return nil, err
	}
	return encodeRecord(value), nil
}

func decodeEntry(record []byte, entry *raft.Log) error {
	value, err := decodeRecord(record)
	if err != nil {
		return err
	}
	return codec.NewDecoderBytes(value, msgpackHandle).Decode(entry)
}
