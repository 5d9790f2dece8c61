package policy

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// If an error does not name the invalid field, operators cannot find the setting to correct.
func TestInvalidSettingsNameTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":                     func(s *Settings) { s.Classes = nil },
		"Shards":                      func(s *Settings) { s.Shards = 0 },
		"ReplicationFactor":           func(s *Settings) { s.ReplicationFactor = 9 },
		"Tick":                        func(s *Settings) { s.Tick = 0 },
		"InstanceIndex":               func(s *Settings) { s.InstanceIndex = s.InstanceCount },
		"InstanceCount":               func(s *Settings) { s.InstanceCount = 0 },
		"Classes[0].LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Classes[0].MinCoverage":      func(s *Settings) { s.Classes[0].MinCoverage = math.NaN() },
	} {
		s := testSettings()
		invalidate(&s)
		_, err := New(s, 1)
		var invalid *InvalidSettingError
		require.ErrorAs(t, err, &invalid, field)
		assert.Equal(t, field, invalid.Field, "field of the error")
		assert.ErrorContains(t, err, field)
	}
}
