package raftstore

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"pgregory.net/rapid"
)

// logModel is a model of a store's log.
type logModel struct {
	entries     map[uint64]string
	first, last uint64 // indexes; 0: the log is empty
}

// appendEntries draws entries and appends them to the model.
func (m *logModel) appendEntries(t *rapid.T) []*raft.Log {
	var batch []*raft.Log
	for range rapid.IntRange(1, 4).Draw(t, "batch") {
		m.last++
		text := rapid.StringN(0, 20, 40).Draw(t, "text")
		batch = append(batch, &raft.Log{Index: m.last, Term: 3, Type: raft.LogCommand, Data: []byte(text)})
		m.entries[m.last] = text
	}
	m.first = max(m.first, 1)
	return batch
}

// deleteEntries draws a range and deletes it from the model: the first entries, as a compaction does, or the last ones, as
// a conflict with the log of a new leader does.
func (m *logModel) deleteEntries(t *rapid.T) (first, last uint64) {
	at := uint64(rapid.IntRange(int(m.first), int(m.last)).Draw(t, "at"))
	first, last = m.first, at
	if rapid.Bool().Draw(t, "tail") {
		first, last = at, m.last
		m.last = at - 1
	} else {
		m.first = at + 1
	}
	if m.first > m.last {
		m.first, m.last = 0, 0
	}
	return first, last
}

func (m *logModel) requireEqual(t *rapid.T, store *Store) {
	first, err := store.FirstIndex()
	require.NoError(t, err)
	last, err := store.LastIndex()
	require.NoError(t, err)
	require.Equal(t, [2]uint64{m.first, m.last}, [2]uint64{first, last})
	for i := m.first; i <= m.last && i > 0; i++ {
		var entry raft.Log
		require.NoError(t, store.GetLog(i, &entry))
		require.Equal(t, m.entries[i], string(entry.Data))
	}
	require.ErrorIs(t, store.GetLog(m.last+1, new(raft.Log)), raft.ErrLogNotFound)
}

// A store must match the model after any sequence of operations, including closing and reopening.
func TestModel(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, os.RemoveAll(path))
		store, err := Open(path)
		require.NoError(t, err)
		defer func() { assert.NoError(t, store.Close()) }()
		model := logModel{entries: map[uint64]string{}}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				require.NoError(t, store.StoreLogs(model.appendEntries(t)))
			case 2:
				if model.first == 0 {
					continue
				}
				require.NoError(t, store.DeleteRange(model.deleteEntries(t)))
			case 3:
				require.NoError(t, store.Close())
				store, err = Open(path)
				require.NoError(t, err)
			case 4:
				require.NoError(t, store.SetUint64([]byte("term"), model.last))
				term, err := store.GetUint64([]byte("term"))
				require.NoError(t, err)
				require.Equal(t, model.last, term)
			}
			model.requireEqual(t, store)
		}
	})
}

// Open must reject a file with a changed byte in a record, and the error must name the record.
func TestCorruptRecordsAreNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	store, err := Open(path)
	require.NoError(t, err)
	for i := uint64(1); i < 4; i++ {
		require.NoError(t, store.StoreLog(&raft.Log{Index: i, Data: []byte("number " + string(rune('0'+i)))}))
	}
	require.NoError(t, store.SetMetadata("name", "somebody"))
	_, err = Open(path)
	require.ErrorIs(t, err, ErrLocked)
	require.ErrorContains(t, err, "another process has the file open")
	require.NoError(t, store.Close())
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, change := range []struct{ old, new, want string }{
		{"number 3", "number 4", "entry 3 of the log: corrupt"},
		{"number 1", "Number 1", "entry 1 of the log: corrupt"},
		{"somebody", "sOmebody", "record name: corrupt"},
	} {
		corrupt := strings.ReplaceAll(string(intact), change.old, change.new)
		require.NoError(t, os.WriteFile(path, []byte(corrupt), 0o600))
		_, err := Open(path)
		require.ErrorIs(t, err, ErrCorrupt)
		require.ErrorContains(t, err, change.want)
		assert.NotContains(t, err.Error(), "\n")
	}
}

// Open must not lose entries silently: a truncated file opens with all entries or not at all. An empty file counts as new.
func TestTruncatedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	store, err := Open(path)
	require.NoError(t, err)
	for i := uint64(1); i < 4; i++ {
		require.NoError(t, store.StoreLog(&raft.Log{Index: i, Data: []byte("entry")}))
	}
	require.NoError(t, store.SetMetadata("name", "somebody"))
	require.NoError(t, store.Close())
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	for size := 0; size < len(intact); size += 1024 {
		truncated := filepath.Join(t.TempDir(), "s.db")
		require.NoError(t, os.WriteFile(truncated, intact[:size], 0o600))
		store, err := Open(truncated)
		if err != nil {
			assert.NotContains(t, err.Error(), "\n")
			continue
		}
		last, err := store.LastIndex()
		require.NoError(t, err)
		assert.True(t, size == 0 && last == 0 || last == 3, "truncated to %d bytes, the file opened with last index %d", size, last)
		require.NoError(t, store.Close())
	}
}

// Open must fail if the file's directory does not exist.
func TestOpenFailsWithoutDirectory(t *testing.T) {
	_, err := Open(filepath.Join(t.TempDir(), "none", "s.db"))
	assert.Error(t, err)
}

// Guards against a log with a gap, which the store promises Raft not to have. Whatever is left of the log stays.
func TestEntryThatDoesNotFollowTheLastIsRejected(t *testing.T) {
	store, err := Open(filepath.Join(t.TempDir(), "s.db"))
	require.NoError(t, err)
	defer func() { assert.NoError(t, store.Close()) }()
	entries := func(indexes ...uint64) (logs []*raft.Log) {
		for _, index := range indexes {
			logs = append(logs, &raft.Log{Index: index})
		}
		return logs
	}
	require.True(t, store.IsMonotonic())
	require.NoError(t, store.StoreLogs(entries(4, 5)), "the first entry may have any index")
	require.ErrorIs(t, store.StoreLogs(entries(7)), ErrGap)
	require.ErrorIs(t, store.StoreLogs(entries(6, 8)), ErrGap)
	last, err := store.LastIndex()
	require.NoError(t, err)
	assert.Equal(t, uint64(5), last, "a rejected entry was written")
	require.NoError(t, store.StoreLogs(entries(5, 6)), "an entry may be replaced")
	require.NoError(t, store.DeleteRange(4, 6))
	assert.NoError(t, store.StoreLogs(entries(9)), "the log is empty")
}

// Guards against a log with a gap, as earlier revisions left it, that is taken for corrupt: whether entries are missing depends
// on the snapshots.
func TestLastGapOfTheLogIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	store, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, store.db.Update(func(tx *bbolt.Tx) error {
		for _, index := range []uint64{2, 3, 7, 9, 10} {
			record, err := encodeEntry(&raft.Log{Index: index})
			require.NoError(t, err)
			require.NoError(t, tx.Bucket(logBucket).Put(encodeUint64(index), record))
		}
		return nil
	}))
	require.NoError(t, store.Close())
	store, err = Open(path)
	require.NoError(t, err)
	assert.Equal(t, Gap{Before: 7, After: 9}, store.Gap())
	require.NoError(t, store.DeleteRange(2, 7))
	require.NoError(t, store.Close())
	store, err = Open(path)
	require.NoError(t, err)
	assert.Zero(t, store.Gap())
	require.NoError(t, store.Close())
}
