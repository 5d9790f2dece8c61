package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"alderproxy/httpwire"
)

// Config is what an instance is told of the contracts by its file.
type Config struct {
	ID    string            `json:"id"`
	Bind  string            `json:"bind"`  // where the other instances reach it
	Peers map[string]string `json:"peers"` // addresses of all instances by id
	Dir   string            `json:"dir"`   // keeps the log over restarts
	Admin string            `json:"admin"` // where contracts are read and changed
}

// ParseConfig reads it.
func ParseConfig(text []byte) (*Config, error) {
	c := &Config{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	if c.ID == "" || c.Dir == "" || c.Peers[c.ID] == "" {
		return nil, fmt.Errorf("contracts: id, dir and peers with an address for id %q are needed", c.ID)
	}
	for _, addr := range []string{c.Bind, c.Admin} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("contracts: %q is no address", addr)
		}
	}
	return c, nil
}

// Keeper is a node with its admin page.
type Keeper struct {
	*Node
	server *httpwire.Server
	listen net.Listener
}

// Start starts a node and its admin page.
func Start(c *Config, log *logrus.Entry) (*Keeper, error) {
	n, err := Open(NodeConfig{ID: c.ID, Bind: c.Bind, Peers: c.Peers, Dir: c.Dir, Log: log})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", c.Admin)
	if err != nil {
		n.Close()
		return nil, fmt.Errorf("contracts: listen: %w", err)
	}
	k := &Keeper{n, &httpwire.Server{Handle: Admin{n}.Handle, Log: log, MaxConns: 32}, l}
	go func() {
		if err := k.server.Serve(l); err != nil {
			log.WithError(err).Error("contracts are no longer served")
		}
	}()
	log.WithField("listen", k.Addr()).WithField("id", c.ID).Info("keeping contracts")
	return k, nil
}

// Addr is the address of the admin page.
func (k *Keeper) Addr() string { return k.listen.Addr().String() }

// Close ends both.
func (k *Keeper) Close() error {
	k.server.Close()
	return k.Node.Close()
}
