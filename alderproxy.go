// Package alderproxy assembles the program: the front for the platform's protocol, the front for OpenSearch-style queries,
// the shared configuration, the membership of a fleet and the admin server, as the instance's file has them. Each part is
// set up in one file of this package; this file has the order in which they start and stop.
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

// ConfigPath returns the path of the instance's file: the given one, else the value of ALDERPROXY_CONFIG, else that of the
// deployment. It is empty where none is named and the deployment has none.
func ConfigPath(path string) string {
	if path == "" {
		path = os.Getenv("ALDERPROXY_CONFIG")
	}
	if _, err := os.Stat(defaultConfigFile); path == "" && !errors.Is(err, fs.ErrNotExist) {
		return defaultConfigFile
	}
	return path
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
	// Each signal has a channel of its own, so that a burst of one does not displace the other. Go ends a process on a
	// SIGHUP that is not handled, and with it every open request: it stays handled during the shutdown too.
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
			p.shutdown(time.Now())
			return nil
		case err := <-p.serveError:
			return fmt.Errorf("stopped serving: %w", err)
		}
	}
}

func loadConfig(path string) (*config.Config, error) {
	c := &config.Config{ID: "alderproxy"}
	if path = ConfigPath(path); path != "" {
		var err error
		if c, err = config.Load(path); err != nil {
			return nil, err
		}
	}
	if named := os.Getenv("EDGE_CONFIG"); named != "" {
		c.PlatformConfigPath = named
	}
	if c.PlatformConfigPath == "" && c.OpenSearch == nil {
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

// program is the parts that one process runs, in the order in which they start.
type program struct {
	config       *config.Config
	log          *logrus.Logger
	onChangeStep func(step string) // see Options

	sharedConfig  *sharedConfig        // nil: the instance has its own configuration only
	gossip        *gossip.Node         // nil: the instance is not a member of a fleet
	admin         *admin.Server        // nil: the admin server is off
	openSearch    *opensearch.Service  // nil: this front is off
	aggregator    *platform.Aggregator // nil: this front is off
	serveError    <-chan error         // yields why the platform's front stopped serving
	factPublisher *worker              // publishes this instance's facts to the fleet
	quotaUpdater  *worker              // follows this instance's quota of the stores' capacity
}

// worker is a goroutine that runs until it is stopped.
type worker struct {
	stopping chan struct{}
	done     chan struct{}
}

// startWorker runs a function in a goroutine. It has to return once the channel that it gets is closed.
func startWorker(run func(stopping <-chan struct{})) *worker {
	w := &worker{stopping: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		run(w.stopping)
	}()
	return w
}

// stop ends the worker and waits until it has returned. A nil worker never ran.
func (w *worker) stop() {
	if w == nil {
		return
	}
	close(w.stopping)
	<-w.done
}

func (p *program) start() error {
	platformConfig, err := p.loadPlatformConfig()
	if err != nil {
		return err
	}
	if platformConfig != nil {
		applyResourceLimits(platformConfig)
	}
	if p.config.Agreement != nil {
		if err := p.joinConfigGroup(platformConfig); err != nil {
			return err
		}
	}
	if err := p.startMembership(platformConfig); err != nil {
		return err
	}
	if p.config.AdminAddr != "" {
		if err := p.startAdmin(); err != nil {
			return err
		}
	}
	if p.sharedConfig == nil {
		return p.startStandalone(platformConfig)
	}
	return p.sharedConfig.startFronts(platformConfig)
}

// startStandalone starts the fronts by the instance's own configuration.
func (p *program) startStandalone(platformConfig *platform.Config) error {
	var terms *broker.Terms
	if p.config.OpenSearch != nil {
		var err error
		if terms, err = p.config.OpenSearch.Terms(0, p.config.Document); err != nil {
			return err
		}
	}
	return p.startFronts(platformConfig, terms, nil, nil)
}

// startFronts starts the fronts that are on, and the workers that depend on them.
func (p *program) startFronts(platformConfig *platform.Config, terms *broker.Terms, gate broker.Gate, replicated *platform.ReplicatedTerms) (err error) {
	if p.config.OpenSearch != nil {
		if p.openSearch, err = opensearch.Start(p.config.OpenSearch, terms, gate, p.log.WithField("front", "opensearch")); err != nil {
			return err
		}
	}
	if platformConfig != nil {
		if p.aggregator, err = platform.Start(platformConfig, replicated, p.log.WithField("gatherer", platformConfig.Name)); err != nil {
			return err
		}
		p.serveError = p.aggregator.ServeError()
	}
	if p.gossip != nil {
		p.factPublisher = startWorker(p.publishFacts)
		if p.openSearch != nil {
			p.quotaUpdater = startWorker(p.updateQuota)
		}
	}
	return nil
}

// shutdown makes the graceful shutdown of a process that received its signal at the given time.
func (p *program) shutdown(signaledAt time.Time) {
	if p.gossip != nil {
		p.gossip.Leave()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if p.openSearch != nil {
			p.openSearch.Shutdown(signaledAt.Add(platform.MinServeDuration), signaledAt.Add(platform.MaxDrainDuration))
		}
	}()
	if p.aggregator != nil {
		p.aggregator.Shutdown(signaledAt)
	}
	<-done
}

func (p *program) close() {
	if p.admin != nil {
		if err := p.admin.Close(); err != nil {
			p.log.WithError(err).Warn("admin server not closed cleanly")
		}
	}
	if p.gossip != nil {
		p.stopGossip()
	}
	if p.sharedConfig != nil {
		p.sharedConfig.close()
	}
}

// reload reads the platform's configuration again. One that cannot be used changes nothing.
func (p *program) reload() {
	if err := p.applyPlatformConfig(); err != nil {
		p.log.WithError(err).Error("new configuration unusable: the old one stands")
	}
}

func (p *program) applyPlatformConfig() error {
	c, err := p.loadPlatformConfig()
	if err != nil {
		return err
	}
	if p.sharedConfig != nil {
		err = p.sharedConfig.reload(c)
	} else {
		err = p.aggregator.Reload(c)
	}
	if err != nil {
		return err
	}
	applyResourceLimits(c)
	return nil
}

// loadPlatformConfig reads the platform's configuration; nil: the instance has none.
func (p *program) loadPlatformConfig() (*platform.Config, error) {
	if p.config.PlatformConfigPath == "" {
		return nil, nil
	}
	text, err := os.ReadFile(p.config.PlatformConfigPath)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return platform.ParseConfig(text)
}

// applyResourceLimits keeps the process within the memory and the cores that its configuration grants.
func applyResourceLimits(c *platform.Config) {
	if c.MemoryMB > 0 { // a quarter is left for memory that the collector does not count
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
	}
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(c.Cores)))
	}
}
