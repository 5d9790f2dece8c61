package maintenance

import "fmt"

// Entry is an entry of the replicated log. Exactly one field other than At is set.
type Entry struct {
	// At is the time of the proposal by the proposer's clock.
	At     Micros  `json:"at"`
	Layout *Layout `json:"layout,omitempty"`
	Rules  *Rules  `json:"rules,omitempty"`
	// Load is the fraction of the total store weight that is in use.
	Load         *float64      `json:"load,omitempty"`
	Request      *Request      `json:"ask,omitempty"`
	Transition   *Transition   `json:"move,omitempty"`
	HealthChange *HealthChange `json:"sound,omitempty"`
	Freeze       *Freeze       `json:"hold,omitempty"`
}

// Request requests the maintenance of machines. Permit describes the fields.
type Request struct {
	Name         string   `json:"request"`
	Machines     []string `json:"machines"`
	RequestedBy  string   `json:"by"`
	Reason       string   `json:"reason"`
	Urgency      int      `json:"urgency,omitempty"`
	WorkDuration Micros   `json:"need"`
	NotBefore    Micros   `json:"after,omitempty"`
	NotAfter     Micros   `json:"until,omitempty"`
}

// Transition moves a permit to another step. It has no effect if the permit is not at step From, so duplicate and late
// transitions are harmless.
type Transition struct {
	RequestName string `json:"request"`
	Machine     string `json:"machine"`
	From        Step   `json:"from"`
	To          Step   `json:"to"`
	Reason      string `json:"why,omitempty"`
	// OverrideReason is the reason for which an operator starts the drain regardless of the rules; empty if the rules
	// apply.
	OverrideReason string `json:"override,omitempty"`
}

// HealthChange reports that a machine became unavailable for a reason other than its permit (it crashed, was lost with
// its zone or was drained by others), or that it is available again.
type HealthChange struct {
	Machine string `json:"machine"`
	Healthy bool   `json:"sound"`
	Reason  string `json:"why,omitempty"`
}

// Freeze suspends the start of drains while it is active. Drains that override the rules still start.
type Freeze struct {
	Active      bool   `json:"on"`
	RequestedBy string `json:"by"`
	Reason      string `json:"why,omitempty"`
}

// Outcome is the result of applying an entry.
type Outcome struct {
	// Applied is true if the entry was applied, now or earlier.
	Applied bool `json:"done"`
	// Rule is the rule that rejected the entry; empty if the entry was applied or was rejected for another reason.
	Rule Rule `json:"rule,omitempty"`
	// Reason describes why the entry was rejected; empty if it was applied.
	Reason string `json:"why,omitempty"`
}

func applied() Outcome { return Outcome{Applied: true} }

func rejectedf(format string, args ...any) Outcome {
	return Outcome{Reason: fmt.Sprintf(format, args...)}
}
