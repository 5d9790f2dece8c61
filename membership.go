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

// The membership of a platform's gossip group.
const (
	platformProbeInterval    = time.Second
	platformSuspicionTimeout = 8 * platformProbeInterval // how long a suspected member is kept
	platformTombstoneTTL     = time.Hour                 // after which a dead member is forgotten
	platformMaxSendRate      = 30                        // datagrams a second
	platformGroup            = "tier"                    // the group's name
)

// platformMembership is the configuration of a member of the platform's gossip group. The platform has no key.
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

// startMembership makes this instance a member of the fleet that its file or the platform's configuration names, if any.
func (p *program) startMembership(platformConfig *platform.Config) error {
	switch {
	case p.config.Membership != nil:
		return p.startGossip(p.config.Membership, nil)
	case p.config.PlatformMembership && platformConfig != nil && len(platformConfig.Gossip.Addresses) > 0:
		return p.startGossip(platformMembership(platformConfig), platformClock())
	}
	return nil
}

// platformClock returns a clock that is read through the standard library, as the platform requires. It does not advance
// while the machine sleeps, which machines there do not do.
func platformClock() func() membership.Micros {
	began := time.Now()
	return func() membership.Micros { return time.Since(began).Microseconds() + 1 }
}

// startGossip starts the gossip node. A nil clock stands for the node's own.
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

// quota is this instance's part of what the stores serve: one of a number of equal parts.
type quota struct{ index, count int }

// updateQuota has the OpenSearch front follow its quota as the view of the fleet changes. The platform tells its own front
// how many instances there are.
func (p *program) updateQuota(stopping <-chan struct{}) {
	var applied quota
	for {
		changed := p.gossip.ViewChanged()
		index, count := p.config.OpenSearch.Quota()
		if now := (quota{index, count}); now != applied {
			applied = now
			if err := p.applyQuota(); err != nil {
				p.log.WithError(err).Error("the share of the stores could not be changed")
			} else {
				p.log.WithFields(logrus.Fields{"number": index, "fleet": count}).Info("share of the stores")
			}
		}
		select {
		case <-changed:
		case <-stopping:
			return
		}
	}
}

// applyQuota has the OpenSearch front serve by terms with the present quota.
func (p *program) applyQuota() error {
	if shared := p.sharedConfig; shared != nil {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		if shared.document == nil {
			return nil // the first version's terms will have the quota
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
	// factInterval is the time between two checks whether this instance's facts have changed.
	factInterval = 2 * time.Second
	// factLifetime is how long a published fact is valid: longer than it takes to detect that an instance is dead.
	factLifetime = 60 * time.Second
)

// servedState is what this instance serves by; 0: none.
type servedState struct {
	documentVersion uint64 // of the shared document
	storesDigest    uint64 // digest of all stores
}

// publishFacts publishes what this instance serves by as it changes, and again before it expires.
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

// stopGossip ends this instance's membership.
func (p *program) stopGossip() {
	p.factPublisher.stop()
	if err := p.gossip.Close(); err != nil {
		p.log.WithError(err).Warn("membership not closed cleanly")
	}
	p.quotaUpdater.stop()
}
