package opensearch

import (
	"crypto/rand"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/document"
	"alderproxy/httpwire"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// Config is what the front is told of itself; see Terms for what it serves by.
type Config struct {
	Listen        string
	MaxConns      int
	Limits        storepool.Limits
	Stores        []storepool.Store
	Number, Fleet int // this instance among those that share the load
	// Share, where it is set, tells the two as they are now; Number and Fleet are what it begins from.
	Share func() (number, fleet int)
}

// Terms are those of a document, of a version where it is agreed. An error says why this front cannot serve by it.
func (c *Config) Terms(version uint64, d *document.Document) (*broker.Terms, error) {
	// What the API cannot do is off: a part a call, no probes, no subscription.
	number, fleet := c.Number, c.Fleet
	if c.Share != nil {
		number, fleet = c.Share()
	}
	t := &broker.Terms{Version: version, Settings: d.Settings(number, fleet)}
	if err := t.Check(); err != nil {
		return nil, err
	}
	set, by := t.Settings, indices{}
	for _, s := range c.Stores {
		if s.RingPosition >= set.RingSize {
			return nil, fmt.Errorf("store %s is in cell %d, and the layout has %d", s.Name, s.RingPosition, set.RingSize)
		}
	}
	for _, ix := range d.Indices {
		for _, slice := range ix.Shards {
			held := func(s storepool.Store) bool {
				return ((s.RingPosition-slice)%set.RingSize+set.RingSize)%set.RingSize < set.ReplicationFactor
			}
			if !slices.ContainsFunc(c.Stores, held) {
				return nil, fmt.Errorf("index %s: no store here holds slice %d", ix.Name, slice)
			}
		}
		class := slices.IndexFunc(set.Classes, func(k policy.Class) bool { return k.Name == ix.Class })
		by[ix.Name] = index{class, ix.Shards}
	}
	t.FrontData = by
	return t, nil
}

// Unknown are the terms of an instance that does not know the agreed document yet: it refuses all.
func Unknown() *broker.Terms {
	set := policy.Settings{InstanceCount: 1, Tick: 5000, Shards: 1, RingSize: 1, ReplicationFactor: 1, Classes: []policy.Class{{LatencyObjective: 1, Timeout: 1, RequiredCoverage: 1, MinCoverage: 1}}}
	return &broker.Terms{Settings: set, FrontData: indices{}}
}

// Service is a running front with its own broker over its own stores.
type Service struct {
	log    *logrus.Entry
	broker *broker.Broker
	pool   *storepool.Pool
	server *httpwire.Server
	listen net.Listener
	leave  atomic.Bool
}

// Start starts the front by terms that Config.Terms has made: when it returns, clients can connect. With a gate the
// terms are agreed with other instances; nil: they are this instance's own.
func Start(c *Config, terms *broker.Terms, gate broker.Gate, log *logrus.Entry) (*Service, error) {
	s := &Service{log: log, pool: storepool.New(c.Limits, codec{}, log)}
	var seed [8]byte
	rand.Read(seed[:]) // never fails, as its documentation says
	s.pool.UpdateEndpoints(c.Stores)
	var err error
	if s.broker, err = broker.New(broker.Config{Terms: terms, Gate: gate, Transport: s.pool, Log: log}); err != nil {
		return nil, fmt.Errorf("opensearch: %w", err)
	}
	servers := make([]policy.Endpoint, len(c.Stores))
	for i, st := range c.Stores {
		servers[i] = st.Endpoint
	}
	s.broker.UpdateEndpoints(servers)
	if s.listen, err = net.Listen("tcp", c.Listen); err != nil {
		s.broker.Close()
		return nil, fmt.Errorf("opensearch: listen: %w", err)
	}
	f := &front{broker: s.broker, agreed: gate != nil, prefix: fmt.Sprintf("%x-", seed), ready: func() bool {
		open := true
		if gate != nil {
			open, _ = gate(s.broker.Terms())
		}
		return open && !s.leave.Load()
	}}
	s.server = &httpwire.Server{
		Handle: f.handle, Log: log, MaxConnections: c.MaxConns,
		RejectionBody: func(status int, err error) []byte { return appendError(nil, status, "parse_exception", err.Error()) },
	}
	go func() {
		if err := s.server.Serve(s.listen); err != nil {
			log.WithError(err).Error("opensearch front stopped serving")
		}
	}()
	log.WithField("listen", s.Addr()).Info("serving OpenSearch-style queries")
	return s, nil
}

// Use has the front take queries by other terms from now on. Queries taken before are answered as they were taken.
func (s *Service) Use(t *broker.Terms) error { return s.broker.SetTerms(t) }

// Version is that of the terms in use.
func (s *Service) Version() uint64 { return s.broker.Terms().Version }

// Addr is the address on which clients are served.
func (s *Service) Addr() string { return s.listen.Addr().String() }

// Stop ends the front: new connections are served until one moment, and what was taken is answered by another.
func (s *Service) Stop(serveUntil, cutoff time.Time) {
	s.leave.Store(true)
	s.server.DisableKeepAlive()
	time.Sleep(time.Until(serveUntil))
	s.server.Close()
	<-s.broker.Drain(cutoff)
	s.server.Wait(time.Until(cutoff.Add(200 * time.Millisecond)))
	s.broker.Close()
	s.pool.Close()
}
