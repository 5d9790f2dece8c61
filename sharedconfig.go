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

// sharedConfig connects this instance's node of the replicated configuration to the fronts, which serve each version of the
// shared document that becomes active.
type sharedConfig struct {
	program *program
	node    configNode

	mu             sync.Mutex                      // held while the fronts start or change their terms
	version        uint64                          // of document; 0: none is known yet
	document       *document.Document              // the served document; nil: none is known yet
	platformConfig atomic.Pointer[platform.Config] // nil: the platform's front is off
}

// configNode is this instance's node of the replicated configuration: a voter or a follower.
type configNode interface {
	admin.ConfigNode
	// AllowsQueries reports whether queries may be admitted under a version now, and if not, the time after which clients should
	// retry.
	AllowsQueries(version uint64) (allowed bool, retryAfter time.Duration)
	// ServedVersion returns the version that this instance serves, or 0 if there is none.
	ServedVersion() uint64
	Close() error
}

// minSecretBytes is the minimum length of a key or token.
const minSecretBytes = 8

// readSecret reads a file that holds a key or token, without the white space around it. It returns nil for an empty path.
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
		return nil, fmt.Errorf("%s: the key or token must have at least %d bytes", path, minSecretBytes)
	}
	return text, nil
}

// joinConfigGroup starts this instance's node of the replicated configuration. The node is a follower if the file names voters
// to follow, else a voter.
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
		SeedVoters:        c.Voters,
		StalenessBound:    c.StalenessBound,
		ServeWhenStale:    c.ServeWhenStale,
		RaftSpeedup:       c.RaftSpeedup,
		SnapshotThreshold: c.SnapshotThreshold,
		Log:               log,
		CheckDocument:     shared.check,
		ActivateVersion:   shared.activate,
		OnChangeStep:      p.onChangeStep,
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
	follower, err := raftnode.StartFollower(c)
	if err != nil {
		return err
	}
	s.node = follower
	c.Log.WithField("voters", c.SeedVoters).Info("following voters")
	return nil
}

func (s *sharedConfig) startVoter(c raftnode.Config, listenAddr string) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", listenAddr)
	if err != nil {
		return err
	}
	c.Listener = listener
	voter, err := raftnode.StartNode(c)
	if err != nil {
		listener.Close()
		return err
	}
	s.node = voter
	c.Log.WithField("listen", listener.Addr().String()).WithField("address", c.Address).Info("reachable for instances")
	return nil
}

// startFronts starts the fronts with the active version as this instance knows it.
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
		s.program.log.WithError(err).Warn("cannot close the replicated configuration")
	}
}

// gate is the broker.Gate of both fronts.
func (s *sharedConfig) gate(t *broker.Terms) (open bool, retryAfter time.Duration) {
	return s.node.AllowsQueries(t.Version)
}

// terms returns the terms by which this instance's fronts serve a document; nil for a front that is off. It returns an error
// if one of the fronts cannot serve the document.
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

// check returns an error if this instance cannot serve a document.
func (s *sharedConfig) check(text string) error {
	d, err := document.Parse("document", text)
	if err != nil {
		return err
	}
	_, _, err = s.terms(0, d)
	return err
}

// activate makes the fronts serve a version. Fronts that have not started yet will start with it.
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

// reload applies a new configuration to the platform's front, which keeps serving the same version of the shared document.
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

// initialTerms returns the terms with which the fronts start. The caller must hold mu.
func (s *sharedConfig) initialTerms() (openSearchTerms, platformTerms *broker.Terms, err error) {
	if s.document != nil {
		return s.terms(s.version, s.document)
	}
	if c := s.platformConfig.Load(); c != nil {
		platformTerms = &broker.Terms{Settings: c.Settings}
	}
	return opensearch.UnknownTerms(), platformTerms, nil
}

// Init bootstraps a new group in an instance's data directory and returns the digest of its first version, which is the given
// document. It checks that the instance's OpenSearch front can serve the document. The instance must not run meanwhile.
func Init(c *config.Config, text, author string) (digest string, err error) {
	if c.Agreement == nil {
		return "", errors.New("the instance's file has no section [agreement]")
	}
	if len(c.Agreement.Voters) > 0 {
		return "", errors.New("cannot bootstrap a group with a follower: the instance's file has agreement.follow")
	}
	d, err := document.Parse("document", text)
	if err != nil {
		return "", err
	}
	if len(d.Classes) == 0 {
		return "", errors.New("cannot bootstrap a group: the shared sections have no section [class NAME]")
	}
	if c.OpenSearch != nil {
		if _, err := c.OpenSearch.Terms(1, d); err != nil {
			return "", err
		}
	}
	digest = document.Digest(text)
	return digest, raftnode.Bootstrap(c.DataDirectory, c.ID, c.Agreement.Address, text, digest, author, c.Agreement.KeepVersions, time.Now())
}
