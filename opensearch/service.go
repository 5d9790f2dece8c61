package opensearch

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/contract"
	"alderproxy/httpwire"
	"alderproxy/internal/jsonscan"
	"alderproxy/internal/wire"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// Config is what the front is told by its file.
type Config struct {
	Listen   string // empty: the front is off
	Settings policy.Settings
	Limits   storepool.Limits
	Stores   []storepool.Store
	MaxConns int
	// Contracts says where the teams' contracts are kept; nil: nowhere. They take the place of the settings' classes.
	Contracts *contract.Config

	indices map[string]index
}

// ParseConfig reads the front's file. Its error names what is wrong in one line.
func ParseConfig(text []byte) (*Config, error) {
	c := &Config{MaxConns: 256, indices: map[string]index{}}
	var settings, stores, indices []byte
	err := jsonscan.Object(text, func(key string, raw []byte) (err error) {
		switch key {
		case "listen":
			c.Listen, err = jsonscan.String(raw)
		case "max_conns":
			var n int64
			n, err = jsonscan.Int(raw)
			c.MaxConns = int(n)
		case "settings":
			settings = raw
		case "stores":
			stores = raw
		case "indices":
			indices = raw
		case "contracts":
			c.Contracts, err = contract.ParseConfig(raw)
		case "comment":
		default:
			err = errors.New("unknown key")
		}
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		return nil
	})
	if err == nil && c.Listen != "" {
		err = c.parts(settings, stores, indices)
	}
	if err != nil {
		return nil, fmt.Errorf("opensearch configuration: %w", err)
	}
	return c, nil
}

func (c *Config) parts(settings, stores, indices []byte) error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen %q is no address", c.Listen)
	}
	if settings == nil || stores == nil || indices == nil {
		return errors.New("settings, stores and indices are needed")
	}
	facts, err := wire.FlattenFacts(settings)
	if err != nil {
		return err
	}
	if c.Settings, err = facts.Settings(); err != nil {
		return err
	}
	// What the API cannot do is off, whatever the settings say: a part a call, no probes, no subscription.
	c.Settings.CallParts, c.Settings.MayProbe, c.Settings.AskForList = 1, false, false
	for _, class := range c.Settings.Classes {
		if class.Effect != policy.Safe {
			return fmt.Errorf("class %s: a search is always safe to repeat, and so must be its class", class.Name)
		}
	}
	c.Limits = storepool.Limits{ConnectTimeout: facts.Micros("permissions.connect_timeout_us"),
		ConnIdle: facts.Micros("permissions.conn_idle_us"), Streams: 1, Conns: 16}
	if c.Limits.ConnectTimeout <= 0 || c.Limits.ConnIdle <= 0 {
		return errors.New("permissions.connect_timeout_us and conn_idle_us are needed")
	}
	if err := jsonscan.Array(stores, c.store); err != nil {
		return fmt.Errorf("stores: %w", err)
	}
	return jsonscan.Object(indices, func(name string, raw []byte) error {
		if err := c.index(name, raw); err != nil {
			return fmt.Errorf("index %s: %w", name, err)
		}
		return nil
	})
}

func (c *Config) store(raw []byte) error {
	s := storepool.Store{Server: policy.Server{ID: uint32(len(c.Stores) + 1), Presence: policy.Ready, Size: 1}}
	err := jsonscan.Object(raw, func(key string, raw []byte) (err error) {
		var n int64
		switch key {
		case "name":
			s.Name, err = jsonscan.String(raw)
		case "addr":
			s.Addr, err = jsonscan.String(raw)
		case "cell":
			n, err = jsonscan.Int(raw)
			s.Cell = int(n)
		default:
			err = fmt.Errorf("unknown key %s", key)
		}
		return err
	})
	if err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(s.Addr); err != nil || s.Name == "" || s.Cell < 0 || s.Cell >= c.Settings.Cells {
		return fmt.Errorf("store %q at %q in cell %d", s.Name, s.Addr, s.Cell)
	}
	c.Stores = append(c.Stores, s)
	return nil
}

func (c *Config) index(name string, raw []byte) error {
	ix := index{}
	seen := map[int64]bool{}
	err := jsonscan.Object(raw, func(key string, raw []byte) error {
		switch key {
		case "class":
			var err error
			ix.class, err = jsonscan.String(raw)
			return err
		case "slices":
			return jsonscan.Array(raw, func(raw []byte) error {
				n, err := jsonscan.Int(raw)
				if err == nil && (n < 0 || n >= int64(c.Settings.Shards) || seen[n]) {
					err = fmt.Errorf("slice %d does not exist or comes twice", n)
				}
				seen[n] = true
				ix.slices = append(ix.slices, int(n))
				return err
			})
		}
		return fmt.Errorf("unknown key %s", key)
	})
	if err == nil && (len(ix.slices) == 0 || !isIndex(name)) {
		err = errors.New("needs a plain name and slices")
	}
	if err == nil && c.Contracts == nil && classOf(c.Settings, ix.class) < 0 {
		err = fmt.Errorf("no class %q", ix.class)
	}
	c.indices[name] = ix
	return err
}

// isIndex tells whether a name can stand in a path as it is.
func isIndex(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || i > 0 && (c == '-' || c == '_' || c == '.')) {
			return false
		}
	}
	return s != ""
}

// classOf is the number of a class, or -1.
func classOf(s policy.Settings, name string) int {
	return slices.IndexFunc(s.Classes, func(c policy.Class) bool { return c.Name == name })
}

// Service is a running front with its own broker over its own stores.
type Service struct {
	config *Config
	log    *logrus.Entry
	pool   *storepool.Pool
	front  *front
	server *httpwire.Server
	listen net.Listener
	leave  atomic.Bool
}

// Start starts the front: when it returns, clients can connect.
func Start(c *Config, log *logrus.Entry) (*Service, error) {
	s := &Service{config: c, log: log, pool: storepool.New(c.Limits, codec{}, log)}
	var seed [8]byte
	rand.Read(seed[:]) // never fails, as its documentation says
	s.front = &front{indices: c.indices, prefix: fmt.Sprintf("%x-", seed), ready: func() bool { return !s.leave.Load() }}
	s.pool.Follow(c.Stores)
	if err := s.Use(contract.Book{}); err != nil {
		return nil, err
	}
	var err error
	if s.listen, err = net.Listen("tcp", c.Listen); err != nil {
		s.front.now.Load().broker.Close()
		return nil, fmt.Errorf("opensearch: listen: %w", err)
	}
	s.server = &httpwire.Server{Handle: s.front.handle, Log: log, MaxConns: c.MaxConns,
		Refuse: func(status int, err error) []byte { return appendError(nil, status, "parse_exception", err.Error()) }}
	go func() {
		if err := s.server.Serve(s.listen); err != nil {
			log.WithError(err).Error("opensearch front stopped serving")
		}
	}()
	log.WithField("listen", s.Addr()).Info("serving OpenSearch-style queries")
	return s, nil
}

// Use makes the front serve by a book of contracts. Queries taken before are answered as they were taken.
func (s *Service) Use(book contract.Book) error {
	set := book.Settings(s.config.Settings)
	b, err := broker.New(broker.Config{Settings: set, Transport: s.pool, Log: s.log})
	if err != nil {
		return fmt.Errorf("contracts of version %d: %w", book.Version, err)
	}
	servers := make([]policy.Server, len(s.config.Stores))
	for i, st := range s.config.Stores {
		servers[i] = st.Server
	}
	b.Members(servers)
	before := s.front.now.Swap(&terms{broker: b, set: set})
	if before == nil {
		return nil
	}
	s.log.WithField("version", book.Version).Info("contracts changed")
	var longest policy.Micros
	for _, c := range before.set.Classes {
		longest = max(longest, c.GiveUp)
	}
	idle := before.broker.Drain(time.Now().Add(time.Duration(longest) * time.Microsecond))
	go func() {
		<-idle
		before.broker.Close()
	}()
	return nil
}

// Addr is the address on which clients are served.
func (s *Service) Addr() string { return s.listen.Addr().String() }

// Stop ends the front: new connections are served until one moment, and what was taken is answered by another.
func (s *Service) Stop(serveUntil, cutoff time.Time) {
	s.leave.Store(true)
	s.server.Leave()
	time.Sleep(time.Until(serveUntil))
	s.server.Close()
	b := s.front.now.Load().broker
	<-b.Drain(cutoff)
	s.server.Wait(time.Until(cutoff.Add(200 * time.Millisecond)))
	b.Close()
	s.pool.Close()
}
