package platformsettings

import (
	"fmt"

	"alderproxy/policy"
)

// idempotencyByEffect maps the values of the platform's setting effect.
var idempotencyByEffect = map[string]policy.Idempotency{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.IdempotentByKey,
	"non_idempotent":  policy.NonIdempotent,
}

// Settings returns the settings of package policy. A missing setting has its zero value, except that MinCoverage and
// RequiredCoverage are 1 then, and that a class must have an effect. The error names the first setting that is invalid.
func (v *Values) Settings() (policy.Settings, error) {
	s := policy.Settings{
		InstanceIndex:                 v.integer("my_number"),
		InstanceCount:                 v.integer("fleet_size"),
		Tick:                          v.Micros("tick_us"),
		OverQuotaWeight:               v.number("over_share_worth"),
		Zone:                          v.integer("locality"),
		Shards:                        v.integer("family_info.slices"),
		RingSize:                      v.integer("family_info.cells"),
		ReplicationFactor:             v.integer("family_info.reach"),
		MaxBatchSize:                  v.integer("family_info.batch"),
		BatchOverhead:                 v.Micros("family_info.per_call_work_us"),
		ServersCacheKeys:              v.Flag("family_info.warm_keys"),
		MaxAttempts:                   v.integer("permissions.max_attempts"),
		MaxOpen:                       v.integer("permissions.max_open"),
		AllowHedging:                  v.Flag("permissions.second_copies"),
		AllowCancel:                   v.Flag("permissions.cancel"),
		AllowHealthChecks:             v.Flag("permissions.probes"),
		SendRetryAfter:                v.Flag("permissions.retry_after"),
		MaxRetryAfter:                 v.Micros("permissions.max_retry_after_us"),
		LoadReportsOnHealthChecksOnly: v.texts["feedback.how"] == "on_probe",
		PollEndpoints:                 v.texts["discovery"] == "subscribe",
		MaxPollInterval:               v.Micros("guarantees.ask_within_us"),
		AnswerSlack:                   v.Micros("guarantees.answer_slack_us"),
		DrainGrace:                    v.Micros("guarantees.drain_grace_us"),
		SlowStartFraction:             v.number("guarantees.cold_share"),
		SlowStartDuration:             v.Micros("guarantees.cold_us"),
		OverloadFactor:                v.number("guarantees.fall_multiple"),
		OverloadDuration:              v.Micros("guarantees.overload_for_us"),
		RetryBudgetMinimum:            v.number("guarantees.budget_free"),
		RetryBudgetRatio:              v.number("guarantees.further_ratio"),
		CrossZonePrice:                v.number("penalties.cross_zone"),
		HealthCheckPrice:              v.number("penalties.probe"),
	}
	_, hasMinimum := v.texts["guarantees.budget_free"]
	_, hasRatio := v.texts["guarantees.further_ratio"]
	if hasMinimum || hasRatio {
		s.RetryBudgetWindow = v.Micros("guarantees.budget_span_us")
	}
	for i := range v.count("grades.count") {
		s.Classes = append(s.Classes, v.class(i))
	}
	for i := range v.count("realms.count") {
		s.Tenants = append(s.Tenants, v.tenant(i))
	}
	return s, v.err
}

func (v *Values) class(index int) policy.Class {
	prefix := fmt.Sprintf("grades.%d.", index)
	idempotency, known := idempotencyByEffect[v.texts[prefix+"effect"]]
	if !known {
		v.fail(prefix+"effect", errUnknownIdempotency)
	}
	return policy.Class{
		Name:                v.texts[prefix+"name"],
		LatencyObjective:    v.Micros(prefix + "promise_us"),
		Timeout:             v.Micros(prefix + "give_up_us"),
		PriorityWeight:      v.number(prefix + "gain"),
		LateWeight:          v.number(prefix + "late_worth"),
		Idempotency:         idempotency,
		DeduplicationWindow: v.Micros(prefix + "window_us"),
		MinCoverage:         v.listNumber("family_info.least_share", index, 1),
		RequiredCoverage:    v.listNumber("family_info.need_by_class", index, 1),
		PartialWeight:       v.listNumber("family_info.partial_earns", index, 0),
		MaxFetchParts:       int(v.listNumber("family_info.fetch_parts", index, 0)),
	}
}

func (v *Values) tenant(index int) policy.Tenant {
	prefix := fmt.Sprintf("realms.%d.", index)
	return policy.Tenant{Name: v.texts[prefix+"name"], QueriesPerSecond: v.number(prefix + "allowance_per_s")}
}
