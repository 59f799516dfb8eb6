package wasabistand

import (
	"fmt"
	"time"
)

// Reason is the reason why a call got no complete response. Its text is a
// stable identifier in events, metrics and problem details.
type Reason string

// The reasons.
const (
	ReasonQueueFull       Reason = "queue-full"
	ReasonDisplaced       Reason = "displaced"
	ReasonLevel           Reason = "level"
	ReasonDownstreamLevel Reason = "level-below"
	ReasonDeadline        Reason = "deadline"
	ReasonPreempted       Reason = "preempted"
	ReasonCallerShare     Reason = "caller-share"
	ReasonNoInstance      Reason = "no-instance"
	ReasonLeaving         Reason = "leaving"
	ReasonNotReady        Reason = "not-ready"
	ReasonUnconfirmed     Reason = "unconfirmed"
	ReasonClaim           Reason = "claim-unavailable"
	ReasonClaimHeld       Reason = "already-running"
	ReasonClaimMismatch   Reason = "key-reused"
	ReasonClaimUnknown    Reason = "claim-outcome-unknown"
	ReasonAlreadyRun      Reason = "already-run"
	ReasonConnect         Reason = "connect"
	ReasonLinkLost        Reason = "link-lost"
	ReasonTruncated       Reason = "answer-cut"
	ReasonTimeout         Reason = "timeout"
	ReasonCancelled       Reason = "cancelled"
	ReasonShed            Reason = "shed-by-upstream"
	ReasonBadRequest      Reason = "bad-request"
	ReasonUnknownCall     Reason = "unknown-call"
	ReasonTooLarge        Reason = "too-large"
)

// Refusal is the error of a call without a complete response.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	// Detail names the field, its value and the allowed values, in
	// human-readable form.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// NewRefusal returns a Refusal of a call that certainly did not run.
func NewRefusal(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: detail}
}

// NewUnknown returns a Refusal of a call that may have run.
func NewUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Detail: detail}
}

// WithRetryAfter returns a copy that allows a retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}
