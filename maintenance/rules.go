package maintenance

import (
	"fmt"
	"slices"
)

// day is the length of a day in microseconds.
const day Micros = 24 * 3600 * 1_000_000

// maxDuration is the maximum of all configured and requested durations.
const maxDuration = 30 * day

// Rules are the limits that drains must keep. A zero value disables a limit, except that MinAvailableReplicas is at
// least 1. The rules on voters and exclusion groups have no setting and always apply. Fractions are from 0 to 1. A
// fraction of stores or instances always allows one of them to be unavailable, and a fraction of the weight always
// allows one machine.
type Rules struct {
	// MinAvailableReplicas is the minimum number of available replicas of each shard.
	MinAvailableReplicas int `json:"keep_sound"`
	// MaxUnavailableStoreFraction is the maximum fraction of all stores that may be unavailable at a time.
	MaxUnavailableStoreFraction float64 `json:"most_stores,omitempty"`
	// MaxUnavailableWeightFraction is the maximum fraction of the total store weight that may be unavailable at a time.
	MaxUnavailableWeightFraction float64 `json:"most_weight,omitempty"`
	// MaxUnavailableZoneFraction is the maximum fraction of the stores of a zone that may be unavailable at a time.
	MaxUnavailableZoneFraction float64 `json:"most_zone,omitempty"`
	// MaxUnavailableMemberFraction is the maximum fraction of the instances that may be unavailable at a time.
	MaxUnavailableMemberFraction float64 `json:"most_fleet,omitempty"`
	// MaxLoad is the maximum load of the available stores, from 0 to 1. It is not checked while the load is unknown.
	MaxLoad float64 `json:"room,omitempty"`
	// DrainSpacing is the minimum time between the starts of the drains of two machines of the same type.
	DrainSpacing Micros `json:"spacing,omitempty"`
	// ClosedWindows are the parts of each day in which no drain may start.
	ClosedWindows []DailyWindow `json:"closed,omitempty"`
	// WarmUpDuration is the duration of the warm-up of a store after its return.
	WarmUpDuration Micros `json:"warm,omitempty"`
	// DrainDuration is the expected duration of a drain. It is used for predictions only.
	DrainDuration Micros `json:"drain,omitempty"`
	// UnreachableMemberTimeout is the time after the start of a drain during which an unreachable instance may still
	// send requests to the machine: the time in which it may start a request, plus the longest deadline of a request.
	// If it is 0, drains do not wait for unreachable instances. See State.DrainComplete.
	UnreachableMemberTimeout Micros `json:"unheard,omitempty"`
}

// DailyWindow is a part of each day, in microseconds since midnight UTC. A window whose end is before its start spans
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

// Validate returns an error that describes the first invalid rule, or nil if there is none.
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
		inRange := fraction.value >= 0 && fraction.value <= 1 // false if the value is NaN
		if !inRange {
			return fmt.Errorf("rules: %s = %v is not a fraction from 0 to 1", fraction.name, fraction.value)
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
			return fmt.Errorf("rules: %s = %d us must be from 0 to %d us (30 days)", duration.name, duration.value, maxDuration)
		}
	}
	if r.MinAvailableReplicas < 0 {
		return fmt.Errorf("rules: keep_sound = %d is negative", r.MinAvailableReplicas)
	}
	for _, window := range r.ClosedWindows {
		if !window.isValid() {
			return fmt.Errorf("rules: closed window from %d to %d us is empty or not within a day", window.Start, window.End)
		}
	}
	if _, ok := r.nextOpenTime(0); !ok {
		return fmt.Errorf("rules: the closed windows cover the whole day")
	}
	return nil
}

// requiredReplicas returns MinAvailableReplicas, or 1 if that is lower.
func (r Rules) requiredReplicas() int { return max(1, r.MinAvailableReplicas) }

// nextOpenTime returns the first time, at or after the given one, that is in no closed window. It returns false if
// there is none.
func (r Rules) nextOpenTime(at Micros) (Micros, bool) {
	// Each iteration advances to the end of a window. If there are more iterations than windows, one of the ends is
	// reached for the second time, at least a day later: the windows cover the whole day.
	for range 2*len(r.ClosedWindows) + 2 {
		i := slices.IndexFunc(r.ClosedWindows, func(window DailyWindow) bool { return window.contains(at) })
		if i < 0 {
			return at, true
		}
		at += ((r.ClosedWindows[i].End-at%day)+day-1)%day + 1 // by more than 0 and at most a day
	}
	return 0, false
}

// Rule is the name of a rule, as operators see it. It is empty if the cause is not a rule, such as an unknown machine.
type Rule string

// The rules.
const (
	RuleReplicas       Rule = "replicas"    // Rules.MinAvailableReplicas
	RuleStores         Rule = "most_stores" // Rules.MaxUnavailableStoreFraction
	RuleWeight         Rule = "most_weight" // Rules.MaxUnavailableWeightFraction
	RuleZone           Rule = "most_zone"   // Rules.MaxUnavailableZoneFraction
	RuleMembers        Rule = "most_fleet"  // Rules.MaxUnavailableMemberFraction
	RuleLoad           Rule = "room"        // Rules.MaxLoad
	RuleSpacing        Rule = "spacing"     // Rules.DrainSpacing
	RuleTimeWindow     Rule = "closed"      // Rules.ClosedWindows and the time window of the request
	RuleVoters         Rule = "voters"      // a majority of the voters must be available
	RuleExclusionGroup Rule = "pair"        // Machine.ExclusionGroup
	RuleFreeze         Rule = "held"        // State.Freeze
)

// RuleViolation is the rule that forbids a drain, and the reason.
type RuleViolation struct {
	Rule   Rule   `json:"rule"`
	Reason string `json:"why"`
}

// String returns the rule and the reason.
func (v RuleViolation) String() string { return string(v.Rule) + ": " + v.Reason }

func violationf(rule Rule, format string, args ...any) *RuleViolation {
	return &RuleViolation{Rule: rule, Reason: fmt.Sprintf(format, args...)}
}
