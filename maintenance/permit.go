package maintenance

// Step is the stage that a permit has reached.
type Step string

// The steps of a permit. The machine counts as unavailable from Draining to WarmingUp.
const (
	Requested     Step = "asked"     // waiting to be drained
	Draining      Step = "draining"  // its stores receive no new requests and finish those in flight
	Drained       Step = "empty"     // no request to its stores is in flight and none will be sent: the work may start
	InMaintenance Step = "out"       // the work is in progress
	Returning     Step = "returning" // the work is reported as finished, but not all stores are in service yet
	WarmingUp     Step = "warming"   // all stores are in service, at reduced load
	Completed     Step = "done"
	Cancelled     Step = "cancelled" // withdrawn before the work started
	Expired       Step = "expired"   // the time window ended while the machine waited to be drained
)

// allowedTransitions maps each step to the steps that may follow it. No step follows a final one.
var allowedTransitions = map[Step][]Step{
	Requested:     {Draining, Cancelled, Expired},
	Draining:      {Drained, Cancelled, Requested}, // Requested after a recall
	Drained:       {InMaintenance, Cancelled},
	InMaintenance: {Returning},
	Returning:     {WarmingUp, InMaintenance}, // InMaintenance if the work is resumed
	WarmingUp:     {Completed, Returning},     // Returning if a store is out of service again
}

// isUnavailable reports whether the machine of a permit at this step counts as unavailable.
func (s Step) isUnavailable() bool {
	return s == Draining || s == Drained || s == InMaintenance || s == Returning || s == WarmingUp
}

// isFinal reports whether a permit at this step has ended.
func (s Step) isFinal() bool { return s == Completed || s == Cancelled || s == Expired }

// Permit records the maintenance of one machine, from its request to its end.
type Permit struct {
	// RequestName is the name of the request. Together with Machine, it identifies the permit.
	RequestName string `json:"request"`
	Machine     string `json:"machine"`
	RequestedBy string `json:"by"`
	Reason      string `json:"reason"`
	// Urgency orders the drains: higher values are drained first.
	Urgency int `json:"urgency,omitempty"`
	// WorkDuration is the expected duration of the work on the machine, without the drain and the warm-up.
	WorkDuration Micros `json:"need"`
	// NotBefore is the earliest time at which the drain may start; 0 if there is none.
	NotBefore Micros `json:"after,omitempty"`
	// NotAfter is the latest time at which the drain may start; 0 if there is none.
	NotAfter    Micros `json:"until,omitempty"`
	RequestedAt Micros `json:"at"`
	Step        Step   `json:"step"`
	// StepReachedAt is the time at which the permit reached its step.
	StepReachedAt Micros `json:"since"`
	// DrainStartedAt is the time at which the latest drain started; 0 if none has.
	DrainStartedAt Micros `json:"drained,omitempty"`
	// OverrideReason is the reason for which an operator started the latest drain without any check of the rules, the
	// freeze, the time window and the layout; empty if these were checked.
	OverrideReason string `json:"override,omitempty"`
	// StepReason explains the last transition; empty if that was the usual one.
	StepReason string `json:"why,omitempty"`
}

// dueAt returns the time at which the work on a machine in maintenance should be finished.
func (p Permit) dueAt() Micros { return p.StepReachedAt + p.WorkDuration }

// IsOverdue reports whether the work on a machine in maintenance takes longer than requested. It is meant for alerts to
// operators: the machine still counts as unavailable, and the permit does not end by itself.
func (p Permit) IsOverdue(now Micros) bool { return p.Step == InMaintenance && now > p.dueAt() }

// isExpiredAt reports whether the latest time at which the drain may start has passed.
func (p Permit) isExpiredAt(now Micros) bool { return p.NotAfter > 0 && now > p.NotAfter }

// transition returns a transition of the permit from its current step.
func (p Permit) transition(to Step, reason string) Transition {
	return Transition{RequestName: p.RequestName, Machine: p.Machine, From: p.Step, To: to, Reason: reason}
}
