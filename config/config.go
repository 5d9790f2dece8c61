// Package config reads an instance's own file: its identity, its fronts, the stores that it reaches, its logging, and, where
// it has no replicated configuration or bootstraps one, the shared sections.
package config

import (
	"cmp"
	"fmt"
	"maps"
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

// Config is the configuration in an instance's file.
type Config struct {
	ID                 string // the instance's name in logs and in its group
	DataDirectory      string // holds what must survive a crash
	AdminAddr          string // of the admin server; empty: it is off
	AdminTokenFile     string // holds the token of the admin server; empty: requests need none
	PlatformConfigPath string // of the platform's JSON configuration; empty: the platform's front is off
	PlatformMembership bool   // join the platform's gossip group, where the platform allows datagrams
	OpenSearch         *opensearch.Config
	Log                Log
	Agreement          *Agreement         // nil: the instance has its own configuration only
	Membership         *Membership        // nil: the instance is not a member of a fleet
	Document           *document.Document // the file's shared sections
	DocumentText       string             // their text; empty: the file has none
}

// Log says how an instance logs.
type Log struct {
	Format string // text or json
	Level  string // debug, info, warning or error
}

// Agreement says how an instance takes part in the replicated configuration.
type Agreement struct {
	Listen            string        // address for the other instances, on this machine
	Address           string        // the same as the other instances reach it
	Voters            []string      // addresses of voters to follow, for an instance without a vote; it has no listener
	KeyFile           string        // holds the key that the instances of a group share; empty: none
	StalenessBound    time.Duration // how long a version may be served after it was replaced
	ServeWhenStale    bool          // serve beyond the bound rather than reject
	RaftSpeedup       int           // divides Raft's usual timeouts
	KeepVersions      int           // in the history
	SnapshotThreshold int           // log entries after which the log is compacted
}

// Membership says how an instance takes part in the membership of its fleet.
type Membership struct {
	Listen  string // address for datagrams
	Group   string // datagrams of other groups are ignored
	KeyFile string // holds the key that members share; empty: none
	Member  membership.Config
}

// sectionKinds are the kinds of sections beside the shared ones; true: each section has a name.
var sectionKinds = map[string]bool{
	"instance": false, "log": false, "gatherer": false, "opensearch": false, "store": true,
	"agreement": false, "membership": false,
}

// The bounds on the number of instances that share the stores' capacity, and on ids.
const (
	maxInstances    = 1000
	maxRingPosition = 4095
	maxIDBytes      = 32
)

// Load reads an instance's file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(path, string(text))
}

// Parse reads the text of an instance's file. An error about its content is of type inifile.Faults.
func Parse(name, text string) (*Config, error) {
	f := inifile.Read(name, text)
	if err := f.Err(); err != nil {
		return nil, err
	}
	kinds := maps.Clone(sectionKinds)
	maps.Copy(kinds, document.SectionKinds)
	f.CheckKinds(kinds)
	c := &Config{}
	instance := f.Section("instance")
	quota := c.readInstance(instance)
	c.readLog(f.Section("log"))
	c.readPlatform(f.Section("gatherer"))
	c.OpenSearch = readOpenSearch(f.Section("opensearch"), quota)
	c.readStores(f)
	c.readAgreement(f.Section("agreement"), instance)
	c.readMembership(f.Section("membership"))
	c.checkAdmin(instance)
	c.Document = document.FromFile(f)
	c.DocumentText = document.SharedText(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	if c.OpenSearch != nil && c.DocumentText != "" {
		if _, err := c.OpenSearch.Terms(0, c.Document); err != nil {
			f.Section("opensearch").Fault("", "%v", err)
		}
	}
	return c, f.Err()
}

// quota is this instance among those that share the stores' capacity.
type quota struct {
	index int
	count int
}

func (c *Config) readInstance(s *inifile.Section) quota {
	c.ID = s.Text("id", "alderproxy")
	if !isID(c.ID) {
		s.Fault("id", "%q is not made of at most %d small letters, digits and -", c.ID, maxIDBytes)
	}
	c.DataDirectory = s.Text("folder", "")
	c.AdminAddr = s.Addr("admin")
	c.AdminTokenFile = s.Text("admin_token_file", "")
	q := quota{count: s.Int("fleet", 1, 1, maxInstances), index: s.Int("number", 0, 0, maxInstances-1)}
	if q.index >= q.count {
		s.Fault("number", "%d is not below the fleet of %d", q.index, q.count)
	}
	s.CheckUnused()
	return q
}

func (c *Config) readLog(s *inifile.Section) {
	c.Log.Format = s.Choice("format", "text", "text", "json")
	c.Log.Level = s.Choice("level", "info", "debug", "info", "warning", "error")
	s.CheckUnused()
}

func (c *Config) readPlatform(s *inifile.Section) {
	c.PlatformConfigPath = s.Text("config", "")
	c.PlatformMembership = s.Bool("membership", false)
	s.CheckUnused()
}

// checkAdmin requires a token where the admin server can be reached from other machines.
func (c *Config) checkAdmin(instance *inifile.Section) {
	if c.AdminAddr != "" && c.Agreement == nil && c.Membership == nil {
		instance.Fault("admin", "there is nothing to operate without [agreement] or [membership]")
	}
	host, _, err := net.SplitHostPort(c.AdminAddr)
	if err != nil || c.AdminTokenFile != "" {
		return
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		instance.Fault("admin", "%s can be reached from elsewhere: set admin_token_file", c.AdminAddr)
	}
}

func readOpenSearch(s *inifile.Section, q quota) *opensearch.Config {
	c := &opensearch.Config{
		Listen:         s.Addr("listen"),
		MaxConnections: s.Int("max_conns", 256, 1, 1<<20),
		InstanceIndex:  q.index,
		InstanceCount:  q.count,
		Limits: storepool.Limits{
			MaxInFlight:    1,
			MaxConnections: s.Int("conns_per_store", 16, 1, 4096),
			ConnectTimeout: s.Duration("connect_timeout", 250*time.Millisecond, time.Millisecond, time.Minute).Microseconds(),
			IdleTimeout:    s.Duration("conn_idle", 15*time.Second, 100*time.Millisecond, time.Hour).Microseconds(),
		},
	}
	s.CheckUnused()
	if c.Listen == "" {
		return nil
	}
	return c
}

func (c *Config) readStores(f *inifile.File) {
	names := map[string]string{} // by address
	for i, s := range f.SectionsOf("store") {
		store := storepool.Store{
			Name: s.Name,
			Endpoint: policy.Endpoint{
				ID:           uint32(i + 1),
				State:        policy.Ready,
				RingPosition: s.Int("cell", 0, 0, maxRingPosition),
				Capacity:     s.Float("size", 1, 0.001, 1e6),
			},
		}
		s.Required("addr")
		store.Addr = s.Addr("addr")
		if other := names[store.Addr]; other != "" && store.Addr != "" {
			s.Fault("addr", "%s is the address of store %s", store.Addr, other)
		}
		names[store.Addr] = s.Name
		s.CheckUnused()
		if c.OpenSearch != nil {
			c.OpenSearch.Stores = append(c.OpenSearch.Stores, store)
		}
	}
	if c.OpenSearch != nil && len(c.OpenSearch.Stores) == 0 {
		f.Section("opensearch").Fault("", "the front has no [store NAME]")
	}
}

func (c *Config) readAgreement(s, instance *inifile.Section) {
	if !s.Present() {
		return
	}
	a := &Agreement{
		Listen:            s.Addr("listen"),
		Address:           s.Addr("address"),
		KeyFile:           s.Text("key_file", ""),
		StalenessBound:    s.Duration("stale_after", 5*time.Second, 200*time.Millisecond, time.Hour),
		ServeWhenStale:    s.Choice("when_stale", "refuse", "refuse", "serve") == "serve",
		RaftSpeedup:       s.Int("speed", 1, 1, 20),
		KeepVersions:      s.Int("keep", 1000, 2, 100_000),
		SnapshotThreshold: s.Int("snapshot_after", 200, 8, 100_000),
	}
	for _, voter := range s.AddrPorts("follow") {
		a.Voters = append(a.Voters, voter.String())
	}
	switch {
	case !s.Has("follow"):
		s.Required("listen")
	case a.Listen != "" || a.Address != "":
		s.Fault("follow", "an instance without a vote has no listen or address: nobody dials it")
	}
	a.Address = cmp.Or(a.Address, a.Listen)
	s.CheckUnused()
	for _, name := range []string{"id", "folder", "admin"} {
		if !instance.Has(name) {
			s.Fault("", "needs instance.%s", name)
		}
	}
	c.Agreement = a
}

// readMembership reads the membership of a fleet. The instance's id is its name there.
func (c *Config) readMembership(s *inifile.Section) {
	if !s.Present() {
		return
	}
	m := &Membership{
		Listen:  s.Addr("listen"),
		Group:   s.Text("group", "alderproxy"),
		KeyFile: s.Text("key_file", ""),
	}
	s.Required("listen")
	address := cmp.Or(s.Addr("address"), m.Listen)
	interval := s.Duration("period", time.Second, 50*time.Millisecond, time.Minute)
	m.Member = membership.Config{
		Name:             c.ID,
		Zone:             s.Text("zone", ""),
		Seeds:            s.AddrPorts("seeds"),
		ProbeInterval:    interval.Microseconds(),
		SuspicionTimeout: s.Duration("hold", 8*interval, interval, time.Hour).Microseconds(),
		MaxSendRate:      s.Int("datagrams_per_s", 30, 4, 10_000),
		TombstoneTTL:     s.Duration("forget", 24*time.Hour, time.Minute, 30*24*time.Hour).Microseconds(),
	}
	s.CheckUnused()
	if s.Has("listen") && !m.setAddress(s, address) {
		return
	}
	c.Membership = m
}

// setAddress sets the address at which other members reach this one, and reports whether it is usable.
func (m *Membership) setAddress(s *inifile.Section, address string) bool {
	addr, err := netip.ParseAddrPort(address)
	m.Member.Addr = addr
	if err != nil {
		s.Fault("address", "%q is no address of a machine such as 10.0.0.4:7946", address)
		return false
	}
	if addr.Addr().IsUnspecified() {
		s.Fault("address", "%s cannot be reached by others: set address", address)
		return false
	}
	if err := m.Member.Validate(); err != nil {
		s.Fault("", "%v", err)
	}
	return true
}

// isID reports whether a text is a name of small letters, digits and dashes that does not begin with a dash.
func isID(text string) bool {
	for i := range len(text) {
		c := text[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-') {
			return false
		}
	}
	return text != "" && len(text) <= maxIDBytes
}
