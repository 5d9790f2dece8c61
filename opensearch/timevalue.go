package opensearch

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// timeUnit is a unit of OpenSearch's time values.
type timeUnit struct {
	suffix   string
	duration time.Duration
}

// timeUnits are the units in an order in which each suffix is tried before its own suffixes, such as ms before s.
var timeUnits = []timeUnit{
	{"nanos", time.Nanosecond},
	{"micros", time.Microsecond},
	{"ms", time.Millisecond},
	{"s", time.Second},
	{"m", time.Minute},
	{"h", time.Hour},
	{"d", 24 * time.Hour},
}

// parseTimeValue parses a time value such as 500ms. A time longer than a day counts as a day.
func parseTimeValue(text string) (time.Duration, error) {
	for _, unit := range timeUnits {
		if digits, ok := strings.CutSuffix(text, unit.suffix); ok {
			n, err := strconv.ParseUint(digits, 10, 32)
			if err == nil && n > 0 {
				return time.Duration(min(n, uint64(24*time.Hour/unit.duration))) * unit.duration, nil
			}
		}
	}
	return 0, fmt.Errorf("%q is no time value", text)
}
