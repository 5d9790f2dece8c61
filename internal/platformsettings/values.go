package platformsettings

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"alderproxy/policy"
)

const (
	// maxNumber is the maximum absolute value of a number in the settings.
	maxNumber = 1e15
	// maxCount is the maximum number of classes, and of tenants.
	maxCount = 1 << 12
)

var (
	errOutOfRange         = errors.New("expected a finite number of at most 1e15 in absolute value")
	errCountOutOfRange    = errors.New("expected a count from 0 to 4096")
	errUnknownIdempotency = errors.New("expected read_like, idempotency_key or non_idempotent")
)

// Values contains the platform's settings as texts, by their paths. A path joins the names of nested objects by dots.
type Values struct {
	texts       map[string]string
	loadColumns []string // the names of the values in a load report
	err         error    // the first error of any method
}

// Parse parses lines of the form path=value. It ignores other lines; paths that this program does not know have no effect.
func Parse(text string) *Values {
	v := &Values{texts: map[string]string{}}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v.texts[path] = value
		}
	}
	v.loadColumns = v.List("feedback.columns")
	return v
}

// Micros returns the duration at a path, in microseconds, or 0 if it is missing or invalid.
func (v *Values) Micros(path string) policy.Micros { return policy.Micros(v.number(path)) }

// Flag reports whether the setting at a path is true or 1.
func (v *Values) Flag(path string) bool {
	text := v.texts[path]
	return text == "true" || text == "1"
}

// List returns the list of texts at a path, or nil if it is missing or empty.
func (v *Values) List(path string) []string {
	if text := v.texts[path]; text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// fail records the error of the setting at a path, unless an error was recorded before.
func (v *Values) fail(path string, err error) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s=%s: %w", path, v.texts[path], err)
	}
}

// number returns the number at a path, or 0 if it is missing or invalid.
func (v *Values) number(path string) float64 {
	text, ok := v.texts[path]
	if !ok || text == "" {
		return 0
	}
	return v.parseNumber(path, text)
}

func (v *Values) parseNumber(path, text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(number) || math.IsInf(number, 0) || math.Abs(number) > maxNumber) {
		err = errOutOfRange
	}
	if err != nil {
		v.fail(path, err)
		return 0
	}
	return number
}

func (v *Values) integer(path string) int { return int(v.number(path)) }

// listNumber returns an item of the list of numbers at a path, or a default value if the list is too short.
func (v *Values) listNumber(path string, index int, defaultValue float64) float64 {
	if items := v.List(path); index < len(items) {
		return v.parseNumber(path, items[index])
	}
	return defaultValue
}

// count returns the count at a path, or 0 if it is missing or invalid.
func (v *Values) count(path string) int {
	count := v.integer(path)
	if count < 0 || count > maxCount {
		v.fail(path, errCountOutOfRange)
		return 0
	}
	return count
}
