package alderproxy

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"alderproxy/admin"
	"alderproxy/broker"
	"alderproxy/config"
	"alderproxy/document"
	"alderproxy/opensearch"
	"alderproxy/platform"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

// agreement is the program's side of its group: it has the fronts serve by each version of the agreed document.
type agreement struct {
	p    *program
	node part

	mu      sync.Mutex
	version uint64
	doc     *document.Document              // of the version; nil: none is known yet
	edge    atomic.Pointer[platform.Config] // the gatherer's; nil: that front is off
}

// part is this instance's part in its group, with a vote or without.
type part interface {
	admin.Agreement
	Gate(version uint64) (open bool, comeBack time.Duration)
	ServedVersion() uint64
	Close() error
}

// atStep is set by tests that let an instance die in the middle of a change.
var atStep func(step string)

// secret reads a file that holds one word.
func secret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	text = bytes.TrimSpace(text)
	if len(text) < 8 {
		return nil, fmt.Errorf("%s: a word of at least 8 bytes is wanted", path)
	}
	return text, nil
}

// agree starts this instance's part in its group. The fronts start after it.
func (p *program) agree(edge *platform.Config) error {
	c := p.config.Agreement
	key, err := secret(c.KeyFile)
	if err != nil {
		return fmt.Errorf("agreement.key_file: %w", err)
	}
	a := &agreement{p: p}
	a.edge.Store(edge)
	log := p.log.WithField("instance", p.config.ID)
	conf := raftnode.Config{
		Name: p.config.ID, DataDirectory: p.config.Folder, Address: c.Address, Key: key, Voters: c.Follow,
		StalenessBound: c.StaleAfter, ServeWhenStale: c.ServeStale, Speed: c.Speed, SnapshotAfter: c.SnapshotAfter, Log: log,
		Check: a.check, Activate: a.use, OnStep: atStep,
	}
	if len(c.Follow) > 0 {
		f, err := raftnode.Follow(conf)
		if err != nil {
			return fmt.Errorf("agreement: %w", err)
		}
		a.node, p.agreement = f, a
		log.WithField("voters", c.Follow).Info("following")
		return nil
	}
	peers, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("agreement: %w", err)
	}
	conf.Listener = peers
	n, err := raftnode.Open(conf)
	if err != nil {
		peers.Close()
		return fmt.Errorf("agreement: %w", err)
	}
	a.node = n
	log.WithField("listen", peers.Addr().String()).WithField("address", c.Address).Info("reachable for instances")
	p.agreement = a
	return nil
}

func (a *agreement) close() {
	if n, votes := a.node.(*raftnode.Node); votes {
		n.TransferLeadership(time.Second)
	}
	if err := a.node.Close(); err != nil {
		a.p.log.WithError(err).Warn("agreement not closed cleanly")
	}
}

// gate is asked by the brokers as they take a query.
func (a *agreement) gate(t *broker.Terms) (bool, time.Duration) { return a.node.Gate(t.Version) }

// terms are what this instance's fronts would serve a document by; an error says why one cannot.
func (a *agreement) terms(version uint64, d *document.Document) (search, edge *broker.Terms, err error) {
	if c := a.p.config.OpenSearch; c != nil {
		if search, err = c.Terms(version, d); err != nil {
			return nil, nil, err
		}
	}
	if c := a.edge.Load(); c != nil {
		if edge, err = c.Terms(version, d); err != nil {
			return nil, nil, err
		}
	}
	return search, edge, nil
}

// check tells whether this instance could serve by a text.
func (a *agreement) check(text string) error {
	d, err := document.Parse("document", text)
	if err != nil {
		return err
	}
	_, _, err = a.terms(0, d)
	return err
}

// use has the fronts serve by a version. Those that have not started yet begin with it.
func (a *agreement) use(v sharedconfig.Version) error {
	d, err := document.Parse("document", v.Text)
	if err != nil {
		return err
	}
	search, edge, err := a.terms(v.Number, d)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version, a.doc = v.Number, d
	if a.p.search != nil {
		if err := a.p.search.Use(search); err != nil {
			return err
		}
	}
	if a.p.gatherer != nil {
		return a.p.gatherer.SetTerms(edge)
	}
	return nil
}

// reload has the gatherer serve by a new configuration of its own, under the version that is in force.
func (a *agreement) reload(c *platform.Config) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	terms := &broker.Terms{Settings: c.Settings}
	if a.doc != nil {
		var err error
		if terms, err = c.Terms(a.version, a.doc); err != nil {
			return err
		}
	}
	if err := a.p.gatherer.Reload(c); err != nil {
		return err
	}
	a.edge.Store(c)
	return a.p.gatherer.SetTerms(terms)
}

// first are the terms that the fronts start with. The lock is held.
func (a *agreement) first() (search, edge *broker.Terms, err error) {
	if a.doc != nil {
		return a.terms(a.version, a.doc)
	}
	if c := a.edge.Load(); c != nil {
		edge = &broker.Terms{Settings: c.Settings}
	}
	return opensearch.Unknown(), edge, nil
}

// Init makes an instance's folder the first of a new group, whose first version is a text that this instance can serve
// by.
func Init(c *config.Config, text, author string) (digest string, err error) {
	if c.Agreement == nil {
		return "", errors.New("the instance's file has no [agreement]")
	}
	if len(c.Agreement.Follow) > 0 {
		return "", errors.New("this instance follows others (agreement.follow): it cannot begin a group")
	}
	d, err := document.Parse("document", text)
	if err != nil {
		return "", err
	}
	if len(d.Classes) == 0 {
		return "", errors.New("there are no shared sections to begin with: no class stands in them")
	}
	if c.OpenSearch != nil {
		if _, err := c.OpenSearch.Terms(1, d); err != nil {
			return "", err
		}
	}
	digest = document.Digest(text)
	return digest, raftnode.Bootstrap(c.Folder, c.ID, c.Agreement.Address, text, digest, author, c.Agreement.Keep, time.Now())
}
