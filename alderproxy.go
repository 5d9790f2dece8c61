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

// configFile is the operators' own file where none is named.
const configFile = "deploy/alderproxy.ini"

// ConfigPath is the file to use: the one named, else what ALDERPROXY_CONFIG names, else the one of the deployment. It
// is empty where nothing is named and that one is not there.
func ConfigPath(named string) string {
	if named == "" {
		named = os.Getenv("ALDERPROXY_CONFIG")
	}
	if _, err := os.Stat(configFile); named == "" && !errors.Is(err, fs.ErrNotExist) {
		return configFile
	}
	return named
}

// Serve runs what a file and the environment tell, until SIGTERM or SIGINT. EDGE_CONFIG names the platform's
// configuration before the file does. SIGHUP has the gatherer's configuration read again.
func Serve(path string) error {
	// Each has a channel of its own, so that no burst of one crowds out the other. Go ends a process on a SIGHUP that
	// nobody takes, and with it every open request: it stays taken to the end, during a planned stop too.
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	c, err := load(path)
	if err != nil {
		return err
	}
	p := &program{config: c, log: logger(c.Log)}
	defer p.close()
	if err := p.start(); err != nil {
		return err
	}
	for {
		select {
		case <-hangups:
			if p.gatherer != nil {
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

func load(path string) (*config.Config, error) {
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

func logger(c config.Log) *logrus.Logger {
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
	config   *config.Config
	log      *logrus.Logger
	search   *opensearch.Service
	gatherer *platform.Aggregator
	served   <-chan error

	agreement *agreement    // nil: the instance stands alone
	fleet     *gossip.Node  // nil: the instance is no member of a fleet
	operators *admin.Server // nil: there is nothing to operate
	telling   ends          // of the goroutine that tells the fleet of this instance
	sharing   ends          // of the one that follows its share
}

// ends are where a goroutine of the program hears that it is to end, and where it says that it has.
type ends struct{ stop, done chan struct{} }

func (p *program) start() (err error) {
	var edge *platform.Config
	if p.config.Gatherer != "" {
		if edge, err = gathererConfig(p.config.Gatherer); err != nil {
			return err
		}
		useLimits(edge)
	}
	if p.config.Agreement != nil {
		if err := p.agree(edge); err != nil {
			return err
		}
	}
	switch { // after the agreement, of which it tells
	case p.config.Members != nil:
		err = p.join(p.config.Members, false)
	case p.config.PeersTell && edge != nil && len(edge.Gossip.Addresses) > 0:
		err = p.join(tier(edge), true)
	}
	if err != nil {
		return err
	}
	if p.config.Admin != "" {
		if err := p.operate(); err != nil {
			return err
		}
	}
	if p.agreement == nil {
		var terms *broker.Terms
		if p.config.OpenSearch != nil {
			if terms, err = p.config.OpenSearch.Terms(0, p.config.Own); err != nil {
				return err
			}
		}
		return p.fronts(edge, terms, nil, nil)
	}
	a := p.agreement
	a.mu.Lock()
	defer a.mu.Unlock()
	search, own, err := a.first()
	if err != nil {
		return err
	}
	return p.fronts(edge, search, a.gate, &platform.ReplicatedTerms{Initial: own, Gate: a.gate})
}

// fronts starts those that are on.
func (p *program) fronts(edge *platform.Config, terms *broker.Terms, gate broker.Gate, agreed *platform.ReplicatedTerms) (err error) {
	if p.config.OpenSearch != nil {
		if p.search, err = opensearch.Start(p.config.OpenSearch, terms, gate, p.log.WithField("front", "opensearch")); err != nil {
			return err
		}
	}
	if edge != nil {
		if p.gatherer, err = platform.Start(edge, agreed, p.log.WithField("gatherer", edge.Name)); err != nil {
			return err
		}
		p.served = p.gatherer.ServeError()
	}
	if p.fleet != nil { // what it tells and follows is there now
		p.telling = ends{make(chan struct{}), make(chan struct{})}
		go p.tellFacts()
		if p.search != nil {
			p.sharing = ends{make(chan struct{}), make(chan struct{})}
			go p.followShare()
		}
	}
	return nil
}

// stop makes a planned stop that began then.
func (p *program) stop(began time.Time) {
	if p.fleet != nil {
		p.fleet.Leave()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if p.search != nil {
			p.search.Stop(began.Add(platform.MinServeDuration), began.Add(platform.MaxDrainDuration))
		}
	}()
	if p.gatherer != nil {
		p.gatherer.Shutdown(began)
	}
	<-done
}

func (p *program) close() {
	if p.operators != nil {
		p.operators.Close()
	}
	if p.fleet != nil {
		p.part()
	}
	if p.agreement != nil {
		p.agreement.close()
	}
}

// reload hands a configuration that was read again to the gatherer. One that cannot be used changes nothing.
func (p *program) reload() {
	c, err := gathererConfig(p.config.Gatherer)
	if err != nil {
		p.log.WithError(err).Error("new configuration unusable: the old one stands")
		return
	}
	if p.agreement != nil {
		err = p.agreement.reload(c)
	} else {
		err = p.gatherer.Reload(c)
	}
	if err != nil {
		p.log.WithError(err).Error("new configuration unusable: the old one stands")
		return
	}
	useLimits(c)
}

func gathererConfig(path string) (*platform.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return platform.ParseConfig(text)
}

// useLimits keeps the process within the memory and the cores that it was given.
func useLimits(c *platform.Config) {
	if c.MemoryMB > 0 { // the collector works harder before the limit is reached; a quarter is for the rest
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
	}
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(c.Cores)))
	}
}
