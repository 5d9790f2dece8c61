package maintenance

import "fmt"

// Entry is an entry of the replicated log. Exactly one field other than At is set.
type Entry struct {
	// At is the time of the proposer.
	At     Micros  `json:"at"`
	Layout *Layout `json:"layout,omitempty"`
	Rules  *Rules  `json:"rules,omitempty"`
	// Load is the fraction of the weight of all stores that is in use.
	Load         *float64      `json:"load,omitempty"`
	Request      *Request      `json:"ask,omitempty"`
	Transition   *Transition   `json:"move,omitempty"`
	HealthChange *HealthChange `json:"sound,omitempty"`
	Freeze       *Freeze       `json:"hold,omitempty"`
}

// Request requests the maintenance of machines. See Permit for its fields.
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

// Transition takes a permit to another step. It has no effect if the permit is not at From, so that duplicate and late
// transitions are harmless.
type Transition struct {
	Request string `json:"request"`
	Machine string `json:"machine"`
	From    Step   `json:"from"`
	To      Step   `json:"to"`
	Reason  string `json:"why,omitempty"`
	// OverrideReason is why an operator has the machine drained regardless of the rules; empty is by the rules.
	OverrideReason string `json:"override,omitempty"`
}

// HealthChange reports that a machine without a permit is out of service or back: it crashed, was lost with its zone or
// was drained by others.
type HealthChange struct {
	Machine string `json:"machine"`
	Healthy bool   `json:"sound"`
	Reason  string `json:"why,omitempty"`
}

// Freeze suspends the start of drains while it is active.
type Freeze struct {
	Active      bool   `json:"on"`
	RequestedBy string `json:"by"`
	Reason      string `json:"why,omitempty"`
}

// Outcome is the result of an entry.
type Outcome struct {
	// Applied means that the entry was applied, now or before.
	Applied bool `json:"done"`
	// Rule is the rule by which the entry was rejected; empty if no rule is the cause.
	Rule Rule `json:"rule,omitempty"`
	// Reason explains the rejection; empty if the entry was applied.
	Reason string `json:"why,omitempty"`
}

func applied() Outcome { return Outcome{Applied: true} }

func rejectedf(format string, args ...any) Outcome {
	return Outcome{Reason: fmt.Sprintf(format, args...)}
}
