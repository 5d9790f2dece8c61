package alderproxy

import (
	"fmt"
	"net"
	"time"

	"alderproxy/fleet"
	"alderproxy/membership"
)

// join starts this instance's part in the membership of its fleet.
func (p *program) join() error {
	c := p.config.Members
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
	log := p.log.WithField("instance", p.config.ID)
	if p.fleet, err = fleet.Open(fleet.Config{Member: c.Member, Group: c.Group, Key: key, Conn: conn, Log: log}); err != nil {
		conn.Close()
		return err
	}
	log.WithField("listen", conn.LocalAddr().String()).WithField("address", c.Member.Addr.String()).Info("reachable for members")
	p.telling.stop = make(chan struct{})
	p.telling.done = make(chan struct{})
	go p.tellFacts()
	return nil
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
	var told uint64
	var at time.Time
	for {
		if p.agreement != nil {
			if v := p.agreement.node.Used(); v > 0 && (v != told || time.Since(at) > factFor/3) {
				told, at = v, time.Now()
				p.fleet.Tell(membership.Document.Publish(v, factFor.Microseconds()))
			}
		}
		select {
		case <-ticker.C:
		case <-p.telling.stop:
			return
		}
	}
}

// part ends this instance's part.
func (p *program) part() {
	close(p.telling.stop)
	if err := p.fleet.Close(); err != nil {
		p.log.WithError(err).Warn("membership not closed cleanly")
	}
	<-p.telling.done
}
