package opensearch

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/httpwire"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// responseTimeout limits the time that Shutdown waits after its cutoff for the last responses to be written and the
// connections to be closed.
const responseTimeout = 200 * time.Millisecond

// Service is a running front with its own broker and its own stores.
type Service struct {
	broker   *broker.Broker
	pool     *storepool.Pool
	server   *httpwire.Server
	listener net.Listener
	draining atomic.Bool
}

// Start starts a front that serves by terms which Config.Terms has returned. When it returns, clients can connect. A gate that
// is not nil means that the terms come from the replicated configuration rather than from the instance's own document.
func Start(c *Config, terms *broker.Terms, gate broker.Gate, log *logrus.Entry) (*Service, error) {
	s := &Service{pool: storepool.New(c.Limits, codec{}, log)}
	s.pool.UpdateEndpoints(c.Stores)
	var err error
	if s.broker, err = broker.New(broker.Config{Terms: terms, Gate: gate, Transport: s.pool, Log: log}); err != nil {
		return nil, fmt.Errorf("opensearch: %w", err)
	}
	endpoints := make([]policy.Endpoint, len(c.Stores))
	for i, store := range c.Stores {
		endpoints[i] = store.Endpoint
	}
	s.broker.UpdateEndpoints(endpoints)
	if s.listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", c.Listen); err != nil {
		s.broker.Close()
		return nil, fmt.Errorf("opensearch: cannot listen for clients: %w", err)
	}
	f := &front{broker: s.broker, replicatedConfig: gate != nil, queryIDPrefix: randomPrefix()}
	f.ready = func() bool { return s.admits(gate) }
	s.server = &httpwire.Server{
		Handle:         f.handle,
		Log:            log,
		MaxConnections: c.MaxConnections,
		RejectionBody:  rejectionBody,
		Memory:         c.RequestMemory,
	}
	go func() {
		if err := s.server.Serve(s.listener); err != nil {
			log.WithError(err).Error("opensearch front stopped serving")
		}
	}()
	log.WithField("listen", s.Addr()).Info("serving OpenSearch-style queries")
	return s, nil
}

// randomPrefix returns a random prefix for the ids of queries. Other starts of a front have different ones.
func randomPrefix() string {
	var prefix [8]byte
	_, _ = rand.Read(prefix[:]) // documented never to return an error
	return fmt.Sprintf("%x-", prefix)
}

// admits reports whether new queries are admitted now.
func (s *Service) admits(gate broker.Gate) bool {
	open := true
	if gate != nil {
		open, _ = gate(s.broker.Terms())
	}
	return open && !s.draining.Load()
}

// SetTerms makes the front admit queries by other terms from now on. Queries that were admitted before keep their terms.
func (s *Service) SetTerms(t *broker.Terms) error { return s.broker.SetTerms(t) }

// Version returns the version of the current terms.
func (s *Service) Version() uint64 { return s.broker.Terms().Version }

// Addr returns the address on which the front listens for clients.
func (s *Service) Addr() string { return s.listener.Addr().String() }

// Shutdown stops the front gracefully. New connections are accepted until serveUntil, and every admitted query has its response
// by cutoff. Shutdown blocks until the front has stopped.
func (s *Service) Shutdown(serveUntil, cutoff time.Time) {
	s.draining.Store(true)
	s.server.DisableKeepAlive()
	time.Sleep(time.Until(serveUntil))
	s.server.Close()
	<-s.broker.Drain(cutoff)
	s.server.Wait(time.Until(cutoff.Add(responseTimeout)))
	s.broker.Close()
	s.pool.Close()
}
