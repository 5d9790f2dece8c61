package maintenance

import (
	"fmt"
	"slices"
)

// day is the length of a day in microseconds.
const day Micros = 24 * 3600 * 1_000_000

// maxDuration is the maximum of any configured or requested duration.
const maxDuration = 30 * day

// Rules are the limits that drains must keep. A zero value disables a rule, except for MinHealthyReplicas, which is 1 at
// least. Fractions are from 0 to 1 and always allow one.
type Rules struct {
	// MinAvailableReplicas is the number of healthy replicas that each shard must keep.
	MinAvailableReplicas int `json:"keep_sound"`
	// MaxUnavailableStoreFraction is the maximum fraction of all stores that is out at a time.
	MaxUnavailableStoreFraction float64 `json:"most_stores,omitempty"`
	// MaxUnavailableWeightFraction is the maximum fraction of the weight of all stores that is out at a time.
	MaxUnavailableWeightFraction float64 `json:"most_weight,omitempty"`
	// MaxUnavailableZoneFraction is the maximum fraction of the stores of one zone that is out at a time.
	MaxUnavailableZoneFraction float64 `json:"most_zone,omitempty"`
	// MaxUnavailableMemberFraction is the maximum fraction of the instances that is out at a time.
	MaxUnavailableMemberFraction float64 `json:"most_fleet,omitempty"`
	// MaxLoad is the maximum load of the remaining stores, from 0 to 1, if the load is known.
	MaxLoad float64 `json:"room,omitempty"`
	// DrainSpacing is the minimum time between the starts of the drains of two machines of the same kind.
	DrainSpacing Micros `json:"spacing,omitempty"`
	// ClosedWindows are the parts of the day in which no drain starts.
	ClosedWindows []DailyWindow `json:"closed,omitempty"`
	// WarmUpDuration is how long a store warms up after its return.
	WarmUpDuration Micros `json:"warm,omitempty"`
	// DrainDuration is the expected duration of a drain, for predictions.
	DrainDuration Micros `json:"drain,omitempty"`
	// UnreachableMemberTimeout is how long after the announcement of a drain an instance that did not report may still send
	// requests to the machine: the time in which it may start one, plus the longest deadline of one. See
	// State.DrainComplete.
	UnreachableMemberTimeout Micros `json:"unheard,omitempty"`
}

// DailyWindow is a part of each day in UTC, in microseconds since midnight. A window whose end is before its start spans
// midnight.
type DailyWindow struct {
	Start Micros `json:"from"`
	End   Micros `json:"to"`
}

func (w DailyWindow) contains(at Micros) bool {
	timeOfDay := ((at % day) + day) % day
	if w.Start <= w.End {
		return timeOfDay >= w.Start && timeOfDay < w.End
	}
	return timeOfDay >= w.Start || timeOfDay < w.End
}

func (w DailyWindow) isValid() bool {
	return w.Start >= 0 && w.Start < day && w.End >= 0 && w.End <= day && w.Start != w.End
}

// Validate returns an error that describes an invalid rule, or nil.
func (r Rules) Validate() error {
	for _, fraction := range []struct {
		name  string
		value float64
	}{
		{"most_stores", r.MaxUnavailableStoreFraction},
		{"most_weight", r.MaxUnavailableWeightFraction},
		{"most_zone", r.MaxUnavailableZoneFraction},
		{"most_fleet", r.MaxUnavailableMemberFraction},
		{"room", r.MaxLoad},
	} {
		inRange := fraction.value >= 0 && fraction.value <= 1 // false if it is not a number
		if !inRange {
			return fmt.Errorf("rules: %s is %v and no part", fraction.name, fraction.value)
		}
	}
	for _, duration := range []struct {
		name  string
		value Micros
	}{
		{"spacing", r.DrainSpacing},
		{"warm", r.WarmUpDuration},
		{"drain", r.DrainDuration},
		{"unheard", r.UnreachableMemberTimeout},
	} {
		if duration.value < 0 || duration.value > maxDuration {
			return fmt.Errorf("rules: %s of %d us", duration.name, duration.value)
		}
	}
	if r.MinAvailableReplicas < 0 {
		return fmt.Errorf("rules: keep_sound is %d", r.MinAvailableReplicas)
	}
	for _, window := range r.ClosedWindows {
		if !window.isValid() {
			return fmt.Errorf("rules: a window from %d to %d us of the day", window.Start, window.End)
		}
	}
	if _, ok := r.nextOpenTime(0); !ok {
		return fmt.Errorf("rules: the windows leave no time of the day")
	}
	return nil
}

// requiredReplicas returns the number of healthy replicas that each shard must keep.
func (r Rules) requiredReplicas() int { return max(1, r.MinAvailableReplicas) }

// nextOpenTime returns the first time from a given one on that is in no closed window. It returns false if there is none.
func (r Rules) nextOpenTime(at Micros) (Micros, bool) {
	for range 2*len(r.ClosedWindows) + 2 {
		i := slices.IndexFunc(r.ClosedWindows, func(window DailyWindow) bool { return window.contains(at) })
		if i < 0 {
			return at, true
		}
		at += ((r.ClosedWindows[i].End-at%day)+day-1)%day + 1
	}
	return 0, false
}

// Rule is the name of a rule, as operators see it. It is empty for what no rule is about, such as an unknown machine.
type Rule string

// The rules.
const (
	RuleReplicas       Rule = "replicas"
	RuleStores         Rule = "most_stores"
	RuleWeight         Rule = "most_weight"
	RuleZone           Rule = "most_zone"
	RuleMembers        Rule = "most_fleet"
	RuleLoad           Rule = "room"
	RuleSpacing        Rule = "spacing"
	RuleTimeWindow     Rule = "closed"
	RuleVoters         Rule = "voters"
	RuleExclusionGroup Rule = "pair"
	RuleFreeze         Rule = "held"
)

// RuleViolation names the rule that forbids a drain, and the reason.
type RuleViolation struct {
	Rule   Rule   `json:"rule"`
	Reason string `json:"why"`
}

// String returns the rule and the reason.
func (v RuleViolation) String() string { return string(v.Rule) + ": " + v.Reason }

func violationf(rule Rule, format string, args ...any) *RuleViolation {
	return &RuleViolation{Rule: rule, Reason: fmt.Sprintf(format, args...)}
}
