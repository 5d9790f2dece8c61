// Package config reads an instance's file. The file configures the identity, fronts, stores and logging of the instance, and its
// part in a replicated configuration and in a fleet. It has the shared sections too if the instance has no replicated
// configuration or bootstraps one.
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

// Config is the content of an instance's file.
type Config struct {
	ID                 string             // the instance's name in logs, in its group and in its fleet
	DataDirectory      string             // directory of the state that must survive a crash
	AdminAddr          string             // address of the admin server; empty: it is off
	AdminTokenFile     string             // file that holds the token of the admin server; empty: requests need none
	PlatformConfigPath string             // path of the platform's JSON configuration; empty: the platform's front is off
	PlatformMembership bool               // join the platform's gossip group, where the platform allows datagrams
	OpenSearch         *opensearch.Config // nil: the OpenSearch front is off
	Log                Log
	Agreement          *Agreement         // nil: the instance has no replicated configuration
	Membership         *Membership        // nil: the instance is not a member of a fleet
	Document           *document.Document // the file's shared sections
	DocumentText       string             // the text of the shared sections; empty: the file has none
}

// Log configures logging.
type Log struct {
	Format string // text or json
	Level  string // debug, info, warning or error
}

// Agreement configures an instance's part in the replicated configuration.
type Agreement struct {
	Listen            string        // local address on which the other instances are accepted; empty for a follower
	Address           string        // address under which the other instances reach Listen, which is the default; empty for a follower
	Voters            []string      // addresses of the voters that a follower asks first; empty: the instance is a voter
	KeyFile           string        // file that holds the key that the instances of a group share; empty: none
	StalenessBound    time.Duration // maximum time for which a version is served after it was replaced
	ServeWhenStale    bool          // serve queries beyond the bound rather than reject them
	RaftSpeedup       int           // divisor of Raft's default timeouts
	KeepVersions      int           // number of versions in the history of a group that this instance bootstraps
	SnapshotThreshold int           // number of log entries from which the log is compacted
}

// Membership configures an instance's membership of its fleet.
type Membership struct {
	Listen  string // local address for datagrams
	Group   string // name of the group; datagrams of other groups are ignored
	KeyFile string // file that holds the key that the members share; empty: none
	Member  membership.Config
}

// sectionKinds has the kinds of sections besides the shared ones. The value is true if sections of the kind have names.
var sectionKinds = map[string]bool{
	"instance": false, "log": false, "gatherer": false, "opensearch": false, "store": true,
	"agreement": false, "membership": false,
}

// The maximum values of settings.
const (
	maxInstances    = 1000 // that share the stores' capacity
	maxRingPosition = 4095
	maxIDBytes      = 32 // of an instance's id
)

// Load reads an instance's file from a path.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(path, string(text))
}

// Parse parses the text of an instance's file. name identifies the file in faults. The error is of type inifile.Faults.
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

// quota is one of count equal parts of the stores' capacity: the part of the instance with this index.
type quota struct {
	index int
	count int
}

func (c *Config) readInstance(s *inifile.Section) quota {
	c.ID = s.Text("id", "alderproxy")
	if !isID(c.ID) {
		s.Fault("id", "invalid id %q: expected up to %d lower-case letters, digits and -, the first a letter or digit", c.ID, maxIDBytes)
	}
	c.DataDirectory = s.Text("folder", "")
	c.AdminAddr = s.Addr("admin")
	c.AdminTokenFile = s.Text("admin_token_file", "")
	q := quota{count: s.Int("fleet", 1, 1, maxInstances), index: s.Int("number", 0, 0, maxInstances-1)}
	if q.index >= q.count {
		s.Fault("number", "is %d, but must be below instance.fleet (%d)", q.index, q.count)
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

// checkAdmin requires a token if the admin server can be reached from other machines, and a component that it serves.
func (c *Config) checkAdmin(instance *inifile.Section) {
	if c.AdminAddr != "" && c.Agreement == nil && c.Membership == nil {
		instance.Fault("admin", "the admin server needs a section [agreement] or [membership]")
	}
	host, _, err := net.SplitHostPort(c.AdminAddr)
	if err != nil || c.AdminTokenFile != "" {
		return
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		instance.Fault("admin", "%s can be reached from other machines: set admin_token_file", c.AdminAddr)
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
	names := map[string]string{} // names of the stores by address
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
			s.Fault("addr", "%s is also the address of store %s", store.Addr, other)
		}
		names[store.Addr] = s.Name
		s.CheckUnused()
		if c.OpenSearch != nil {
			c.OpenSearch.Stores = append(c.OpenSearch.Stores, store)
		}
	}
	if c.OpenSearch != nil && len(c.OpenSearch.Stores) == 0 {
		f.Section("opensearch").Fault("", "needs at least one section [store NAME]")
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
		s.Fault("follow", "expected only without listen and address: no other instance connects to a follower")
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

// readMembership reads the membership of a fleet, in which the instance's id is its name.
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
		s.Fault("address", "invalid address %q: expected an IP address and a port, such as 10.0.0.4:7946", address)
		return false
	}
	if addr.Addr().IsUnspecified() {
		s.Fault("address", "%s cannot be reached by other members: set address to an address of this machine", address)
		return false
	}
	if err := m.Member.Validate(); err != nil {
		s.Fault("", "%v", err)
	}
	return true
}

// isID reports whether a text is a valid id: up to maxIDBytes lower-case letters, digits and dashes, the first not a dash.
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
