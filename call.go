package wasabistand

import (
	"fmt"
	"time"
)

// Importance ranks calls under overload: a call is refused for load only after
// all calls of lower importance.
type Importance uint8

// The importances, lowest first.
const (
	Low Importance = iota + 1
	Normal
	High
	Critical
)

// Importances is the number of importances.
const Importances = int(Critical)

var importanceNames = [...]string{"Unset", "Low", "Normal", "High", "Critical"}

// String returns the name used in configurations.
func (i Importance) String() string {
	if int(i) < len(importanceNames) {
		return importanceNames[i]
	}
	return fmt.Sprintf("Importance(%d)", uint8(i))
}

// Valid reports whether i is one of the four importances.
func (i Importance) Valid() bool {
	return i >= Low && i <= Critical
}

// ParseImportance parses a name returned by String.
func ParseImportance(s string) (Importance, error) {
	for i := Low; i <= Critical; i++ {
		if importanceNames[i] == s {
			return i, nil
		}
	}
	return 0, fmt.Errorf("importance %q: allowed are Low, Normal, High, Critical", s)
}

// Outcome reports whether a call was executed. The three values must never be
// conflated.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that the call may have run. It is the zero value, so that
	// an unset outcome is never taken as certain.
	Unknown Outcome = iota
	// Answered means that a complete response was received.
	Answered
	// NotRun means that the call certainly did not run.
	NotRun
)

// String returns the name used in the Wasabi-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// CallKind identifies a call of a service that the configuration declares.
type CallKind struct {
	Service string
	Call    string
}

// String returns service/call.
func (k CallKind) String() string { return k.Service + "/" + k.Call }

// TicketID identifies a call at one node, unique within the node's
// incarnation.
type TicketID uint64

// Ticket describes a call that is offered to an Admission.
type Ticket struct {
	ID         TicketID
	Caller     string
	Importance Importance
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Cancellable reports whether the call may be cancelled while it runs.
	Cancellable bool
}

// Verdict is an admission decision about a call.
type Verdict uint8

// The verdicts.
const (
	// Admit means that the call runs now.
	Admit Verdict = iota + 1
	// Refuse means that the call certainly does not run.
	Refuse
	// Preempt means that the running call must be cancelled to free its slot.
	Preempt
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Refuse:
		return "refuse"
	case Preempt:
		return "preempt"
	default:
		return "none"
	}
}

// Decision is a verdict about one call.
type Decision struct {
	ID      TicketID
	Verdict Verdict
	// Reason is set for Refuse and Preempt.
	Reason Reason
	// RetryAfter is the time after which the call may be retried, for Refuse.
	RetryAfter time.Duration
}

// Load is the load that the admission of an upstream reports to other nodes.
type Load struct {
	// Level is the admission level: the lowest importance that is not refused
	// outright.
	Level Importance
	// DownstreamLevel is the highest admission level among the downstream
	// services that the call depends on.
	DownstreamLevel Importance
	Running         int
	Waiting         int
	Limit           int
	Leaving         bool
	// ServiceTime is the recent mean service time of the upstream, 0 if unknown.
	ServiceTime time.Duration
}

// Sample describes one finished call to a Limiter.
type Sample struct {
	Started time.Time
	// OwnTime is the time spent in the upstream, without its outgoing calls.
	OwnTime time.Duration
	// Running is the number of running calls when this one started, including
	// itself.
	Running int
	// Failed reports whether the upstream failed or shed the call.
	Failed bool
}
