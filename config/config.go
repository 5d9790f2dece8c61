// Package config reads an instance's own file: what it is, what it serves, which stores it reaches, how it logs, and,
// where it stands alone or begins a group, the shared sections.
package config

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"alderproxy/document"
	"alderproxy/inifile"
	"alderproxy/membership"
	"alderproxy/opensearch"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// Config is an instance's file.
type Config struct {
	ID         string // the instance's name in logs and among its group
	Folder     string // keeps what must survive a crash
	Admin      string // where operators reach it; empty: nowhere
	TokenFile  string // holds the word that operators show; empty: whoever reaches the address may do all
	Gatherer   string // the platform's JSON; empty: that front is off
	PeersTell  bool   // the gatherer takes part in the membership of its tier, where the platform allows datagrams
	OpenSearch *opensearch.Config
	Log        Log
	Agreement  *Agreement         // nil: the instance stands alone
	Members    *Members           // nil: the instance takes no part in the membership of its fleet
	Own        *document.Document // the file's shared sections
	Shared     string             // their text; empty: it has none
}

// Log says how an instance logs.
type Log struct{ Format, Level string }

// Agreement says how an instance agrees with others.
type Agreement struct {
	Listen, Address string   // where the others reach it, as this machine and as they see it
	Follow          []string // where voters are, for an instance without a vote; it has no listener
	KeyFile         string   // holds the key that instances of a group prove to each other; empty: none
	StaleAfter      time.Duration
	ServeStale      bool // go on when the bound has passed, rather than refuse
	Speed           int  // divides Raft's usual times
	Keep            int  // versions kept in the history
	SnapshotAfter   int  // entries of the log after which it is compacted
}

// Members says how an instance takes part in the membership of its fleet.
type Members struct {
	Listen  string // datagrams come there
	Group   string // what goes between other groups changes nothing
	KeyFile string
	Member  membership.Config
}

var kinds = map[string]bool{
	"instance": false, "log": false, "gatherer": false, "opensearch": false, "store": true,
	"agreement": false, "membership": false,
}

// Load reads a file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(path, string(text))
}

// Parse reads a file's text. An error about its content is inifile.Faults.
func Parse(name, text string) (*Config, error) {
	f := inifile.Read(name, text)
	if err := f.Err(); err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for _, of := range []map[string]bool{kinds, document.Kinds} {
		for kind, named := range of {
			known[kind] = named
		}
	}
	f.Known(known)
	c := &Config{}
	in := f.Only("instance")
	c.ID = in.Text("id", "alderproxy")
	if !isID(c.ID) {
		in.Fault("id", "%q is not made of at most 32 small letters, digits and -", c.ID)
	}
	c.Folder, c.Admin, c.TokenFile = in.Text("folder", ""), in.Addr("admin"), in.Text("admin_token_file", "")
	fleet := in.Int("fleet", 1, 1, 1000)
	number := in.Int("number", 0, 0, 999)
	if number >= fleet {
		in.Fault("number", "%d is not below the fleet of %d", number, fleet)
	}
	in.Done()
	l := f.Only("log")
	c.Log = Log{l.Choice("format", "text", "text", "json"), l.Choice("level", "info", "debug", "info", "warning", "error")}
	l.Done()
	g := f.Only("gatherer")
	c.Gatherer = g.Text("config", "")
	c.PeersTell = g.Bool("membership", false)
	g.Done()
	c.OpenSearch = search(f.Only("opensearch"), number, fleet)
	c.stores(f)
	c.agreement(f.Only("agreement"), in)
	c.members(f.Only("membership"), in)
	if c.Admin != "" && c.Agreement == nil && c.Members == nil {
		in.Fault("admin", "there is nothing to operate without [agreement] or [membership]")
	}
	if host, _, err := net.SplitHostPort(c.Admin); err == nil && c.TokenFile == "" {
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			in.Fault("admin", "%s can be reached from elsewhere: set admin_token_file", c.Admin)
		}
	}
	c.Own = document.Read(f)
	c.Shared = document.Shared(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	if c.OpenSearch != nil && c.Shared != "" { // what this instance could not serve is told at once, and not at its start
		if _, err := c.OpenSearch.Terms(0, c.Own); err != nil {
			f.Only("opensearch").Fault("", "%v", err)
		}
	}
	return c, f.Err()
}

func search(s *inifile.Section, number, fleet int) *opensearch.Config {
	o := &opensearch.Config{
		Listen: s.Addr("listen"), MaxConnections: s.Int("max_conns", 256, 1, 1<<20), InstanceIndex: number, InstanceCount: fleet,
		Limits: storepool.Limits{
			MaxInFlight: 1, MaxConnections: s.Int("conns_per_store", 16, 1, 4096),
			ConnectTimeout: s.Duration("connect_timeout", 250*time.Millisecond, time.Millisecond, time.Minute).Microseconds(),
			IdleTimeout:    s.Duration("conn_idle", 15*time.Second, 100*time.Millisecond, time.Hour).Microseconds(),
		},
	}
	s.Done()
	if o.Listen == "" {
		return nil
	}
	return o
}

func (c *Config) stores(f *inifile.File) {
	seen := map[string]string{}
	for i, s := range f.Of("store") {
		st := storepool.Store{Endpoint: policy.Endpoint{
			ID: uint32(i + 1), State: policy.Ready, RingPosition: s.Int("cell", 0, 0, 4095),
			Capacity: s.Float("size", 1, 0.001, 1e6),
		}, Name: s.Name}
		s.Need("addr")
		st.Addr = s.Addr("addr")
		if other := seen[st.Addr]; other != "" && st.Addr != "" {
			s.Fault("addr", "%s is the address of store %s", st.Addr, other)
		}
		seen[st.Addr] = s.Name
		s.Done()
		if c.OpenSearch != nil {
			c.OpenSearch.Stores = append(c.OpenSearch.Stores, st)
		}
	}
	if s := f.Only("opensearch"); c.OpenSearch != nil && len(c.OpenSearch.Stores) == 0 {
		s.Fault("", "the front has no [store NAME]")
	}
}

func (c *Config) agreement(s, in *inifile.Section) {
	if !s.There() {
		return
	}
	a := &Agreement{
		Listen: s.Addr("listen"), Address: s.Addr("address"), KeyFile: s.Text("key_file", ""),
		StaleAfter: s.Duration("stale_after", 5*time.Second, 200*time.Millisecond, time.Hour),
		ServeStale: s.Choice("when_stale", "refuse", "refuse", "serve") == "serve",
		Speed:      s.Int("speed", 1, 1, 20), Keep: s.Int("keep", 1000, 2, 100_000),
		SnapshotAfter: s.Int("snapshot_after", 200, 8, 100_000),
	}
	for _, v := range s.Places("follow") {
		a.Follow = append(a.Follow, v.String())
	}
	switch {
	case !s.Has("follow"):
		s.Need("listen")
	case a.Listen != "" || a.Address != "":
		s.Fault("follow", "an instance without a vote has no listen or address: nobody dials it")
	}
	a.Address = cmp.Or(a.Address, a.Listen)
	s.Done()
	for _, name := range []string{"id", "folder", "admin"} {
		if !in.Has(name) {
			s.Fault("", "needs instance.%s", name)
		}
	}
	c.Agreement = a
}

// members reads the part in the membership. The instance's id is its name there.
func (c *Config) members(s, in *inifile.Section) {
	if !s.There() {
		return
	}
	m := &Members{Listen: s.Addr("listen"), Group: s.Text("group", "alderproxy"), KeyFile: s.Text("key_file", "")}
	s.Need("listen")
	at := cmp.Or(s.Addr("address"), m.Listen)
	period := s.Duration("period", time.Second, 50*time.Millisecond, time.Minute)
	m.Member = membership.Config{
		Name: c.ID, Zone: s.Text("zone", ""), Seeds: s.Places("seeds"), ProbeInterval: period.Microseconds(),
		SuspicionTimeout:   s.Duration("hold", 8*period, period, time.Hour).Microseconds(),
		MaxSendRate: s.Int("datagrams_per_s", 30, 4, 10_000),
		TombstoneTTL: s.Duration("forget", 24*time.Hour, time.Minute, 30*24*time.Hour).Microseconds(),
	}
	s.Done()
	if s.Has("listen") {
		addr, err := netip.ParseAddrPort(at)
		if m.Member.Addr = addr; err != nil {
			s.Fault("address", "%q is no address of a machine such as 10.0.0.4:7946", at)
			return
		}
		if addr.Addr().IsUnspecified() {
			s.Fault("address", "%s cannot be reached by others: set address", at)
			return
		}
		if err := m.Member.Validate(); err != nil {
			s.Fault("", "%v", err)
		}
	}
	c.Members = m
}

func isID(s string) bool {
	for i := range len(s) {
		if c := s[i]; !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || i > 0 && c == '-') {
			return false
		}
	}
	return s != "" && len(s) <= 32
}
