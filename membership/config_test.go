package membership

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each of these invalid values must be rejected with an error that names the setting, because the protocol cannot work
// with it.
func TestConfigValidate(t *testing.T) {
	valid := testConfig(1)
	require.NoError(t, valid.Validate())
	for field, invalidate := range map[string]func(*Config){
		"name":            func(c *Config) { c.Name = "" },
		"zone":            func(c *Config) { c.Zone = "a zone with a name beyond all bounds" },
		"address":         func(c *Config) { c.Addr = netip.AddrPort{} },
		"period":          func(c *Config) { c.ProbeInterval = 0 },
		"hold":            func(c *Config) { c.SuspicionTimeout = c.ProbeInterval - 1 },
		"datagrams_per_s": func(c *Config) { c.MaxSendRate = 0 },
	} {
		invalid := valid
		invalidate(&invalid)
		assert.ErrorContains(t, invalid.Validate(), field)
	}
}
