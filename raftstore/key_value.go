package raftstore

import (
	"errors"

	"go.etcd.io/bbolt"
)

// errNotFound is the error for a key without a value. Raft recognizes it by this text.
var errNotFound = errors.New("not found")

// Set writes a value for Raft.
func (s *Store) Set(key, value []byte) error { return s.put(stableBucket, key, value) }

// Get reads a value for Raft. The error's text is "not found" if the key has no value.
func (s *Store) Get(key []byte) ([]byte, error) {
	value, err := s.get(stableBucket, key)
	if err == nil && value == nil {
		return nil, errNotFound
	}
	return value, err
}

// SetUint64 writes an integer for Raft.
func (s *Store) SetUint64(key []byte, value uint64) error { return s.Set(key, encodeUint64(value)) }

// GetUint64 reads an integer for Raft. It returns 0 if the key has no value, or one of another size.
func (s *Store) GetUint64(key []byte) (uint64, error) {
	value, err := s.get(stableBucket, key)
	if err != nil || len(value) != uint64Size {
		return 0, err
	}
	return decodeUint64(value), nil
}

// SetMetadata writes a value that the instance stores about itself.
func (s *Store) SetMetadata(key, value string) error {
	return s.put(metadataBucket, []byte(key), []byte(value))
}

// Metadata reads a value that the instance stores about itself. It returns an empty string if the key has no value.
func (s *Store) Metadata(key string) (string, error) {
	value, err := s.get(metadataBucket, []byte(key))
	return string(value), err
}

func (s *Store) put(bucket, key, value []byte) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucket).Put(key, encodeRecord(value))
	})
}

// get reads a value. It returns nil if the key has no value.
func (s *Store) get(bucket, key []byte) (value []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		record := tx.Bucket(bucket).Get(key)
		if record == nil {
			return nil
		}
		var err error
		value, err = decodeRecord(record)
		return err
	})
	return value, err
}
