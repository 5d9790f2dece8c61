package maintenance

import "fmt"

// Entry is an entry of the replicated log. One field other than At is set. If several are set, only the first of them
// in the order of the fields is applied; if none is set, the entry changes only the time.
type Entry struct {
	// At is the time of the proposal by the proposer's clock.
	At     Micros  `json:"at"`
	Layout *Layout `json:"layout,omitempty"`
	Rules  *Rules  `json:"rules,omitempty"`
	// Load is the load of all stores as a ratio of the total store weight; it exceeds 1 under overload.
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

// Transition moves a permit from one step to another. It has no effect if the permit is already at step To, and is
// rejected if the permit is at another step than From. A late transition still applies if the permit has returned to
// step From in the meantime.
type Transition struct {
	RequestName string `json:"request"`
	Machine     string `json:"machine"`
	From        Step   `json:"from"`
	To          Step   `json:"to"`
	Reason      string `json:"why,omitempty"`
	// OverrideReason is the reason for which an operator starts the drain without any check of the rules, the freeze,
	// the time window and the layout; empty if these are checked. It is evaluated only if To is Draining.
	OverrideReason string `json:"override,omitempty"`
}

// HealthChange reports that a machine became unavailable for a reason other than its permit (it crashed, was lost with
// its zone or was drained by others), or that it is available again.
type HealthChange struct {
	Machine string `json:"machine"`
	Healthy bool   `json:"sound"`
	// Reason is the reason for which the machine is unavailable. If it is empty, the rules count the machine as
	// unavailable, but the check after its maintenance and the returns that State.Plan predicts treat it as healthy.
	Reason string `json:"why,omitempty"`
}

// Freeze suspends the start of drains while it is active. Drains that override the rules still start.
type Freeze struct {
	Active      bool   `json:"on"`
	RequestedBy string `json:"by"`
	Reason      string `json:"why,omitempty"`
}

// Outcome is the result of applying an entry.
type Outcome struct {
	// Applied is true if the entry was applied, or has no effect because it repeats an earlier one.
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
