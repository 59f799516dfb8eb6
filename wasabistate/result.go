package wasabistate

import (
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// AppliedResult is the result of an accepted apply, drain or undrain.
type AppliedResult struct {
	// Revision is the one that the command made, or the latest one when
	// Changed is false.
	Revision uint64
	// Changed is false for a drain or undrain that was in force already.
	Changed bool
	// Repeated is true when the command had been accepted before.
	Repeated bool
}

// ConflictResult is the result of an apply whose expected revision is not the
// latest one.
type ConflictResult struct {
	Expected uint64
	Latest   uint64
	// Winner is the operator who made the latest revision.
	Winner    string
	WonUnixMs int64
	Repeated  bool
}

// Message returns the schema's error detail.
func (r ConflictResult) Message() *wasabistandv1.Conflict {
	return &wasabistandv1.Conflict{ExpectedRevision: r.Expected, LatestRevision: r.Latest, Winner: r.Winner, WonUnixMs: r.WonUnixMs}
}

// RefusedResult is the result of a command that the state does not allow. It
// is remembered like an accepted one.
type RefusedResult struct {
	Reason   string
	Repeated bool
}

// TooOldResult is the result of a command that may have been forgotten. It
// was not run.
type TooOldResult struct {
	IssuedUnixMs int64
	// AfterUnixMs is the time after which commands must have been issued.
	AfterUnixMs int64
}

// ReusedResult is the result of a command whose identity was used for another
// one. It was not run.
type ReusedResult struct {
	ID string
}

// InvalidResult is the result of a malformed command. It changed nothing and
// is not remembered.
type InvalidResult struct {
	Err error
}

// AdoptedResult is the result of AdoptCommand.
type AdoptedResult struct {
	// Revision is the latest one after the command.
	Revision uint64
	// Adopted is false when the revision was not higher.
	Adopted bool
}

// LimitsResult is the result of LimitsCommand.
type LimitsResult struct {
	Limits Limits
}

// TickResult is the result of a command without a kind, which only moves the
// time on.
type TickResult struct{}

// ClaimResult is the result of ClaimTake and ClaimSettle.
type ClaimResult struct {
	// ID is that of the request in a batch.
	ID    uint64
	State wasabistandv1.ClaimResponse_State
	// Answer is set for STATE_ANSWERED.
	Answer *wasabistandv1.RecordedAnswer
	// Reason says why, for STATE_REFUSED.
	Reason string
}

// Message returns the schema's response.
func (r ClaimResult) Message() *wasabistandv1.ClaimResponse {
	return &wasabistandv1.ClaimResponse{Id: r.ID, State: r.State, Answer: r.Answer}
}

// BatchResult is the result of ClaimBatch, in the order of its requests.
type BatchResult struct {
	Results []ClaimResult
}
