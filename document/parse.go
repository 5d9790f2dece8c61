package document

import (
	"fmt"
	"strings"
	"time"

	"alderproxy/inifile"
	"alderproxy/policy"
)

// SectionKinds maps each kind of shared section to whether sections of that kind have a name.
var SectionKinds = map[string]bool{"layout": false, "limits": false, "class": true, "team": true, "index": true}

// MaxSize is the maximum size of a document in bytes. Each instance stores up to that much for each version it retains.
const MaxSize = 256 << 10

// Upper limits on the values in a document. A larger value is rejected as a mistake.
const (
	maxClasses  = 256
	maxTenants  = 256
	maxIndices  = 1024
	maxShards   = 4096
	maxDuration = time.Hour
)

// idempotencyByEffect maps the values of the setting effect.
var idempotencyByEffect = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentByKey,
	"unsafe": policy.NonIdempotent,
}

// Parse parses a text that consists of shared sections only. Errors are of the type inifile.Faults and refer to the
// text by name.
func Parse(name, text string) (*Document, error) {
	if len(text) > MaxSize {
		return nil, inifile.Faults{{File: name, Message: fmt.Sprintf("has %d bytes; the maximum size of a document is %d", len(text), MaxSize)}}
	}
	file := inifile.Read(name, text)
	if !file.Malformed() {
		file.CheckKinds(SectionKinds)
	}
	d := FromFile(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// SharedText returns the text of a file's shared sections, each from its title to the next title. A comment above a title
// thus belongs to the section before it, and one above the first title is left out.
func SharedText(file *inifile.File) string {
	var out strings.Builder
	lines := strings.SplitAfter(file.Text, "\n")
	for _, section := range file.Sections {
		if _, shared := SectionKinds[section.Kind]; !shared {
			continue
		}
		text := strings.Join(lines[section.Line-1:min(section.LastLine, len(lines))], "")
		out.WriteString(strings.TrimSpace(text) + "\n\n")
	}
	return strings.TrimSuffix(out.String(), "\n")
}

// FromFile parses the shared sections of a file. It records faults in the file, whose method Err returns them.
func FromFile(file *inifile.File) *Document {
	d := &Document{Text: file.Text}
	if file.Malformed() {
		return d
	}
	// The file of an instance may be larger than a document, since only its shared sections count.
	if size := len(SharedText(file)); size > MaxSize {
		file.Section("layout").Fault("", "the shared sections have %d bytes; the maximum size of a document is %d", size, MaxSize)
	}
	d.readLayout(file.Section("layout"))
	d.readLimits(file.Section("limits"))
	tenants := map[string]bool{}
	for _, section := range file.SectionsOf("team") {
		tenants[section.Name] = true
		d.readTenant(section)
	}
	for _, section := range file.SectionsOf("class") {
		d.readClass(section, tenants)
	}
	for _, section := range file.SectionsOf("index") {
		d.readIndex(section)
	}
	checkSectionCounts(file)
	return d
}

func checkSectionCounts(file *inifile.File) {
	for kind, limit := range map[string]int{"class": maxClasses, "team": maxTenants, "index": maxIndices} {
		if sections := file.SectionsOf(kind); len(sections) > limit {
			sections[limit].Fault("", "expected at most %d sections of the kind %s", limit, kind)
		}
	}
}

func (d *Document) readLayout(s *inifile.Section) {
	d.Layout = Layout{
		Shards:            s.Int("slices", 1, 1, maxShards),
		RingSize:          s.Int("cells", 1, 1, maxShards),
		ReplicationFactor: s.Int("reach", 1, 1, maxShards),
	}
	if d.Layout.ReplicationFactor > d.Layout.RingSize {
		s.Fault("reach", "is %d, but must be at most layout.cells (%d)", d.Layout.ReplicationFactor, d.Layout.RingSize)
	}
	s.CheckUnused()
}

func (d *Document) readLimits(s *inifile.Section) {
	d.Limits = Limits{
		MaxOpen:            s.Int("max_open", 1000, 1, 1<<20),
		MaxAttempts:        s.Int("max_attempts", 4, 1, 100),
		AllowHedging:       s.Bool("second_copies", true),
		AllowCancel:        s.Bool("cancel", true),
		MaxRetryAfter:      s.Duration("advice", 2*time.Second, 0, maxDuration),
		RetryBudgetRatio:   s.Float("further_share", 0, 0, 100),
		RetryBudgetMinimum: s.Float("further_free", 10, 0, 1e6),
		RetryBudgetWindow:  s.Duration("further_span", 10*time.Second, time.Second, maxDuration),
		SlowStartDuration:  s.Duration("cold_for", 0, 0, maxDuration),
		SlowStartFraction:  s.Float("cold_share", 0.1, 0.001, 1),
		OverloadFactor:     s.Float("fall_multiple", 2, 0.01, 1000),
		OverloadDuration:   s.Duration("fall_after", time.Second, 10*time.Millisecond, maxDuration),
	}
	s.CheckUnused()
}

func (d *Document) readTenant(s *inifile.Section) {
	if !isName(s.Name) {
		s.Fault("", "invalid name: expected up to %d letters, digits, - and _, the first a letter or digit", maxNameLength)
	}
	d.Tenants = append(d.Tenants, Tenant{
		Name:             s.Name,
		QueriesPerSecond: s.Float("queries_per_s", 0, 0, 1e6),
		RetryRatio:       s.Float("further", 0, 0, 100),
	})
	s.CheckUnused()
}

func (d *Document) readClass(s *inifile.Section, tenants map[string]bool) {
	checkClassName(s, tenants)
	s.Required("aim")
	s.Required("give_up")
	objective := s.Duration("aim", time.Second, time.Millisecond, maxDuration)
	timeout := s.Duration("give_up", maxDuration, time.Millisecond, maxDuration)
	idempotency := idempotencyByEffect[s.Choice("effect", "safe", "safe", "keyed", "unsafe")]
	window := s.Duration("window", 0, 0, maxDuration)
	class := policy.Class{
		Name:                s.Name,
		LatencyObjective:    toMicros(objective),
		Timeout:             toMicros(timeout),
		PriorityWeight:      s.Float("worth", 1, 1e-6, 1e6),
		LateWeight:          s.Float("late_worth", 0, 0, 1),
		Idempotency:         idempotency,
		DeduplicationWindow: toMicros(window),
		RequiredCoverage:    s.Float("need", 1, 0.001, 1),
		PartialWeight:       s.Float("partial_earns", 1, 0, 1),
	}
	class.MinCoverage = s.Float("least", class.RequiredCoverage, 0.001, 1)
	switch {
	case timeout < objective:
		s.Fault("give_up", "is %v, but must be at least aim (%v)", timeout, objective)
	case idempotency == policy.IdempotentByKey && window == 0:
		s.Fault("window", "required with effect = keyed: expected the time for which stores drop repeated requests, such as 3s")
	case idempotency != policy.IdempotentByKey && window != 0:
		s.Fault("window", "expected only in a class with effect = keyed")
	case class.MinCoverage > class.RequiredCoverage:
		s.Fault("least", "is %v, but must be at most need (%v)", class.MinCoverage, class.RequiredCoverage)
	}
	d.Classes = append(d.Classes, class)
	s.CheckUnused()
}

func checkClassName(s *inifile.Section, tenants map[string]bool) {
	first, second, hasTenant := strings.Cut(s.Name, "/")
	switch {
	case !isName(first) || hasTenant && !isName(second):
		s.Fault("", "invalid name: expected NAME or TEAM/NAME, each of up to %d letters, digits, - and _, the first a letter or digit", maxNameLength)
	case hasTenant && !tenants[first]:
		s.Fault("", "there is no section [team %s]: expected the name of a team before the /", first)
	}
}

func (d *Document) readIndex(s *inifile.Section) {
	if !isIndexName(s.Name) {
		s.Fault("", "invalid name: expected up to %d lower-case letters, digits, -, _ and ., the first a letter or digit", maxIndexNameLength)
	}
	index := Index{
		Name:   s.Name,
		Class:  s.Required("class"),
		Shards: s.Range("slices", d.Layout.Shards),
	}
	class, found := d.Class(index.Class)
	switch {
	case !found && index.Class == "": // reported by Required
	case !found:
		s.Fault("class", "there is no section [class %s]: expected the name of a class", index.Class)
	case class.Idempotency != policy.Idempotent:
		s.Fault("class", "class %s does not have effect = safe, which an index needs, since searches can always be repeated safely", index.Class)
	}
	d.Indices = append(d.Indices, index)
	s.CheckUnused()
}

func toMicros(d time.Duration) policy.Micros { return d.Microseconds() }
