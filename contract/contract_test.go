package contract

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/standin"
	"alderproxy/policy"
)

func sales() Contract {
	return Contract{Team: "sales", Classes: []Class{{Name: "lookup", AimMS: 1500, GiveUpMS: 4000, Worth: 1, LateWorth: 0.3},
		{Name: "report", AimMS: 3000, GiveUpMS: 10000, Worth: 5, Least: 0.5}}, Budget: Budget{QueriesPerS: 20, Further: 0.2}}
}

func TestCheck(t *testing.T) {
	for name, spoil := range map[string]func(*Contract){
		"no team":           func(c *Contract) { c.Team = "" },
		"no classes":        func(c *Contract) { c.Classes = nil },
		"class twice":       func(c *Contract) { c.Classes[1].Name = "lookup" },
		"aim after give-up": func(c *Contract) { c.Classes[0].AimMS = 5000 },
		"no worth":          func(c *Contract) { c.Classes[0].Worth = 0 },
		"least over 1":      func(c *Contract) { c.Classes[0].Least = 1.5 },
		"budget below 0":    func(c *Contract) { c.Budget.Further = -1 },
	} {
		c := sales()
		require.NoError(t, c.Check())
		spoil(&c)
		assert.ErrorIs(t, c.Check(), ErrInvalid, name)
	}
}

func TestApply(t *testing.T) {
	put := sales()
	one, err := Book{}.Apply(Change{Put: &put})
	require.NoError(t, err)
	for name, c := range map[string]struct {
		Change
		err error
	}{
		"old version":   {Change{Expect: 0, Remove: "sales"}, ErrConflict},
		"unknown team":  {Change{Expect: 1, Remove: "other"}, ErrInvalid},
		"neither":       {Change{Expect: 1}, ErrInvalid},
		"both":          {Change{Expect: 1, Put: &put, Remove: "sales"}, ErrInvalid},
		"unusable":      {Change{Expect: 1, Put: &Contract{}}, ErrInvalid},
		"removed again": {Change{Expect: 1, Remove: "sales"}, nil},
	} {
		next, err := one.Apply(c.Change)
		if assert.ErrorIs(t, err, c.err, name); c.err != nil {
			assert.Equal(t, one, next, name)
		}
		assert.Contains(t, one.Contracts, "sales", "a book was changed in place")
	}
	_, err = decode([]byte(`{"expct":1}`))
	assert.ErrorIs(t, err, ErrInvalid)
}

func TestSettings(t *testing.T) {
	base := policy.Settings{Classes: []policy.Class{{Name: "own"}}, MaxAttempts: 4}
	assert.Equal(t, base, Book{}.Settings(base))
	put := sales()
	book, err := Book{}.Apply(Change{Put: &put})
	require.NoError(t, err)
	s := book.Settings(base)
	require.Len(t, s.Classes, 2)
	assert.Equal(t, policy.Class{Name: "sales/report", Aim: 3_000_000, GiveUp: 10_000_000, Worth: 5, Least: 0.5,
		Need: 1, PartialEarns: 1}, s.Classes[1])
	assert.Equal(t, []policy.Tenant{{Name: "sales", AllowancePer: 20}}, s.Tenants)
	assert.Equal(t, 0.2, s.BudgetShare)
	assert.Equal(t, 4, s.MaxAttempts)
}

func TestSnapshotBringsBackTheBook(t *testing.T) {
	put := sales()
	book, err := Book{}.Apply(Change{Put: &put})
	require.NoError(t, err)
	kept := &sink{}
	require.NoError(t, snapshot(book).Persist(kept))
	n := &Node{changed: make(chan struct{})}
	n.book.Store(&Book{})
	require.NoError(t, (*machine)(n).Restore(io.NopCloser(&kept.Buffer)))
	assert.Equal(t, book, n.Book())
}

type sink struct{ bytes.Buffer }

func (*sink) ID() string    { return "" }
func (*sink) Cancel() error { return nil }
func (*sink) Close() error  { return nil }

// Three instances agree on a change, go on when the leader dies, and a restarted one catches up from its folder.
func TestThreeInstances(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	peers, listeners, configs := map[string]string{}, map[string]net.Listener{}, []NodeConfig{}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		id := fmt.Sprint("n", i)
		peers[id], listeners[id] = l.Addr().String(), l
	}
	nodes := map[string]*Node{}
	open := func(c NodeConfig) {
		n, err := Open(c)
		require.NoError(t, err)
		nodes[c.ID] = n
	}
	for id, addr := range peers {
		c := NodeConfig{ID: id, Bind: addr, Peers: peers, Dir: t.TempDir(), Log: log.WithField("id", id), Speed: 4}
		configs = append(configs, c)
		c.Listener = listeners[id]
		open(c)
	}
	t.Cleanup(func() {
		for _, n := range nodes {
			n.Close()
		}
	})
	// propose tries every node until one that leads takes the change.
	propose := func(c Change) (leader string) {
		require.Eventually(t, func() bool {
			for id, n := range nodes {
				if _, err := n.Propose(c, time.Second); err == nil {
					leader = id
					return true
				}
			}
			return false
		}, 20*time.Second, 20*time.Millisecond)
		return leader
	}
	agreed := func(version uint64) {
		for id, n := range nodes {
			require.Eventually(t, func() bool { return n.Book().Version == version }, 20*time.Second, 10*time.Millisecond, id)
		}
	}
	put := sales()
	leader := propose(Change{Put: &put})
	agreed(1)
	_, err := nodes[leader].Propose(Change{Remove: "sales"}, time.Second)
	assert.ErrorIs(t, err, ErrConflict)
	for id, n := range nodes {
		if id != leader {
			_, err := n.Propose(Change{Expect: 1, Remove: "sales"}, time.Second)
			assert.ErrorIs(t, err, ErrNotLeader)
		}
	}
	require.NoError(t, nodes[leader].Close())
	delete(nodes, leader)
	other := sales()
	other.Team = "portal"
	propose(Change{Expect: 1, Put: &other})
	agreed(2)
	for _, c := range configs {
		if c.ID == leader {
			open(c)
		}
	}
	agreed(2)
	assert.Contains(t, nodes[leader].Book().Contracts, "portal")
}

func TestAdmin(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := ParseConfig(fmt.Appendf(nil, `{"id":"n0","bind":"127.0.0.1:0","admin":"127.0.0.1:0","dir":%q,"peers":{"n0":"127.0.0.1:1"}}`, t.TempDir()))
	require.NoError(t, err)
	k, err := Start(c, log.WithField("id", "n0"))
	require.NoError(t, err)
	t.Cleanup(func() { k.Close() })
	require.Eventually(t, func() bool { return k.Leader() != "" }, 20*time.Second, 10*time.Millisecond)
	contract := `{"classes":[{"name":"lookup","aim_ms":1500,"give_up_ms":4000,"worth":1}]}`
	for _, c := range []struct {
		method, target, body string
		status               int
		want                 string
	}{
		{"GET", "/contracts", "", 200, `"version":0`},
		{"PUT", "/contracts/sales", contract, 400, "expect"},
		{"PUT", "/contracts/sales?expect=0", `{"classes":[]}`, 400, "invalid contract"},
		{"PUT", "/contracts/sales?expect=0", `{"team":"other"}`, 400, "other"},
		{"PUT", "/contracts/sales?expect=0", contract, 200, `"version":1`},
		{"PUT", "/contracts/sales?expect=0", contract, 409, "version"},
		{"POST", "/contracts/sales?expect=1", contract, 405, ""},
		{"DELETE", "/contracts/sales?expect=1", "", 200, `"version":2`},
		{"GET", "/other", "", 404, ""},
	} {
		cl := standin.Dial(t, k.Addr())
		cl.Send(c.method, c.target, c.body)
		resp := cl.Read()
		assert.Equal(t, c.status, resp.Status, "%s %s", c.method, c.target)
		assert.Contains(t, string(resp.Body), c.want, "%s %s", c.method, c.target)
	}
}
