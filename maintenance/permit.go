package maintenance

// Step is the progress of a permit.
type Step string

// The steps. The machine counts as out from Draining to WarmingUp.
const (
	Requested     Step = "asked"     // waits to be drained
	Draining      Step = "draining"  // its stores receive no new requests and finish those in flight
	Drained       Step = "empty"     // no request is in flight at its stores and none will be sent: it may be touched
	InMaintenance Step = "out"       // the work is in progress
	Returning     Step = "returning" // the work is reported finished, but not all stores are in service yet
	WarmingUp     Step = "warming"   // all stores are in service, with reduced load
	Completed     Step = "done"
	Cancelled     Step = "cancelled" // withdrawn before the machine was touched
	Expired       Step = "expired"   // not drained before the end of its time window
)

// allowedTransitions are the steps that may follow each step.
var allowedTransitions = map[Step][]Step{
	Requested:     {Draining, Cancelled, Expired},
	Draining:      {Drained, Cancelled, Requested}, // Requested: recalled, it waits again
	Drained:       {InMaintenance, Cancelled},
	InMaintenance: {Returning},
	Returning:     {WarmingUp, InMaintenance},
	WarmingUp:     {Completed, Returning},
}

// isUnavailable reports whether the machine of a permit counts as out.
func (s Step) isUnavailable() bool {
	return s == Draining || s == Drained || s == InMaintenance || s == Returning || s == WarmingUp
}

// isFinal reports whether a permit has ended.
func (s Step) isFinal() bool { return s == Completed || s == Cancelled || s == Expired }

// Permit is the maintenance of one machine.
type Permit struct {
	// Request is the name of the request; with the machine it identifies the permit.
	Request     string `json:"request"`
	Machine     string `json:"machine"`
	RequestedBy string `json:"by"`
	Reason      string `json:"reason"`
	// Urgency orders permits: higher ones are drained first.
	Urgency int `json:"urgency,omitempty"`
	// WorkDuration is how long the work on the machine takes.
	WorkDuration Micros `json:"need"`
	// NotBefore is the earliest start of the drain; 0 is no limit.
	NotBefore Micros `json:"after,omitempty"`
	// NotAfter is the latest start of the drain; 0 is no limit.
	NotAfter    Micros `json:"until,omitempty"`
	RequestedAt Micros `json:"at"`
	Step        Step   `json:"step"`
	// StepReachedAt is when the permit reached its step.
	StepReachedAt Micros `json:"since"`
	// DrainStartedAt is when its last drain started; 0 is never.
	DrainStartedAt Micros `json:"drained,omitempty"`
	// OverrideReason is why an operator had the machine drained regardless of the rules; empty if by the rules.
	OverrideReason string `json:"override,omitempty"`
	// StepReason explains the last transition if it was not the ordinary one.
	StepReason string `json:"why,omitempty"`
}

// dueAt returns when a machine in maintenance is expected back.
func (p Permit) dueAt() Micros { return p.StepReachedAt + p.WorkDuration }

// IsOverdue reports whether a machine in maintenance is not back in time. It still counts as out; operators are alerted.
func (p Permit) IsOverdue(now Micros) bool { return p.Step == InMaintenance && now > p.dueAt() }

// isExpiredAt reports whether the latest start of the drain has passed.
func (p Permit) isExpiredAt(now Micros) bool { return p.NotAfter > 0 && now > p.NotAfter }

// transition returns a transition of the permit from its step.
func (p Permit) transition(to Step, reason string) Transition {
	return Transition{Request: p.Request, Machine: p.Machine, From: p.Step, To: to, Reason: reason}
}
