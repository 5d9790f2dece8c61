package alderproxy

import (
	"bytes"
	"context"
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

// sharedConfig connects the instance's part in the replicated configuration with the fronts: it has them serve each version
// of the shared document.
type sharedConfig struct {
	program *program
	node    configNode

	mu             sync.Mutex                      // held while the fronts start or change their terms
	version        uint64                          // of document
	document       *document.Document              // nil: none is known yet
	platformConfig atomic.Pointer[platform.Config] // nil: the platform's front is off
}

// configNode is a voter or a follower of the replicated configuration.
type configNode interface {
	admin.ConfigNode
	// Gate reports whether queries may be admitted by a version now, and if not, after which time to retry.
	Gate(version uint64) (open bool, retryAfter time.Duration)
	// ServedVersion returns the version that this instance serves; 0: none.
	ServedVersion() uint64
	Close() error
}

// minSecretBytes is the least length of a key or token.
const minSecretBytes = 8

// readSecret reads a file that holds one key or token; an empty path means none.
func readSecret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	text = bytes.TrimSpace(text)
	if len(text) < minSecretBytes {
		return nil, fmt.Errorf("%s: a word of at least %d bytes is wanted", path, minSecretBytes)
	}
	return text, nil
}

// joinConfigGroup starts this instance's node, as a voter or, where the file names voters to follow, as a follower.
func (p *program) joinConfigGroup(platformConfig *platform.Config) error {
	c := p.config.Agreement
	key, err := readSecret(c.KeyFile)
	if err != nil {
		return fmt.Errorf("agreement.key_file: %w", err)
	}
	shared := &sharedConfig{program: p}
	shared.platformConfig.Store(platformConfig)
	log := p.log.WithField("instance", p.config.ID)
	node := raftnode.Config{
		Name:              p.config.ID,
		DataDirectory:     p.config.DataDirectory,
		Address:           c.Address,
		Key:               key,
		Voters:            c.Voters,
		StalenessBound:    c.StalenessBound,
		ServeWhenStale:    c.ServeWhenStale,
		RaftSpeedup:       c.RaftSpeedup,
		SnapshotThreshold: c.SnapshotThreshold,
		Log:               log,
		Check:             shared.check,
		Activate:          shared.activate,
		OnStep:            p.onChangeStep,
	}
	if len(c.Voters) > 0 {
		err = shared.startFollower(node)
	} else {
		err = shared.startVoter(node, c.Listen)
	}
	if err != nil {
		return fmt.Errorf("agreement: %w", err)
	}
	p.sharedConfig = shared
	return nil
}

func (s *sharedConfig) startFollower(c raftnode.Config) error {
	follower, err := raftnode.Follow(c)
	if err != nil {
		return err
	}
	s.node = follower
	c.Log.WithField("voters", c.Voters).Info("following")
	return nil
}

func (s *sharedConfig) startVoter(c raftnode.Config, listenAddr string) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", listenAddr)
	if err != nil {
		return err
	}
	c.Listener = listener
	voter, err := raftnode.Open(c)
	if err != nil {
		listener.Close()
		return err
	}
	s.node = voter
	c.Log.WithField("listen", listener.Addr().String()).WithField("address", c.Address).Info("reachable for instances")
	return nil
}

// startFronts starts the fronts with the version that is in force.
func (s *sharedConfig) startFronts(platformConfig *platform.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	openSearchTerms, platformTerms, err := s.initialTerms()
	if err != nil {
		return err
	}
	return s.program.startFronts(platformConfig, openSearchTerms, s.gate, &platform.ReplicatedTerms{Initial: platformTerms, Gate: s.gate})
}

func (s *sharedConfig) close() {
	if voter, votes := s.node.(*raftnode.Node); votes {
		voter.TransferLeadership(time.Second)
	}
	if err := s.node.Close(); err != nil {
		s.program.log.WithError(err).Warn("agreement not closed cleanly")
	}
}

// gate is the brokers' gate.
func (s *sharedConfig) gate(t *broker.Terms) (open bool, retryAfter time.Duration) {
	return s.node.Gate(t.Version)
}

// terms returns what this instance's fronts would serve a document by. An error says why one of them cannot.
func (s *sharedConfig) terms(version uint64, d *document.Document) (openSearchTerms, platformTerms *broker.Terms, err error) {
	if c := s.program.config.OpenSearch; c != nil {
		if openSearchTerms, err = c.Terms(version, d); err != nil {
			return nil, nil, err
		}
	}
	if c := s.platformConfig.Load(); c != nil {
		if platformTerms, err = c.Terms(version, d); err != nil {
			return nil, nil, err
		}
	}
	return openSearchTerms, platformTerms, nil
}

// check returns an error that says why this instance could not serve a document, if it could not.
func (s *sharedConfig) check(text string) error {
	d, err := document.Parse("document", text)
	if err != nil {
		return err
	}
	_, _, err = s.terms(0, d)
	return err
}

// activate has the fronts serve a version. Fronts that have not started yet start with it.
func (s *sharedConfig) activate(v sharedconfig.Version) error {
	d, err := document.Parse("document", v.Text)
	if err != nil {
		return err
	}
	openSearchTerms, platformTerms, err := s.terms(v.Number, d)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v.Number
	s.document = d
	if s.program.openSearch != nil {
		if err := s.program.openSearch.SetTerms(openSearchTerms); err != nil {
			return err
		}
	}
	if s.program.aggregator != nil {
		return s.program.aggregator.SetTerms(platformTerms)
	}
	return nil
}

// reload has the platform's front serve by a new configuration of its own, under the version that is in force.
func (s *sharedConfig) reload(c *platform.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := &broker.Terms{Settings: c.Settings}
	if s.document != nil {
		var err error
		if terms, err = c.Terms(s.version, s.document); err != nil {
			return err
		}
	}
	if err := s.program.aggregator.Reload(c); err != nil {
		return err
	}
	s.platformConfig.Store(c)
	return s.program.aggregator.SetTerms(terms)
}

// initialTerms returns the terms with which the fronts start. The caller holds the lock.
func (s *sharedConfig) initialTerms() (openSearchTerms, platformTerms *broker.Terms, err error) {
	if s.document != nil {
		return s.terms(s.version, s.document)
	}
	if c := s.platformConfig.Load(); c != nil {
		platformTerms = &broker.Terms{Settings: c.Settings}
	}
	return opensearch.UnknownTerms(), platformTerms, nil
}

// Init bootstraps a new group in an instance's data directory. The group's first version is the given document, which this
// instance must be able to serve; its digest is returned. The instance must not run meanwhile.
func Init(c *config.Config, text, author string) (digest string, err error) {
	if c.Agreement == nil {
		return "", errors.New("the instance's file has no [agreement]")
	}
	if len(c.Agreement.Voters) > 0 {
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
	return digest, raftnode.Bootstrap(c.DataDirectory, c.ID, c.Agreement.Address, text, digest, author, c.Agreement.KeepVersions, time.Now())
}
