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

// tier is the part that a gatherer has in the membership of its platform's tier. The platform has no key.
func tier(edge *platform.Config) *config.Members {
	own := edge.Gossip.Addresses[edge.Settings.InstanceIndex]
	period := time.Second
	return &config.Members{Listen: edge.Gossip.Listen, Group: "tier", Member: membership.Config{
		Name: edge.Name, Addr: own,
		Seeds: edge.Gossip.Addresses, Period: period.Microseconds(), Hold: 8 * period.Microseconds(), Budget: 30, Forget: time.Hour.Microseconds(),
	}}
}

// join starts this instance's part in the membership of its fleet. The platform has the program read the time through
// the standard library, which stands still while a machine sleeps; machines there do not.
func (p *program) join(c *config.Members, onPlatform bool) error {
	var now func() membership.Micros
	if onPlatform {
		began := time.Now()
		now = func() membership.Micros { return time.Since(began).Microseconds() + 1 }
	}
	key, err := secret(c.KeyFile)
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
	if p.fleet, err = gossip.Open(gossip.Config{Member: c.Member, Group: c.Group, Key: key, Conn: conn, Log: log, Now: now}); err != nil {
		conn.Close()
		return err
	}
	log.WithField("listen", conn.LocalAddr().String()).WithField("address", c.Member.Addr.String()).Info("reachable for members")
	if o := p.config.OpenSearch; o != nil {
		self := membership.NameID(c.Member.Name)
		o.Share = func() (int, int) { return p.fleet.View().Share(self, o.Number, o.Fleet) }
	}
	return nil
}

// followShare has the OpenSearch front go by its share of what the stores bear, as the view of the fleet changes. The
// platform tells its gatherers how many they are.
func (p *program) followShare() {
	defer close(p.sharing.done)
	was := [2]int{}
	for {
		changed := p.fleet.Changed()
		number, fleet := p.config.OpenSearch.Share()
		if now := [2]int{number, fleet}; now != was {
			was = now
			if err := p.reshare(); err != nil {
				p.log.WithError(err).Error("the share of the stores could not be changed")
			} else {
				p.log.WithFields(logrus.Fields{"number": number, "fleet": fleet}).Info("share of the stores")
			}
		}
		select {
		case <-changed:
		case <-p.sharing.stop:
			return
		}
	}
}

func (p *program) reshare() error {
	if a := p.agreement; a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.doc == nil {
			return nil // what it begins with will be drawn anew
		}
		search, _, err := a.terms(a.version, a.doc)
		if err != nil {
			return err
		}
		return p.search.Use(search)
	}
	terms, err := p.config.OpenSearch.Terms(0, p.config.Own)
	if err != nil {
		return err
	}
	return p.search.Use(terms)
}

// factEvery is how often this instance's own facts are looked at, and factFor how long one counts that is not told
// anew: beyond the time that it takes to find an instance dead.
const (
	factEvery = 2 * time.Second
	factFor   = 60 * time.Second
)

// tellFacts tells the fleet what this instance serves by, as it changes, and anew before it expires.
func (p *program) tellFacts() {
	defer close(p.telling.done)
	ticker := time.NewTicker(factEvery)
	defer ticker.Stop()
	var told [2]uint64
	var at time.Time
	for {
		if now := p.servedBy(); now != told || time.Since(at) > factFor/3 {
			told, at = now, time.Now()
			for i, key := range []membership.Key[uint64]{membership.Document, membership.Stores} {
				if now[i] > 0 {
					p.fleet.Tell(key.Publish(now[i], factFor.Microseconds()))
				}
			}
		}
		select {
		case <-ticker.C:
		case <-p.telling.stop:
			return
		}
	}
}

// servedBy is the version of the agreed document and the digest of all stores that this instance serves by; 0: none.
func (p *program) servedBy() (by [2]uint64) {
	if p.agreement != nil {
		by[0] = p.agreement.node.ServedVersion()
	}
	if c := p.config.OpenSearch; c != nil {
		by[1] = storepool.Digest(c.Stores)
	}
	if p.gatherer != nil {
		by[1] ^= storepool.Digest(p.gatherer.Stores())
	}
	return by
}

// part ends this instance's part.
func (p *program) part() {
	if p.telling.stop != nil {
		close(p.telling.stop)
		<-p.telling.done
	}
	if err := p.fleet.Close(); err != nil {
		p.log.WithError(err).Warn("membership not closed cleanly")
	}
	if p.sharing.stop != nil {
		close(p.sharing.stop)
		<-p.sharing.done
	}
}
