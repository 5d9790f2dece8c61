package simcodec

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"alderproxy/internal/jsonscan"
	"alderproxy/policy"
)

// Facts holds the settings of a HELLO by their paths, and the order of the values in a load report.
type Facts struct {
	values  map[string]string
	columns []string
	err     error
}

// ParseFacts reads lines of path=value. Keys nobody asks for are of no matter.
func ParseFacts(text string) *Facts {
	f := &Facts{values: map[string]string{}}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			f.values[path] = value
		}
	}
	f.columns = f.list("feedback.columns")
	return f
}

func (f *Facts) fail(path string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("setting %s=%s: %w", path, f.values[path], err)
	}
}

func (f *Facts) num(path string) float64 {
	text, ok := f.values[path]
	if !ok || text == "" {
		return 0
	}
	return f.parse(path, text)
}

func (f *Facts) parse(path, text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1e15) {
		err = fmt.Errorf("out of range")
	}
	if err != nil {
		f.fail(path, err)
		return 0
	}
	return v
}

func (f *Facts) int(path string) int { return int(f.num(path)) }

func (f *Facts) micros(path string) policy.Micros { return policy.Micros(f.num(path)) }

func (f *Facts) flag(path string) bool {
	v := f.values[path]
	return v == "true" || v == "1"
}

func (f *Facts) list(path string) []string {
	if v := f.values[path]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// at is item i of a list of numbers, or absent where the list is too short.
func (f *Facts) at(path string, i int, absent float64) float64 {
	if items := f.list(path); i < len(items) {
		return f.parse(path, items[i])
	}
	return absent
}

const maxItems = 1 << 12

func (f *Facts) count(path string) int {
	n := f.int(path)
	if n < 0 || n > maxItems {
		f.fail(path, fmt.Errorf("no such count"))
		return 0
	}
	return n
}

var effects = map[string]policy.Idempotency{
	"read_like": policy.Idempotent, "idempotency_key": policy.IdempotentByKey,
	"non_idempotent": policy.NonIdempotent,
}

func (f *Facts) class(i int) policy.Class {
	p := fmt.Sprintf("grades.%d.", i)
	effect, ok := effects[f.values[p+"effect"]]
	if !ok {
		f.fail(p+"effect", fmt.Errorf("unknown effect"))
	}
	return policy.Class{
		Name: f.values[p+"name"], LatencyObjective: f.micros(p + "promise_us"), Timeout: f.micros(p + "give_up_us"),
		PriorityWeight: f.num(p + "gain"), LateWeight: f.num(p + "late_worth"), Idempotency: effect, DeduplicationWindow: f.micros(p + "window_us"),
		MinCoverage: f.at("family_info.least_share", i, 1), RequiredCoverage: f.at("family_info.need_by_class", i, 1),
		PartialWeight: f.at("family_info.partial_earns", i, 0), FetchParts: int(f.at("family_info.fetch_parts", i, 0)),
	}
}

// Settings translates the facts. A missing one means what the protocol says of it: none.
func (f *Facts) Settings() (policy.Settings, error) {
	s := policy.Settings{
		InstanceIndex: f.int("my_number"), InstanceCount: f.int("fleet_size"), Tick: f.micros("tick_us"),
		OverQuotaWeight: f.num("over_share_worth"), Zone: f.int("locality"),
		Shards: f.int("family_info.slices"), RingSize: f.int("family_info.cells"), ReplicationFactor: f.int("family_info.reach"),
		MaxBatchSize: f.int("family_info.batch"), BatchOverhead: f.micros("family_info.per_call_work_us"),
		ServersCacheKeys: f.flag("family_info.warm_keys"), MaxAttempts: f.int("permissions.max_attempts"),
		MaxOpen: f.int("permissions.max_open"), AllowHedging: f.flag("permissions.second_copies"),
		AllowCancel: f.flag("permissions.cancel"), AllowHealthChecks: f.flag("permissions.probes"),
		SendRetryAfter: f.flag("permissions.retry_after"), MaxRetryAfter: f.micros("permissions.max_retry_after_us"),
		LoadByHealthCheckOnly: f.values["feedback.how"] == "on_probe", PollEndpoints: f.values["discovery"] == "subscribe",
		PollInterval: f.micros("guarantees.ask_within_us"),
		AnswerSlack:  f.micros("guarantees.answer_slack_us"), DrainGrace: f.micros("guarantees.drain_grace_us"),
		SlowStartFraction: f.num("guarantees.cold_share"), SlowStartDuration: f.micros("guarantees.cold_us"),
		OverloadFactor: f.num("guarantees.fall_multiple"), OverloadDuration: f.micros("guarantees.overload_for_us"),
		RetryBudgetMinimum: f.num("guarantees.budget_free"), RetryBudgetRatio: f.num("guarantees.further_ratio"),
		PriceCrossZone: f.num("penalties.cross_zone"), PriceHealthCheck: f.num("penalties.probe"),
	}
	_, free := f.values["guarantees.budget_free"]
	_, share := f.values["guarantees.further_ratio"]
	if free || share {
		s.RetryBudgetWindow = f.micros("guarantees.budget_span_us")
	}
	for i := range f.count("grades.count") {
		s.Classes = append(s.Classes, f.class(i))
	}
	for i := range f.count("realms.count") {
		p := fmt.Sprintf("realms.%d.", i)
		s.Tenants = append(s.Tenants, policy.Tenant{Name: f.values[p+"name"], QueriesPerSecond: f.num(p + "allowance_per_s")})
	}
	return s, f.err
}

// Micros returns a duration in microseconds by its path; 0: it is missing.
func (f *Facts) Micros(path string) policy.Micros { return f.micros(path) }

// Flag returns whether a setting is true.
func (f *Facts) Flag(path string) bool { return f.flag(path) }

// List returns a list of plain values by its path.
func (f *Facts) List(path string) []string { return f.list(path) }

// Limits on the values of a load report, and its unit of time.
const (
	maxLoadValue         = 1e9
	microsPerMillisecond = 1000
)

// Report returns the load report with some values, in the order of the settings' columns. Values that are negative, too
// large or not numbers count as not reported.
func (f *Facts) Report(values []float32) policy.LoadReport {
	report := policy.NoLoadReport
	fields := map[string]*float64{
		"active":  &report.Inflight,
		"waiting": &report.Queue,
		"cpu":     &report.Utilization,
		"rps":     &report.Rate,
		"err_rps": &report.Errors,
	}
	for i, v := range values[:min(len(values), len(f.columns))] {
		value := float64(v)
		if !(value >= 0 && value < maxLoadValue) { // also where it is not a number
			continue
		}
		if field := fields[f.columns[i]]; field != nil {
			*field = value
		} else if f.columns[i] == "avg_ms" {
			report.Latency = policy.Micros(value * microsPerMillisecond)
		}
	}
	return report
}

// FlattenFacts reads settings given as a nested JSON object: the same names and units as in a HELLO.
func FlattenFacts(object []byte) (*Facts, error) {
	f := &Facts{values: map[string]string{}}
	if err := jsonscan.Object(object, f.flatten); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f.columns = f.list("feedback.columns")
	return f, nil
}

func (f *Facts) flatten(path string, raw []byte) error {
	under := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch raw[0] {
	case '{':
		return jsonscan.Object(raw, func(key string, raw []byte) error { return f.flatten(under(key), raw) })
	case '[':
		var plain []string
		n := 0
		err := jsonscan.Array(raw, func(item []byte) error {
			n++
			if item[0] == '{' || item[0] == '[' {
				return f.flatten(under(strconv.Itoa(n-1)), item)
			}
			text, err := scalar(item)
			plain = append(plain, text)
			return err
		})
		if len(plain) > 0 || n == 0 {
			f.values[path] = strings.Join(plain, ",")
		}
		if len(plain) < n || n == 0 {
			f.values[under("count")] = strconv.Itoa(n)
		}
		return err
	}
	text, err := scalar(raw)
	f.values[path] = text
	return err
}

// scalar is a plain value's text as a HELLO would give it.
func scalar(raw []byte) (string, error) {
	if raw[0] != '"' {
		return strings.TrimPrefix(string(raw), "null"), nil
	}
	text, err := jsonscan.String(raw)
	return strings.NewReplacer(" ", "_", ",", "_").Replace(text), err
}
