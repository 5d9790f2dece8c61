package contract

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"
)

// NodeConfig is what an instance that holds the book is told.
type NodeConfig struct {
	ID    string
	Bind  string            // where the other instances reach it
	Peers map[string]string // all instances by id, this one included: their addresses
	Dir   string            // keeps the log over restarts; a node without its log must not come back under its id
	Log   *logrus.Entry
	// Listener takes the place of Bind where it is set.
	Listener net.Listener
	// Speed divides Raft's usual times; 0: 1. Tests on one machine use more.
	Speed int
}

// Node is one instance's copy of the book.
type Node struct {
	raft  *raft.Raft
	store *raftboltdb.BoltStore
	book  atomic.Pointer[Book]

	mu      sync.Mutex
	changed chan struct{}
}

// ErrNotLeader says that changes go to another instance now; Leader tells which.
var ErrNotLeader = errors.New("this instance does not lead")

// Open starts a node. Where its folder holds no log yet, it starts one with all peers.
func Open(c NodeConfig) (*Node, error) {
	n := &Node{changed: make(chan struct{})}
	n.book.Store(&Book{})
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(c.ID)
	conf.Logger = hclog.New(&hclog.LoggerOptions{Output: c.Log.WriterLevel(logrus.DebugLevel), Level: hclog.Info})
	if speed := time.Duration(c.Speed); speed > 1 {
		conf.HeartbeatTimeout /= speed
		conf.ElectionTimeout /= speed
		conf.LeaderLeaseTimeout /= speed
		conf.CommitTimeout /= speed
	}
	if c.Peers[c.ID] == "" {
		return nil, fmt.Errorf("contracts: node %q is not among its peers", c.ID)
	}
	if c.Listener == nil {
		l, err := net.Listen("tcp", c.Bind)
		if err != nil {
			return nil, fmt.Errorf("contracts: listen: %w", err)
		}
		c.Listener = l
	}
	transport := raft.NewNetworkTransport(layer{c.Listener, c.Peers[c.ID]}, 2, 2*time.Second, io.Discard)
	snapshots, err := raft.NewFileSnapshotStore(c.Dir, 2, io.Discard)
	if err == nil {
		n.store, err = raftboltdb.NewBoltStore(filepath.Join(c.Dir, "raft.db"))
	}
	if err != nil {
		transport.Close()
		return nil, fmt.Errorf("contracts: folder: %w", err)
	}
	if err := n.start(conf, c, transport, snapshots); err != nil {
		transport.Close()
		n.store.Close()
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return n, nil
}

func (n *Node) start(conf *raft.Config, c NodeConfig, transport raft.Transport, snapshots raft.SnapshotStore) error {
	known, err := raft.HasExistingState(n.store, n.store, snapshots)
	if err != nil {
		return err
	}
	if !known {
		var all raft.Configuration
		for id, addr := range c.Peers {
			all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(addr)})
		}
		if err := raft.BootstrapCluster(conf, n.store, n.store, snapshots, transport, all); err != nil {
			return err
		}
	}
	n.raft, err = raft.NewRaft(conf, (*machine)(n), n.store, n.store, snapshots, transport)
	return err
}

// Book is this instance's copy. It may lag behind the leader's; it is never a mixture.
func (n *Node) Book() Book { return *n.book.Load() }

// Changed returns a channel that closes when the copy changes after this call.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Leader is the address of the instance that takes changes now; empty: none is known.
func (n *Node) Leader() string {
	addr, _ := n.raft.LeaderWithID()
	return string(addr)
}

// Propose makes a change and returns once a majority holds it, with the new book.
func (n *Node) Propose(c Change, within time.Duration) (Book, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return Book{}, fmt.Errorf("contracts: %w", err)
	}
	done := n.raft.Apply(text, within)
	switch err := done.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipLost):
		return Book{}, fmt.Errorf("contracts: %w: %w", ErrNotLeader, err)
	case err != nil:
		return Book{}, fmt.Errorf("contracts: %w", err)
	}
	switch r := done.Response().(type) {
	case Book:
		return r, nil
	case error:
		return Book{}, fmt.Errorf("contracts: %w", r)
	}
	return Book{}, errors.New("contracts: no response")
}

// Close stops the node.
func (n *Node) Close() error {
	return errors.Join(n.raft.Shutdown().Error(), n.store.Close())
}

func (n *Node) set(b Book) {
	n.book.Store(&b)
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// layer carries Raft between instances over plain TCP. Its address is the one by which the peers know it.
type layer struct {
	net.Listener
	known string
}

func (l layer) Addr() net.Addr { return known(l.known) }

func (l layer) Dial(to raft.ServerAddress, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(to), limit)
}

type known string

func (known) Network() string  { return "tcp" }
func (k known) String() string { return string(k) }

// machine is the node as Raft sees it: what applies the log. Raft calls it from one goroutine.
type machine Node

// Apply makes a change that a majority holds. A refused one changes nothing, at every instance alike.
func (m *machine) Apply(l *raft.Log) any {
	n := (*Node)(m)
	c, err := decode(l.Data)
	if err != nil {
		return err
	}
	next, err := n.Book().Apply(c)
	if err != nil {
		return err
	}
	n.set(next)
	return next
}

// Snapshot is cheap: books are never changed.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) { return snapshot((*Node)(m).Book()), nil }

// Restore replaces the book.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var b Book
	if err := json.NewDecoder(from).Decode(&b); err != nil {
		return fmt.Errorf("restore contracts: %w", err)
	}
	(*Node)(m).set(b)
	return nil
}

type snapshot Book

func (s snapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(Book(s)); err != nil {
		return errors.Join(fmt.Errorf("keep contracts: %w", err), to.Cancel())
	}
	return to.Close()
}

func (snapshot) Release() {}
