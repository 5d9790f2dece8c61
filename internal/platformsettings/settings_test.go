package platformsettings

import (
	"math"
	"reflect"
	"testing"

	"alderproxy/policy"
)

// TestSettings guards the defaults of missing settings, and checks that unknown paths are ignored and invalid values are
// rejected.
func TestSettings(t *testing.T) {
	values := Parse("grades.count=2\ngrades.0.effect=non_idempotent\ngrades.0.promise_us=5\ngrades.1.effect=read_like\n" +
		"family_info.least_share=0.8\nfeedback.columns=active,avg_ms\nguarantees.budget_span_us=9\nwhat.is.this=1\n")
	s, err := values.Settings()
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 2 || s.Classes[0].Idempotency != policy.NonIdempotent || s.Classes[0].MinCoverage != 0.8 ||
		s.Classes[1].MinCoverage != 1 || s.RetryBudgetWindow != 0 || s.AllowHealthChecks {
		t.Fatalf("unexpected settings: %+v", s)
	}
	r := values.LoadReport([]float32{3, 1.5})
	if r.InFlight != 3 || r.Latency != 1500 || r.Utilization != -1 {
		t.Fatalf("unexpected load report: %+v", r)
	}
	if r := values.LoadReport([]float32{float32(math.NaN())}); r != policy.NoLoadReport {
		t.Fatalf("NaN counts as reported: %+v", r)
	}
	for _, bad := range []string{"tick_us=x", "grades.count=-1", "grades.count=1\ngrades.0.effect=odd", "tick_us=NaN"} {
		if _, err := Parse(bad).Settings(); err == nil {
			t.Errorf("invalid setting %q was accepted", bad)
		}
	}
}

// Settings as lines and the same settings as a JSON object must have the same meaning: the simulator sends lines, and the
// platform's configuration file is JSON.
func TestSettingsFromLinesAndFromJSONAgree(t *testing.T) {
	lines := "fleet_size=3\nmy_number=1\ntick_us=5000\ndcs=a_b,c\nrealms=\nrealms.count=0\nfamily_info.slices=12\n" +
		"family_info.cells=6\nfamily_info.reach=1\nfamily_info.need_by_class=1.0,0.5\nfamily_info.least_share=1.0,0.5\n" +
		"feedback.columns=rps,waiting\ngrades.count=2\ngrades.0.name=x\ngrades.0.effect=read_like\n" +
		"grades.0.promise_us=1000\ngrades.0.give_up_us=2000\ngrades.1.name=y\ngrades.1.effect=idempotency_key\n" +
		"grades.1.window_us=7\npermissions.cancel=true\npermissions.max_open=150\n"
	object := `{"fleet_size":3,"my_number":1,"tick_us":5000,"dcs":["a b","c"],"realms":[],"family_info":{"slices":12,
		"cells":6,"reach":1,"need_by_class":[1.0,0.5],"least_share":[1.0,0.5]},"feedback":{"columns":["rps","waiting"]},
		"grades":[{"name":"x","effect":"read_like","promise_us":1000,"give_up_us":2000},
		{"name":"y","effect":"idempotency_key","window_us":7}],"permissions":{"cancel":true,"max_open":150},"odd":null}`
	want, err := Parse(lines).Settings()
	if err != nil {
		t.Fatal(err)
	}
	values, err := ParseJSON([]byte(object))
	if err != nil {
		t.Fatal(err)
	}
	got, err := values.Settings()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("from JSON: got %+v, error %v, want %+v", got, err, want)
	}
	if zones := values.List("dcs"); len(zones) != 2 || zones[0] != "a_b" {
		t.Fatalf("unexpected zones: %q", zones)
	}
	if r := values.LoadReport([]float32{3, 4}); r.RequestRate != 3 || r.Queued != 4 {
		t.Fatalf("report %+v", r)
	}
	for _, bad := range []string{"", "[]", "{", `{"a":}`, `{"a":[1,{]}`} {
		if _, err := ParseJSON([]byte(bad)); err == nil {
			t.Errorf("malformed JSON %q was accepted", bad)
		}
	}
}
