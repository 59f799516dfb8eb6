package wasabistand

import (
	"fmt"
	"time"
)

// Importance orders calls under overload: a call is refused for load only
// after all calls of lower importance have been.
type Importance uint8

// The importances, least first.
const (
	Low Importance = iota + 1
	Normal
	High
	Critical
)

// Importances is how many importances there are.
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

// ParseImportance reads a name as String writes it.
func ParseImportance(s string) (Importance, error) {
	for i := Low; i <= Critical; i++ {
		if importanceNames[i] == s {
			return i, nil
		}
	}
	return 0, fmt.Errorf("importance %q: allowed are Low, Normal, High, Critical", s)
}

// Outcome says what is known of a call. The three are never confused.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that the call may have run. It is the zero value, so that
	// nothing counts as certain by omission.
	Unknown Outcome = iota
	// Answered means that a whole answer arrived.
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

// CallKind names a call of a service as the configuration declares it.
type CallKind struct {
	Service string
	Call    string
}

// String returns service/call.
func (k CallKind) String() string { return k.Service + "/" + k.Call }

// TicketID names a call at one node, unique within the node's incarnation.
type TicketID uint64

// Ticket is a call as admission sees it.
type Ticket struct {
	ID         TicketID
	Caller     string
	Importance Importance
	// Deadline is when the caller's patience ends.
	Deadline time.Time
	// Cancellable says that the call may be cancelled while it runs.
	Cancellable bool
}

// Verdict is what admission decides of a call.
type Verdict uint8

// The verdicts.
const (
	// Admit means: run now.
	Admit Verdict = iota + 1
	// Refuse means: certainly not run.
	Refuse
	// Preempt means: cancel the running call to free its slot.
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
	// RetryAfter says when the call may be sent again, for Refuse.
	RetryAfter time.Duration
}

// Load is what an upstream's admission tells others.
type Load struct {
	// Level is the lowest importance that is not refused outright.
	Level Importance
	// LevelBelow is the same for the services needed further down.
	LevelBelow Importance
	Running    int
	Waiting    int
	Limit      int
	Leaving    bool
	// Service is the mean time of a call in the upstream lately, 0 when
	// unknown.
	Service time.Duration
}

// Sample is one finished call as a limiter sees it.
type Sample struct {
	Started time.Time
	// Own is the time spent in the upstream, without its outgoing calls.
	Own time.Duration
	// Running is how many calls ran when this one started, itself included.
	Running int
	// Failed says that the upstream failed or shed the call.
	Failed bool
}
