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

// platformMembers is the part that a gatherer has in the membership of its platform's tier. The platform has no key.
func platformMembers(edge *platform.Config) *config.Members {
	own := edge.Peers.All[edge.Settings.InstanceIndex]
	period := time.Second
	return &config.Members{Listen: edge.Peers.Listen, Group: "tier", Member: membership.Config{
		Name: edge.Name, Addr: own,
		Seeds: edge.Peers.All, Period: period.Microseconds(), Hold: 8 * period.Microseconds(), Budget: 30, Forget: time.Hour.Microseconds(),
	}}
}

// startGossip starts this instance's part in the membership of its fleet. The platform has the program read the time through
// the standard library, which stands still while a machine sleeps; machines there do not.
func (p *program) startGossip(c *config.Members, onPlatform bool) error {
	var now func() membership.Micros
	if onPlatform {
		began := time.Now()
		now = func() membership.Micros { return time.Since(began).Microseconds() + 1 }
	}
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
	if p.gossip, err = gossip.Open(gossip.Config{Member: c.Member, Group: c.Group, Key: key, Conn: conn, Log: log, Now: now}); err != nil {
		conn.Close()
		return err
	}
	log.WithField("listen", conn.LocalAddr().String()).WithField("address", c.Member.Addr.String()).Info("reachable for members")
	if o := p.config.OpenSearch; o != nil {
		self := membership.NameID(c.Member.Name)
		o.Share = func() (int, int) { return p.gossip.View().Share(self, o.Number, o.Fleet) }
	}
	return nil
}

// followQuota has the OpenSearch front go by its share of what the stores bear, as the view of the fleet changes. The
// platform tells its gatherers how many they are.
func (p *program) followQuota() {
	defer close(p.quotaFollower.done)
	was := [2]int{}
	for {
		changed := p.gossip.Changed()
		number, fleet := p.config.OpenSearch.Share()
		if now := [2]int{number, fleet}; now != was {
			was = now
			if err := p.applyQuota(); err != nil {
				p.log.WithError(err).Error("the share of the stores could not be changed")
			} else {
				p.log.WithFields(logrus.Fields{"number": number, "fleet": fleet}).Info("share of the stores")
			}
		}
		select {
		case <-changed:
		case <-p.quotaFollower.stop:
			return
		}
	}
}

func (p *program) applyQuota() error {
	if a := p.sharedConfig; a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.document == nil {
			return nil // what it begins with will be drawn anew
		}
		search, _, err := a.terms(a.version, a.document)
		if err != nil {
			return err
		}
		return p.openSearch.Use(search)
	}
	terms, err := p.config.OpenSearch.Terms(0, p.config.Own)
	if err != nil {
		return err
	}
	return p.openSearch.Use(terms)
}

// factInterval is how often this instance's own facts are looked at, and factFor how long one counts that is not told
// anew: beyond the time that it takes to find an instance dead.
const (
	factInterval = 2 * time.Second
	factLifetime = 60 * time.Second
)

// publishFacts tells the fleet what this instance serves by, as it changes, and anew before it expires.
func (p *program) publishFacts() {
	defer close(p.factPublisher.done)
	ticker := time.NewTicker(factInterval)
	defer ticker.Stop()
	var told [2]uint64
	var at time.Time
	for {
		if now := p.servedState(); now != told || time.Since(at) > factLifetime/3 {
			told, at = now, time.Now()
			for i, key := range []membership.Key[uint64]{membership.Document, membership.Stores} {
				if now[i] > 0 {
					p.gossip.Tell(key.Publish(now[i], factLifetime.Microseconds()))
				}
			}
		}
		select {
		case <-ticker.C:
		case <-p.factPublisher.stop:
			return
		}
	}
}

// servedState is the version of the agreed document and the digest of all stores that this instance serves by; 0: none.
func (p *program) servedState() (by [2]uint64) {
	if p.sharedConfig != nil {
		by[0] = p.sharedConfig.node.ServedVersion()
	}
	if c := p.config.OpenSearch; c != nil {
		by[1] = storepool.Digest(c.Stores)
	}
	if p.aggregator != nil {
		by[1] ^= storepool.Digest(p.aggregator.Stores())
	}
	return by
}

// stopGossip ends this instance's part.
func (p *program) stopGossip() {
	if p.factPublisher.stop != nil {
		close(p.factPublisher.stop)
		<-p.factPublisher.done
	}
	if err := p.gossip.Close(); err != nil {
		p.log.WithError(err).Warn("membership not closed cleanly")
	}
	if p.quotaFollower.stop != nil {
		close(p.quotaFollower.stop)
		<-p.quotaFollower.done
	}
}
