package policy

import (
	"math"
	"testing"
)

func TestInvalidSettingsNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Classes": func(s *Settings) { s.Classes = nil }, "Shards": func(s *Settings) { s.Shards = 0 },
		"ReplicationFactor": func(s *Settings) { s.ReplicationFactor = 9 }, "Tick": func(s *Settings) { s.Tick = 0 },
		"InstanceIndex": func(s *Settings) { s.InstanceIndex = s.InstanceCount }, "InstanceCount": func(s *Settings) { s.InstanceCount = 0 }, "LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"MinCoverage": func(s *Settings) { s.Classes[0].MinCoverage = math.NaN() },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func contains(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return true
		}
	}
	return false
}
