package document

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/inifile"
	"alderproxy/policy"
)

const validText = `# ours
[layout]
slices = 4
cells = 2
reach = 2

[limits]
max_open = 150
cold_for = 10s
further_free = 5

[team sales]
queries_per_s = 20
further = 0.2

[class sales/lookup]
aim = 1500ms
give_up = 4s
late_worth = 0.3

[class quote-save]
aim = 1s
give_up = 2s
effect = keyed
window = 3s
worth = 5
need = 0.9
least = 0.5

[index catalogue]
class = sales/lookup
slices = 0-2
`

// TestSettings checks that the values of a document reach the settings of package policy, with units converted and defaults
// for the keys that it lacks.
func TestSettings(t *testing.T) {
	d, err := Parse("doc", validText)
	require.NoError(t, err)
	assert.Equal(t, validText, d.Text)
	s := d.Settings(1, 3)
	require.NoError(t, s.Validate())
	assert.Equal(t, []policy.Class{
		{
			Name:             "sales/lookup",
			LatencyObjective: 1_500_000,
			Timeout:          4_000_000,
			PriorityWeight:   1,
			LateWeight:       0.3,
			RequiredCoverage: 1,
			MinCoverage:      1,
			PartialWeight:    1,
		},
		{
			Name:                "quote-save",
			LatencyObjective:    1_000_000,
			Timeout:             2_000_000,
			PriorityWeight:      5,
			Idempotency:         policy.IdempotentByKey,
			DeduplicationWindow: 3_000_000,
			RequiredCoverage:    0.9,
			MinCoverage:         0.5,
			PartialWeight:       1,
		},
	}, s.Classes)
	assert.Equal(t, []policy.Tenant{{Name: "sales", QueriesPerSecond: 20}}, s.Tenants)
	assert.Equal(t, 4, s.Shards)
	assert.Equal(t, 2, s.RingSize)
	assert.Equal(t, 2, s.ReplicationFactor)
	assert.Equal(t, 1, s.InstanceIndex)
	assert.Equal(t, 3, s.InstanceCount)
	assert.Equal(t, 1, s.MaxBatchSize)
	assert.Equal(t, 150, s.MaxOpen)
	assert.Equal(t, 4, s.MaxAttempts)
	assert.Equal(t, [2]float64{0.2, 5}, [2]float64{s.RetryBudgetRatio, s.RetryBudgetMinimum}) // exact, no tolerance
	assert.Equal(t, policy.Micros(10_000_000), s.RetryBudgetWindow)
	assert.Equal(t, policy.Micros(10_000_000), s.SlowStartDuration)
	assert.Equal(t, []Index{{Name: "catalogue", Class: "sales/lookup", Shards: []int{0, 1, 2}}}, d.Indices)
}

// TestFaults checks that a fault names the file, line, section and key, and says what is expected.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{"reach = 2", "reach = 3", "doc:5: layout.reach: is 3, but must be at most layout.cells (2)"},
		{"max_open = 150", "max_opn = 150", "doc:8: limits.max_opn: unknown key"},
		{"give_up = 4s", "give_up = 1s", "doc:18: class sales/lookup.give_up: is 1s, but must be at least aim (1.5s)"},
		{"[team sales]", "[team finance]", "doc:16: class sales/lookup: there is no section [team sales]: expected the name of a team before the /"},
		{"window = 3s", "", "doc:21: class quote-save.window: required with effect = keyed: expected the time for which stores drop repeated requests, such as 3s"},
		{"effect = keyed", "", "doc:25: class quote-save.window: expected only in a class with effect = keyed"},
		{"least = 0.5", "least = 0.95", "doc:28: class quote-save.least: is 0.95, but must be at most need (0.9)"},
		{"aim = 1s", "", "doc:21: class quote-save.aim: is missing"},
		{"class = sales/lookup", "class = lookup", "doc:31: index catalogue.class: there is no section [class lookup]: expected the name of a class"},
		{"class = sales/lookup", "class = quote-save", "doc:31: index catalogue.class: class quote-save does not have effect = safe, which an index needs, since searches can always be repeated safely"},
		{"slices = 0-2", "slices = 0-4", "doc:32: index catalogue.slices: 4 is not below 4"},
		{"[index catalogue]", "[index Catalogue]", "doc:30: index Catalogue: invalid name: expected up to 255 lower-case letters, digits, -, _ and ., the first a letter or digit"},
		{"[class quote-save]", "[class quote/save/x]", "doc:21: class quote/save/x: invalid name: expected NAME or TEAM/NAME, each of up to 64 letters, digits, - and _, the first a letter or digit"},
		{"# ours", "[instance]", "doc:1: instance: unknown section"},
	} {
		_, err := Parse("doc", strings.Replace(validText, c.old, c.replacement, 1))
		if assert.Error(t, err, c.replacement) {
			assert.Equal(t, c.want, err.Error())
		}
	}
}

// TestSharedText checks that the shared sections of an instance's file parse as a document with the same settings.
func TestSharedText(t *testing.T) {
	f := inifile.Read("file", "[instance]\nid = n1\n"+validText+"[log]\nlevel = info\n")
	require.NoError(t, f.Err())
	text := SharedText(f)
	assert.NotContains(t, text, "instance")
	assert.NotContains(t, text, "level")
	extracted, err := Parse("doc", text)
	require.NoError(t, err)
	original, err := Parse("doc", validText)
	require.NoError(t, err)
	assert.Equal(t, original.Settings(0, 1), extracted.Settings(0, 1))
	assert.Equal(t, text, SharedText(inifile.Read("doc", text)), "extracting the shared text from itself changes it")
	assert.NotEqual(t, Digest(text), Digest(validText))
	assert.Len(t, Digest(text), 16)
}

// TestOverlay checks that only the classes of the base settings are replaced, that the base settings are not modified, and
// that a class with another idempotency is rejected.
func TestOverlay(t *testing.T) {
	d, err := Parse("doc", validText)
	require.NoError(t, err)
	base := policy.Settings{Shards: 9, Classes: []policy.Class{
		{Name: "other", LatencyObjective: 7},
		{Name: "quote-save", LatencyObjective: 9, Idempotency: policy.IdempotentByKey},
	}}
	s, err := d.Overlay(base)
	require.NoError(t, err)
	assert.Equal(t, 9, s.Shards)
	assert.Equal(t, base.Classes[0], s.Classes[0])
	assert.Equal(t, policy.Micros(1_000_000), s.Classes[1].LatencyObjective)
	assert.Equal(t, policy.Micros(9), base.Classes[1].LatencyObjective, "the base settings were modified")
	base.Classes[1].Idempotency = policy.NonIdempotent
	_, err = d.Overlay(base)
	assert.ErrorContains(t, err, "class quote-save.effect")
}

// FuzzParse checks that every document with classes that parses has valid settings. Otherwise an accepted change could not
// be activated.
func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Fuzz(func(t *testing.T, text string) {
		if d, err := Parse("doc", text); err == nil && len(d.Classes) > 0 {
			assert.NoError(t, d.Settings(0, 1).Validate(), "the document was accepted, but its settings are invalid")
		}
	})
}
