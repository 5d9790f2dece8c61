// Package alderproxy assembles the program from the components that the instance's file configures: the fronts for the
// platform's protocol and for OpenSearch-style queries, the replicated configuration, the membership of a fleet and the admin
// server. This file defines the order in which they start and stop.
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
	"alderproxy/httpwire"
	"alderproxy/opensearch"
	"alderproxy/platform"
)

// defaultConfigFile is the path of the instance's file if none is given.
const defaultConfigFile = "deploy/alderproxy.ini"

// ConfigPath returns the path of the instance's file: path unless it is empty, else the value of ALDERPROXY_CONFIG, else
// deploy/alderproxy.ini if that exists. It returns an empty path if there is none of these.
func ConfigPath(path string) string {
	if path == "" {
		path = os.Getenv("ALDERPROXY_CONFIG")
	}
	if _, err := os.Stat(defaultConfigFile); path == "" && !errors.Is(err, fs.ErrNotExist) {
		return defaultConfigFile
	}
	return path
}

// Options configures Serve.
type Options struct {
	ConfigPath string // path of the instance's file; empty: see ConfigPath
	// OnChangeStep is called at the steps of a configuration change on the leader; see raftnode.Config.OnStep. Tests use it to
	// kill an instance in the middle of a change. Nil: not called.
	OnChangeStep func(step string)
}

// Serve runs one instance until SIGTERM or SIGINT and returns nil after a graceful shutdown. The path of the platform's
// configuration in EDGE_CONFIG takes precedence over that in the instance's file. SIGHUP reloads the platform's configuration.
func Serve(options Options) error {
	// SIGHUP has a channel of its own, so that a burst of it does not displace a signal to stop. It stays handled during the
	// shutdown, since the Go runtime ends the process, with all open requests, on a SIGHUP that is not handled.
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	c, err := loadConfig(options.ConfigPath)
	if err != nil {
		return err
	}
	p := &program{
		config:        c,
		log:           newLogger(c.Log),
		onChangeStep:  options.OnChangeStep,
		requestMemory: httpwire.NewRequestMemory(defaultRequestMemory),
	}
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
		return nil, errors.New("nothing to serve: neither EDGE_CONFIG nor gatherer.config names the platform's configuration, and the OpenSearch front is off")
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

// program holds the components that one process runs, in the order in which they start.
type program struct {
	config       *config.Config
	log          *logrus.Logger
	onChangeStep func(step string) // see Options
	// requestMemory limits the memory of the requests of both fronts' clients.
	requestMemory *httpwire.RequestMemory

	sharedConfig  *sharedConfig        // nil: the instance has no replicated configuration
	gossip        *gossip.Node         // nil: the instance is not a member of a fleet
	admin         *admin.Server        // nil: the admin server is off
	openSearch    *opensearch.Service  // nil: the OpenSearch front is off
	aggregator    *platform.Aggregator // nil: the platform's front is off
	serveError    <-chan error         // yields the error with which the platform's front stopped serving
	factPublisher *worker              // publishes this instance's facts to the fleet; nil: not started
	quotaUpdater  *worker              // applies this instance's quota of the stores' capacity; nil: not started
}

// worker is a goroutine that runs until stop is called.
type worker struct {
	stopping chan struct{}
	done     chan struct{}
}

// startWorker runs a function in a new goroutine. The function must return once its channel is closed.
func startWorker(run func(stopping <-chan struct{})) *worker {
	w := &worker{stopping: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		run(w.stopping)
	}()
	return w
}

// stop ends the worker and waits until its function has returned. It does nothing for nil.
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
		p.applyResourceLimits(platformConfig)
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

// startStandalone starts the fronts of an instance that has no replicated configuration.
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

// startFronts starts the fronts that are on, and then the workers that need them. gate and replicated are nil without a
// replicated configuration.
func (p *program) startFronts(platformConfig *platform.Config, terms *broker.Terms, gate broker.Gate, replicated *platform.ReplicatedTerms) (err error) {
	if p.config.OpenSearch != nil {
		p.config.OpenSearch.RequestMemory = p.requestMemory
		if p.openSearch, err = opensearch.Start(p.config.OpenSearch, terms, gate, p.log.WithField("front", "opensearch")); err != nil {
			return err
		}
	}
	if platformConfig != nil {
		platformConfig.RequestMemory = p.requestMemory
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

// shutdown leaves the fleet and shuts down both fronts concurrently and gracefully. Their time limits count from the time of
// the signal.
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
			p.log.WithError(err).Warn("cannot close the admin server")
		}
	}
	if p.gossip != nil {
		p.stopGossip()
	}
	if p.sharedConfig != nil {
		p.sharedConfig.close()
	}
}

// reload reads the platform's configuration again. If it cannot be used, the previous one stays in effect.
func (p *program) reload() {
	if err := p.applyPlatformConfig(); err != nil {
		p.log.WithError(err).Error("cannot use the new configuration of the platform: the previous one stays in effect")
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
	p.applyResourceLimits(c)
	return nil
}

// loadPlatformConfig reads the platform's configuration. It returns nil if the platform's front is off.
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

const (
	// goMemoryShare is the part of the limit on memory that the Go runtime may use. The rest is left for memory that it does not
	// count.
	goMemoryShare = 0.75
	// requestMemoryShare is the part of the limit on memory that clients' requests may hold. The runtime needs about twice as
	// much for them, since it frees memory late.
	requestMemoryShare = 0.125
	// defaultRequestMemory is the memory in bytes that clients' requests may hold if there is no limit on memory.
	defaultRequestMemory = 64 << 20
)

// applyResourceLimits limits the process to the memory and the cores that the platform's configuration grants.
func (p *program) applyResourceLimits(c *platform.Config) {
	if c.MemoryMB > 0 {
		limit := float64(c.MemoryMB << 20)
		debug.SetMemoryLimit(int64(limit * goMemoryShare))
		p.requestMemory.SetLimit(int64(limit * requestMemoryShare))
	}
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(c.Cores)))
	}
}
