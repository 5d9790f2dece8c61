package raftstore

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A store behaves like a map with a first and a last entry, over being closed and opened again.
func TestModel(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	rapid.Check(t, func(t *rapid.T) {
		os.Remove(path)
		s, err := Open(path)
		require.NoError(t, err)
		defer func() { s.Close() }()
		model := map[uint64]string{}
		first, last := uint64(0), uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				var batch []*raft.Log
				for range rapid.IntRange(1, 4).Draw(t, "batch") {
					last++
					text := rapid.StringN(0, 20, 40).Draw(t, "text")
					batch = append(batch, &raft.Log{Index: last, Term: 3, Type: raft.LogCommand, Data: []byte(text)})
					model[last] = text
				}
				first = max(first, 1)
				require.NoError(t, s.StoreLogs(batch))
			case 2: // compacted, or a tail that was never agreed on
				if first == 0 {
					continue
				}
				at := uint64(rapid.IntRange(int(first), int(last)).Draw(t, "at"))
				if rapid.Bool().Draw(t, "tail") {
					require.NoError(t, s.DeleteRange(at, last))
					last = at - 1
				} else {
					require.NoError(t, s.DeleteRange(first, at))
					first = at + 1
				}
				if first > last {
					last = 0
					first = 0
				}
			case 3:
				require.NoError(t, s.Close())
				s, err = Open(path)
				require.NoError(t, err)
			case 4:
				require.NoError(t, s.SetUint64([]byte("term"), last))
				got, err := s.GetUint64([]byte("term"))
				require.NoError(t, err)
				require.Equal(t, last, got)
			}
			f, _ := s.FirstIndex()
			l, _ := s.LastIndex()
			require.Equal(t, [2]uint64{first, last}, [2]uint64{f, l})
			for i := first; i <= last && i > 0; i++ {
				var got raft.Log
				require.NoError(t, s.GetLog(i, &got))
				require.Equal(t, model[i], string(got.Data))
			}
			require.ErrorIs(t, s.GetLog(last+1, new(raft.Log)), raft.ErrLogNotFound)
		}
	})
}

func TestSpoiltRecordsAreNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, err := Open(path)
	require.NoError(t, err)
	for i := uint64(1); i < 4; i++ {
		require.NoError(t, s.StoreLog(&raft.Log{Index: i, Data: []byte("number " + string(rune('0'+i)))}))
	}
	require.NoError(t, s.SetMetadata("name", "somebody"))
	_, err = Open(path)
	assert.ErrorContains(t, err, "another process has it open")
	require.NoError(t, s.Close())
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{"number 3", "number 4", "entry 3 of the log: spoilt"},
		{"number 1", "Number 1", "entry 1 of the log: spoilt"},
		{"somebody", "sOmebody", "record name: spoilt"},
	} {
		require.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(string(whole), c.old, c.new)), 0o600))
		_, err := Open(path)
		assert.ErrorContains(t, err, c.want)
		assert.NotContains(t, err.Error(), "\n")
	}
	for size := 0; size < len(whole); size += 1024 { // cut anywhere: all of it, nothing at all, or an error
		cut := filepath.Join(t.TempDir(), "s.db")
		require.NoError(t, os.WriteFile(cut, whole[:size], 0o600))
		if s, err := Open(cut); err == nil {
			l, _ := s.LastIndex()
			assert.True(t, size == 0 && l == 0 || l == 3, "cut to %d bytes and opened with %d entries", size, l)
			s.Close()
		} else {
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	_, err = Open(filepath.Join(t.TempDir(), "none", "s.db"))
	assert.Error(t, err)
}
