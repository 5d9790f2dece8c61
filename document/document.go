// Package document is the grammar of what instances share: classes with their deadlines and worth, teams' contracts,
// indices, the layout and the limits. A lone instance reads these sections from its own file; instances that agree
// hold them as one text. It has no input or output and no clock.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"alderproxy/inifile"
	"alderproxy/policy"
)

// Kinds are the shared sections; true: each has a name.
var Kinds = map[string]bool{"layout": false, "limits": false, "class": true, "team": true, "index": true}

// Document is what instances share.
type Document struct {
	Text    string // as it was read
	Layout  Layout
	Limits  Limits
	Classes []policy.Class // a team's class is named team/class
	Tenants   []Tenant
	Indices []Index
}

// Layout says how indices are cut and which cells hold what: slice s is held by cells (s+j) mod Cells, j below Reach.
type Layout struct{ Shards, RingSize, ReplicationFactor int }

// Limits bound what an instance holds and tries.
type Limits struct {
	MaxOpen, MaxAttempts int // queries and parts held; attempts of a part
	AllowHedging, AllowCancel bool
	MaxRetryAfter               time.Duration // longest Retry-After; 0: none is given
	RetryBudgetRatio         float64       // further attempts for each query and part taken; 0: no budget but the teams' own
	RetryBudgetMinimum          float64       // and as many free ones over FurtherSpan
	RetryBudgetWindow          time.Duration
	SlowStartDuration              time.Duration // a store that started is warm by then; 0: stores are never cold
	SlowStartFraction            float64       // what it bears at first
	OverloadFactor         float64       // more than this multiple of what it bears for FallAfter fells a cold store
	OverloadDuration            time.Duration
}

// Tenant is a team's contract, beside its classes.
type Tenant struct {
	Name      string
	QueriesPerSecond float64 // that count in full; 0: unlimited
	RetryRatio   float64 // further attempts for each of its queries and parts; 0: none beyond the limit a part
}

// Index is one index that can be searched.
type Index struct {
	Name, Class string
	Shards      []int
}

// MaxSize bounds a document, in bytes: every version that is kept takes as much, on every instance.
const MaxSize = 256 << 10

// Bounds of a document: more is no configuration but a mistake.
const (
	maxClasses, maxTenants, maxIndices = 256, 256, 1024
	maxShards                        = 4096
	maxDuration                          = time.Hour
)

// Parse reads a text that has shared sections only. Its error is inifile.Faults.
func Parse(name, text string) (*Document, error) {
	if len(text) > MaxSize {
		return nil, inifile.Faults{{File: name, What: fmt.Sprintf("is over %d bytes", MaxSize)}}
	}
	f := inifile.Read(name, text)
	if !f.Broken() {
		f.Known(Kinds)
	}
	d := Read(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Digest names a text: the first 16 hex digits of its SHA-256.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// Shared is the text of a file's shared sections, comments within them included.
func Shared(f *inifile.File) string {
	var out strings.Builder
	lines := strings.SplitAfter(f.Text, "\n")
	for _, s := range f.Sections {
		if _, shared := Kinds[s.Kind]; shared {
			out.WriteString(strings.TrimSpace(strings.Join(lines[s.Line-1:min(s.Last, len(lines))], "")) + "\n\n")
		}
	}
	return strings.TrimSuffix(out.String(), "\n")
}

// Read reads the shared sections of a file. What is wrong is left in the file's Err.
func Read(f *inifile.File) *Document {
	d := &Document{Text: f.Text}
	if f.Broken() {
		return d
	}
	if size := len(Shared(f)); size > MaxSize { // of an instance's file, which may be longer
		f.Only("layout").Fault("", "the shared sections are over %d bytes", MaxSize)
	}
	d.readLayout(f.Only("layout"))
	d.readLimits(f.Only("limits"))
	teams := map[string]bool{}
	for _, s := range f.Of("team") {
		teams[s.Name] = true
		d.readTenant(s)
	}
	for _, s := range f.Of("class") {
		d.readClass(s, teams)
	}
	for _, s := range f.Of("index") {
		d.readIndex(s)
	}
	for kind, most := range map[string]int{"class": maxClasses, "team": maxTenants, "index": maxIndices} {
		if all := f.Of(kind); len(all) > most {
			all[most].Fault("", "over %d sections of the kind %s", most, kind)
		}
	}
	return d
}

func (d *Document) readLayout(s *inifile.Section) {
	d.Layout = Layout{
		Shards: s.Int("slices", 1, 1, maxShards), RingSize: s.Int("cells", 1, 1, maxShards),
		ReplicationFactor: s.Int("reach", 1, 1, maxShards),
	}
	if d.Layout.ReplicationFactor > d.Layout.RingSize {
		s.Fault("reach", "%d cells hold a slice, but there are %d", d.Layout.ReplicationFactor, d.Layout.RingSize)
	}
	s.Done()
}

func (d *Document) readLimits(s *inifile.Section) {
	d.Limits = Limits{
		MaxOpen: s.Int("max_open", 1000, 1, 1<<20), MaxAttempts: s.Int("max_attempts", 4, 1, 100),
		AllowHedging: s.Bool("second_copies", true), AllowCancel: s.Bool("cancel", true),
		MaxRetryAfter:       s.Duration("advice", 2*time.Second, 0, maxDuration),
		RetryBudgetRatio: s.Float("further_share", 0, 0, 100), RetryBudgetMinimum: s.Float("further_free", 10, 0, 1e6),
		RetryBudgetWindow: s.Duration("further_span", 10*time.Second, time.Second, maxDuration),
		SlowStartDuration:     s.Duration("cold_for", 0, 0, maxDuration), SlowStartFraction: s.Float("cold_share", 0.1, 0.001, 1),
		OverloadFactor: s.Float("fall_multiple", 2, 0.01, 1000),
		OverloadDuration:    s.Duration("fall_after", time.Second, 10*time.Millisecond, maxDuration),
	}
	s.Done()
}

func (d *Document) readTenant(s *inifile.Section) {
	if !isName(s.Name) {
		s.Fault("", "a team's name is made of letters, digits, - and _")
	}
	d.Tenants = append(d.Tenants, Tenant{s.Name, s.Float("queries_per_s", 0, 0, 1e6), s.Float("further", 0, 0, 100)})
	s.Done()
}

var idempotencies = map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}

func toMicros(d time.Duration) policy.Micros { return d.Microseconds() }

func (d *Document) readClass(s *inifile.Section, teams map[string]bool) {
	team, own, owned := strings.Cut(s.Name, "/")
	switch {
	case !isName(team) || owned && !isName(own):
		s.Fault("", "a class's name is made of letters, digits, - and _, with the team's name and / before it where it is a team's")
	case owned && !teams[team]:
		s.Fault("", "there is no [team %s]", team)
	}
	s.Need("aim")
	s.Need("give_up")
	aim := s.Duration("aim", time.Second, time.Millisecond, maxDuration)
	give := s.Duration("give_up", maxDuration, time.Millisecond, maxDuration)
	effect := idempotencies[s.Choice("effect", "safe", "safe", "keyed", "unsafe")]
	window := s.Duration("window", 0, 0, maxDuration)
	c := policy.Class{
		Name: s.Name, LatencyObjective: toMicros(aim), Timeout: toMicros(give), PriorityWeight: s.Float("worth", 1, 1e-6, 1e6),
		LateWeight: s.Float("late_worth", 0, 0, 1), Idempotency: effect, DeduplicationWindow: toMicros(window),
		RequiredCoverage: s.Float("need", 1, 0.001, 1), PartialWeight: s.Float("partial_earns", 1, 0, 1),
	}
	c.MinCoverage = s.Float("least", c.RequiredCoverage, 0.001, 1)
	switch {
	case give < aim:
		s.Fault("give_up", "%v is under the aim of %v", give, aim)
	case effect == policy.IdempotentByKey && window == 0:
		s.Fault("window", "a keyed class needs the time in which stores drop repeats")
	case effect != policy.IdempotentByKey && window != 0:
		s.Fault("window", "only a keyed class has one")
	case c.MinCoverage > c.RequiredCoverage:
		s.Fault("least", "%v is over the need of %v", c.MinCoverage, c.RequiredCoverage)
	}
	d.Classes = append(d.Classes, c)
	s.Done()
}

func (d *Document) readIndex(s *inifile.Section) {
	if !isIndexName(s.Name) {
		s.Fault("", "an index's name is made of small letters, digits, -, _ and . and begins with a letter or digit")
	}
	ix := Index{s.Name, s.Need("class"), s.Numbers("slices", d.Layout.Shards)}
	if c, ok := d.Class(ix.Class); !ok {
		if ix.Class != "" {
			s.Fault("class", "there is no [class %s]", ix.Class)
		}
	} else if c.Idempotency != policy.Idempotent {
		s.Fault("class", "a search is always safe to repeat, and so must be its class")
	}
	d.Indices = append(d.Indices, ix)
	s.Done()
}

// Class is a class by its name.
func (d *Document) Class(name string) (policy.Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return policy.Class{}, false
}

func isName(s string) bool {
	for i := range len(s) {
		if c := s[i] | 0x20; !(c >= 'a' && c <= 'z' || s[i] >= '0' && s[i] <= '9' || i > 0 && (s[i] == '-' || s[i] == '_')) {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// isIndexName tells whether a name can stand in a path as it is.
func isIndexName(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || i > 0 && (c == '-' || c == '_' || c == '.')) {
			return false
		}
	}
	return s != "" && len(s) <= 255
}

// tickInterval is how often decisions are looked at again.
const tickInterval = 5 * time.Millisecond

// Settings are the document's terms for the decisions of one of some instances that share the load.
func (d *Document) Settings(number, fleet int) policy.Settings {
	l := d.Limits
	s := policy.Settings{
		InstanceIndex: number, InstanceCount: fleet, Tick: toMicros(tickInterval), Classes: d.Classes,
		Shards: d.Layout.Shards, RingSize: d.Layout.RingSize, ReplicationFactor: d.Layout.ReplicationFactor, MaxBatchSize: 1,
		MaxAttempts: l.MaxAttempts, MaxOpen: l.MaxOpen, AllowHedging: l.AllowHedging, AllowCancel: l.AllowCancel,
		SendRetryAfter: l.MaxRetryAfter > 0, MaxRetryAfter: toMicros(l.MaxRetryAfter), AnswerSlack: toMicros(4 * tickInterval), DrainGrace: toMicros(500 * time.Millisecond),
	}
	if l.SlowStartDuration > 0 {
		s.SlowStartDuration, s.SlowStartFraction, s.OverloadFactor, s.OverloadDuration = toMicros(l.SlowStartDuration), l.SlowStartFraction, l.OverloadFactor, toMicros(l.OverloadDuration)
	}
	share, weights := 0.0, 0.0
	for _, t := range d.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, QueriesPerSecond: t.QueriesPerSecond})
		weight := max(t.QueriesPerSecond, 1)
		share, weights = share+weight*t.RetryRatio, weights+weight
	}
	if weights > 0 {
		share /= weights // the decisions know one budget: the teams' ones, each by its traffic
	}
	if l.RetryBudgetRatio > 0 {
		share = l.RetryBudgetRatio
	}
	if share > 0 {
		s.RetryBudgetWindow, s.RetryBudgetRatio, s.RetryBudgetMinimum = toMicros(l.RetryBudgetWindow), share, l.RetryBudgetMinimum
	}
	return s
}

// Overlay puts the document's classes into a platform's settings: a class of the same name gets the document's
// times and worth. It names the first one that the platform runs in another way.
func (d *Document) Overlay(base policy.Settings) (policy.Settings, error) {
	classes := make([]policy.Class, len(base.Classes))
	for i, c := range base.Classes {
		own, ok := d.Class(c.Name)
		if ok && own.Idempotency != c.Idempotency {
			return base, inifile.Fault{
				File: "agreed document", At: "class " + c.Name + ".effect",
				What: "the platform's front runs this class with another effect",
			}
		}
		if ok {
			own.FetchParts = c.FetchParts
			c = own
		}
		classes[i] = c
	}
	base.Classes = classes
	return base, nil
}
