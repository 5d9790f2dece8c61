// Package alderproxy puts the program together: a gatherer for the platform's protocol and, where its file says
// so, a front for OpenSearch-style queries.
package alderproxy

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/admin"
	"alderproxy/broker"
	"alderproxy/config"
	"alderproxy/gossip"
	"alderproxy/opensearch"
	"alderproxy/platform"
)

// defaultConfigFile is the operators' own file where none is named.
const defaultConfigFile = "deploy/alderproxy.ini"

// ConfigPath is the file to use: the one named, else what ALDERPROXY_CONFIG names, else the one of the deployment. It
// is empty where nothing is named and that one is not there.
func ConfigPath(named string) string {
	if named == "" {
		named = os.Getenv("ALDERPROXY_CONFIG")
	}
	if _, err := os.Stat(defaultConfigFile); named == "" && !errors.Is(err, fs.ErrNotExist) {
		return defaultConfigFile
	}
	return named
}

// Options say how a process is run.
type Options struct {
	ConfigPath string // the instance's own file; empty: see ConfigPath
	// OnChangeStep is called before each step that a leader takes with a configuration change; see raftnode.Config. It is
	// for tests that kill an instance in the middle of a change; nil: not called.
	OnChangeStep func(step string)
}

// Serve runs one instance until SIGTERM or SIGINT and returns nil after a graceful shutdown. EDGE_CONFIG takes precedence
// over the file's name for the platform's configuration. SIGHUP reloads the platform's configuration.
func Serve(options Options) error {
	// Each has a channel of its own, so that no burst of one crowds out the other. Go ends a process on a SIGHUP that
	// nobody takes, and with it every open request: it stays taken to the end, during a planned stop too.
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	c, err := loadConfig(options.ConfigPath)
	if err != nil {
		return err
	}
	p := &program{config: c, log: newLogger(c.Log), onChangeStep: options.OnChangeStep}
	defer p.close()
	if err := p.start(); err != nil {
		return err
	}
	for {
		select {
		case <-hangups:
			if p.aggregator != nil {
				p.reload()
			}
		case s := <-signals:
			p.log.WithField("signal", s.String()).Info("stopping")
			p.stop(time.Now())
			return nil
		case err := <-p.served:
			return fmt.Errorf("stopped serving: %w", err)
		}
	}
}

func loadConfig(path string) (*config.Config, error) {
	c, err := &config.Config{ID: "alderproxy"}, error(nil)
	if path = ConfigPath(path); path != "" {
		if c, err = config.Load(path); err != nil {
			return nil, err
		}
	}
	if named := os.Getenv("EDGE_CONFIG"); named != "" {
		c.Gatherer = named
	}
	if c.Gatherer == "" && c.OpenSearch == nil {
		return nil, errors.New("nothing to serve: EDGE_CONFIG names no configuration and the OpenSearch front is off")
	}
	return c, nil
}

func newLogger(c config.Log) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	if c.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	if level, err := logrus.ParseLevel(c.Level); err == nil {
		l.SetLevel(level)
	}
	return l
}

// program is what one process runs.
type program struct {
	onChangeStep func(step string)
	config       *config.Config
	log          *logrus.Logger
	openSearch   *opensearch.Service
	aggregator   *platform.Gatherer
	served       <-chan error

	sharedConfig  *sharedConfig // nil: the instance stands alone
	gossip        *gossip.Node  // nil: the instance is no member of a fleet
	admin         *admin.Server // nil: there is nothing to operate
	factPublisher worker        // of the goroutine that tells the fleet of this instance
	quotaFollower worker        // of the one that follows its share
}

// worker are where a goroutine of the program hears that it is to end, and where it says that it has.
type worker struct{ stop, done chan struct{} }

func (p *program) start() (err error) {
	var edge *platform.Config
	if p.config.Gatherer != "" {
		if edge, err = loadPlatformConfig(p.config.Gatherer); err != nil {
			return err
		}
		applyResourceLimits(edge)
	}
	if p.config.Agreement != nil {
		if err := p.joinConfigGroup(edge); err != nil {
			return err
		}
	}
	switch { // after the agreement, of which it tells
	case p.config.Members != nil:
		err = p.startGossip(p.config.Members, false)
	case p.config.PeersTell && edge != nil && len(edge.Peers.All) > 0:
		err = p.startGossip(platformMembers(edge), true)
	}
	if err != nil {
		return err
	}
	if p.config.Admin != "" {
		if err := p.startAdmin(); err != nil {
			return err
		}
	}
	if p.sharedConfig == nil {
		var terms *broker.Terms
		if p.config.OpenSearch != nil {
			if terms, err = p.config.OpenSearch.Terms(0, p.config.Own); err != nil {
				return err
			}
		}
		return p.startFronts(edge, terms, nil, nil)
	}
	a := p.sharedConfig
	a.mu.Lock()
	defer a.mu.Unlock()
	search, own, err := a.initialTerms()
	if err != nil {
		return err
	}
	return p.startFronts(edge, search, a.allowsQueries, &platform.Agreement{Terms: own, Gate: a.allowsQueries})
}

// startFronts starts those that are on.
func (p *program) startFronts(edge *platform.Config, terms *broker.Terms, gate broker.Gate, agreed *platform.Agreement) (err error) {
	if p.config.OpenSearch != nil {
		if p.openSearch, err = opensearch.Start(p.config.OpenSearch, terms, gate, p.log.WithField("front", "opensearch")); err != nil {
			return err
		}
	}
	if edge != nil {
		if p.aggregator, err = platform.Start(edge, agreed, p.log.WithField("gatherer", edge.Name)); err != nil {
			return err
		}
		p.served = p.aggregator.Served()
	}
	if p.gossip != nil { // what it tells and follows is there now
		p.factPublisher = worker{make(chan struct{}), make(chan struct{})}
		go p.publishFacts()
		if p.openSearch != nil {
			p.quotaFollower = worker{make(chan struct{}), make(chan struct{})}
			go p.followQuota()
		}
	}
	return nil
}

// stop makes a planned stop that began then.
func (p *program) stop(began time.Time) {
	if p.gossip != nil {
		p.gossip.Leave()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if p.openSearch != nil {
			p.openSearch.Stop(began.Add(platform.ServeOn), began.Add(platform.CutAfter))
		}
	}()
	if p.aggregator != nil {
		p.aggregator.Stop(began)
	}
	<-done
}

func (p *program) close() {
	if p.admin != nil {
		p.admin.Close()
	}
	if p.gossip != nil {
		p.stopGossip()
	}
	if p.sharedConfig != nil {
		p.sharedConfig.close()
	}
}

// reload hands a configuration that was read again to the gatherer. One that cannot be used changes nothing.
func (p *program) reload() {
	c, err := loadPlatformConfig(p.config.Gatherer)
	if err != nil {
		p.log.WithError(err).Error("new configuration unusable: the old one stands")
		return
	}
	if p.sharedConfig != nil {
		err = p.sharedConfig.reload(c)
	} else {
		err = p.aggregator.Reload(c)
	}
	if err != nil {
		p.log.WithError(err).Error("new configuration unusable: the old one stands")
		return
	}
	applyResourceLimits(c)
}

func loadPlatformConfig(path string) (*platform.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return platform.ParseConfig(text)
}

// applyResourceLimits keeps the process within the memory and the cores that it was given.
func applyResourceLimits(c *platform.Config) {
	if c.MemoryMB > 0 { // the collector works harder before the limit is reached; a quarter is for the rest
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
	}
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(c.Cores)))
	}
}
