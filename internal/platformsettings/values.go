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
	// maxNumber bounds the size of a number in the settings.
	maxNumber = 1e15
	// maxCount bounds the number of classes and of tenants.
	maxCount = 1 << 12
)

var (
	errOutOfRange         = errors.New("out of range")
	errCountOutOfRange    = errors.New("no such count")
	errUnknownIdempotency = errors.New("unknown effect")
)

// Values is the platform's settings as texts, by the paths that the protocol gives them.
type Values struct {
	texts       map[string]string
	loadColumns []string // the names of the values in a load report
	err         error    // the first one that was found
}

// Parse reads lines of path=value. Unknown paths are ignored.
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

// Micros returns a duration in microseconds by its path; 0: it is missing.
func (v *Values) Micros(path string) policy.Micros { return policy.Micros(v.number(path)) }

// Flag returns whether a setting is true.
func (v *Values) Flag(path string) bool {
	text := v.texts[path]
	return text == "true" || text == "1"
}

// List returns a list of texts by its path; nil: it is missing.
func (v *Values) List(path string) []string {
	if text := v.texts[path]; text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

func (v *Values) fail(path string, err error) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s=%s: %w", path, v.texts[path], err)
	}
}

// number returns a number by its path; 0: it is missing or faulty.
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

// listNumber returns an listNumber of a list of numbers, or a default where the list is shorter.
func (v *Values) listNumber(path string, index int, defaultValue float64) float64 {
	if items := v.List(path); index < len(items) {
		return v.parseNumber(path, items[index])
	}
	return defaultValue
}

// count returns the number of entries of a list of objects.
func (v *Values) count(path string) int {
	count := v.integer(path)
	if count < 0 || count > maxCount {
		v.fail(path, errCountOutOfRange)
		return 0
	}
	return count
}
