package alderproxy

import (
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/config"
	"alderproxy/gossip"
	"alderproxy/membership"
	"alderproxy/platform"
	"alderproxy/storepool"
)

// The settings of the membership of the platform's gossip group.
const (
	platformProbeInterval    = time.Second
	platformSuspicionTimeout = 8 * platformProbeInterval // time after which a suspected member is declared dead
	platformTombstoneTTL     = time.Hour                 // time after which a dead member is forgotten
	platformMaxSendRate      = 30                        // datagrams a second
	platformGroup            = "tier"                    // the group's name
)

// platformMembership returns the configuration of this instance as a member of the platform's gossip group, which has no key.
func platformMembership(platformConfig *platform.Config) *config.Membership {
	return &config.Membership{
		Listen: platformConfig.Gossip.Listen,
		Group:  platformGroup,
		Member: membership.Config{
			Name:             platformConfig.Name,
			Addr:             platformConfig.Gossip.Addresses[platformConfig.Settings.InstanceIndex],
			Seeds:            platformConfig.Gossip.Addresses,
			ProbeInterval:    platformProbeInterval.Microseconds(),
			SuspicionTimeout: platformSuspicionTimeout.Microseconds(),
			MaxSendRate:      platformMaxSendRate,
			TombstoneTTL:     platformTombstoneTTL.Microseconds(),
		},
	}
}

// startMembership makes this instance a member of the fleet that its file configures, else of the platform's gossip group if
// its file allows that and the platform's configuration has one.
func (p *program) startMembership(platformConfig *platform.Config) error {
	switch {
	case p.config.Membership != nil:
		return p.startGossip(p.config.Membership, nil)
	case p.config.PlatformMembership && platformConfig != nil && len(platformConfig.Gossip.Addresses) > 0:
		return p.startGossip(platformMembership(platformConfig), platformClock())
	}
	return nil
}

// platformClock returns a clock that uses the standard library, as the platform requires. It does not advance while the
// machine is suspended, but the platform's machines never are.
func platformClock() func() membership.Micros {
	began := time.Now()
	return func() membership.Micros { return time.Since(began).Microseconds() + 1 }
}

// startGossip starts the gossip node. A nil clock selects the node's default.
func (p *program) startGossip(c *config.Membership, now func() membership.Micros) error {
	key, err := readSecret(c.KeyFile)
	if err != nil {
		return fmt.Errorf("membership.key_file: %w", err)
	}
	addr, err := net.ResolveUDPAddr("udp4", c.Listen)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	log := p.log.WithField("instance", c.Member.Name)
	node, err := gossip.Open(gossip.Config{Member: c.Member, Group: c.Group, Key: key, Conn: conn, Log: log, Clock: now})
	if err != nil {
		_ = conn.Close()
		return err
	}
	p.gossip = node
	log.WithField("listen", conn.LocalAddr().String()).WithField("address", c.Member.Addr.String()).Info("reachable for members")
	if openSearch := p.config.OpenSearch; openSearch != nil {
		self := membership.IDFromName(c.Member.Name)
		openSearch.Quota = func() (index, count int) {
			return node.View().CapacityShare(self, openSearch.InstanceIndex, openSearch.InstanceCount)
		}
	}
	return nil
}

// quota is one of count equal parts of the stores' capacity: the part of the instance with this index.
type quota struct{ index, count int }

// updateQuota applies this instance's quota to the OpenSearch front whenever the view of the fleet changes it. The platform's
// front has the number of instances from the platform's configuration.
func (p *program) updateQuota(stopping <-chan struct{}) {
	var applied quota
	for {
		changed := p.gossip.ViewChanged()
		index, count := p.config.OpenSearch.Quota()
		if now := (quota{index, count}); now != applied {
			applied = now
			if err := p.applyQuota(); err != nil {
				p.log.WithError(err).Error("cannot change this instance's share of the stores' capacity")
			} else {
				p.log.WithFields(logrus.Fields{"number": index, "fleet": count}).Info("applied the share of the stores' capacity")
			}
		}
		select {
		case <-changed:
		case <-stopping:
			return
		}
	}
}

// applyQuota sets the terms of the OpenSearch front anew, which then have the current quota.
func (p *program) applyQuota() error {
	if shared := p.sharedConfig; shared != nil {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		if shared.document == nil {
			return nil // the terms of the first version will have the quota
		}
		terms, _, err := shared.terms(shared.version, shared.document)
		if err != nil {
			return err
		}
		return p.openSearch.SetTerms(terms)
	}
	terms, err := p.config.OpenSearch.Terms(0, p.config.Document)
	if err != nil {
		return err
	}
	return p.openSearch.SetTerms(terms)
}

const (
	// factInterval is the time between two checks for changes of this instance's facts.
	factInterval = 2 * time.Second
	// factLifetime is the time for which a published fact is valid. It is longer than the time to detect a dead instance.
	factLifetime = 60 * time.Second
)

// servedState holds the values of the facts that this instance publishes; 0: none.
type servedState struct {
	documentVersion uint64 // served version of the shared document
	storesDigest    uint64 // digest of the stores of both fronts
}

// publishFacts publishes this instance's facts whenever they change, and again before they expire.
func (p *program) publishFacts(stopping <-chan struct{}) {
	ticker := time.NewTicker(factInterval)
	defer ticker.Stop()
	var published servedState
	var publishedAt time.Time
	for {
		if now := p.servedState(); now != published || time.Since(publishedAt) > factLifetime/3 {
			published = now
			publishedAt = time.Now()
			p.publishFact(membership.DocumentVersionFact, now.documentVersion)
			p.publishFact(membership.StoresDigestFact, now.storesDigest)
		}
		select {
		case <-ticker.C:
		case <-stopping:
			return
		}
	}
}

func (p *program) publishFact(key membership.FactKey[uint64], value uint64) {
	if value > 0 {
		p.gossip.PublishFact(key.Publish(value, factLifetime.Microseconds()))
	}
}

func (p *program) servedState() servedState {
	var served servedState
	if p.sharedConfig != nil {
		served.documentVersion = p.sharedConfig.node.ServedVersion()
	}
	if c := p.config.OpenSearch; c != nil {
		served.storesDigest = storepool.Digest(c.Stores)
	}
	if p.aggregator != nil {
		served.storesDigest ^= storepool.Digest(p.aggregator.Stores())
	}
	return served
}

// stopGossip stops the gossip node and the workers that use it.
func (p *program) stopGossip() {
	p.factPublisher.stop()
	if err := p.gossip.Close(); err != nil {
		p.log.WithError(err).Warn("cannot close the membership")
	}
	p.quotaUpdater.stop()
}
