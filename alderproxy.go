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

	"alderproxy/contract"
	"alderproxy/opensearch"
	"alderproxy/platform"
)

// openSearchFile says where the second front listens. ALDERPROXY_OPENSEARCH names another one.
const openSearchFile = "deploy/opensearch.json"

// Main runs what the environment and the files tell, until SIGTERM or SIGINT. SIGHUP has it read the gatherer's
// configuration again.
func Main() error {
	// Each has a channel of its own, so that no burst of one crowds out the other. Go ends a process on a SIGHUP that
	// nobody takes, and with it every open request: it stays taken to the end, during a planned stop too.
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	logger := logrus.New()
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000"})
	search, err := searchConfig()
	if err != nil {
		return err
	}
	config := os.Getenv("EDGE_CONFIG")
	if config == "" && search.Listen == "" {
		return errors.New("nothing to serve: EDGE_CONFIG names no configuration and the OpenSearch front is off")
	}
	var front *opensearch.Service
	if search.Listen != "" {
		if front, err = opensearch.Start(search, logger.WithField("front", "opensearch")); err != nil {
			return err
		}
	}
	if search.Contracts != nil {
		keeper, err := contract.Start(search.Contracts, logger.WithField("contracts", search.Contracts.ID))
		if err != nil {
			return err
		}
		defer keeper.Close()
		go follow(keeper, front, logger)
	}
	var gatherer *platform.Gatherer
	var served <-chan error
	if config != "" {
		if gatherer, err = startGatherer(config, logger); err != nil {
			return err
		}
		served = gatherer.Served()
	}
	for {
		select {
		case <-hangups:
			if gatherer != nil {
				reload(gatherer, config, logger)
			}
		case s := <-signals:
			began := time.Now()
			logger.WithField("signal", s.String()).Info("stopping")
			done := make(chan struct{})
			go func() {
				defer close(done)
				if front != nil {
					front.Stop(began.Add(platform.ServeOn), began.Add(platform.CutAfter))
				}
			}()
			if gatherer != nil {
				gatherer.Stop(began)
			}
			<-done
			return nil
		case err := <-served:
			return fmt.Errorf("stopped serving: %w", err)
		}
	}
}

// reload hands a configuration that was read again to the gatherer. One that cannot be used changes nothing.
func reload(g *platform.Gatherer, path string, logger *logrus.Logger) {
	c, err := gathererConfig(path)
	if err != nil {
		logger.WithError(err).Error("new configuration unusable: the old one stands")
		return
	}
	useLimits(c)
	g.Reload(c)
}

// follow has the front serve by each new version of the contracts.
func follow(keeper *contract.Keeper, front *opensearch.Service, logger *logrus.Logger) {
	for served := uint64(0); ; {
		changed := keeper.Changed() // before the look, so that no change is missed
		if book := keeper.Book(); book.Version != served {
			served = book.Version
			if err := front.Use(book); err != nil {
				logger.WithError(err).Error("contracts unusable: the last ones stand")
			}
		}
		<-changed
	}
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
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
}

func startGatherer(path string, logger *logrus.Logger) (*platform.Gatherer, error) {
	c, err := gathererConfig(path)
	if err != nil {
		return nil, err
	}
	useLimits(c)
	return platform.Start(c, logger.WithField("gatherer", c.Name))
}

func searchConfig() (*opensearch.Config, error) {
	path, named := os.LookupEnv("ALDERPROXY_OPENSEARCH")
	if !named {
		path = openSearchFile
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !named {
		return &opensearch.Config{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("opensearch configuration: %w", err)
	}
	return opensearch.ParseConfig(text)
}
