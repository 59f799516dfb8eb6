package wasabistate

import (
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// AppliedResult is the result of an accepted apply, drain or undrain.
type AppliedResult struct {
	// Revision is the revision that the command created, or the latest one if
	// Changed is false.
	Revision uint64
	// Changed is false for a drain or undrain that was already in effect.
	Changed bool
	// Repeated is true if the command is a retry of an accepted one.
	Repeated bool
}

// ConflictResult is the result of an apply whose expected revision is not the
// latest one.
type ConflictResult struct {
	Expected uint64
	Latest   uint64
	// Winner is the operator who created the latest revision.
	Winner    string
	WonUnixMs int64
	Repeated  bool
}

// Message returns the conflict as a protocol message.
func (r ConflictResult) Message() *wasabistandv1.Conflict {
	return &wasabistandv1.Conflict{ExpectedRevision: r.Expected, LatestRevision: r.Latest, Winner: r.Winner, WonUnixMs: r.WonUnixMs}
}

// RefusedResult is the result of a command that the current state does not
// allow. It is recorded like the result of an accepted command, except for an
// AdoptCommand and for an apply with a revision number chosen by the operator.
type RefusedResult struct {
	Reason   string
	Repeated bool
}

// TooOldResult is the result of a command whose record may have been evicted.
// The command was not run.
type TooOldResult struct {
	IssuedUnixMs int64
	// AfterUnixMs is the time after which commands must have been issued.
	AfterUnixMs int64
}

// ReusedResult is the result of a command whose identity was used for a
// different command. The command was not run.
type ReusedResult struct {
	ID string
}

// InvalidResult is the result of a malformed command. The command changed
// nothing and is not recorded.
type InvalidResult struct {
	Err error
}

// AdoptedResult is the result of AdoptCommand, which installs a revision of the
// root group.
type AdoptedResult struct {
	// Revision is the latest revision after the command.
	Revision uint64
	// Adopted is false if the revision was not higher than the latest one.
	Adopted bool
}

// LimitsResult is the result of LimitsCommand.
type LimitsResult struct {
	Limits Limits
}

// TickResult is the result of a command without a kind, which only advances the
// time.
type TickResult struct{}

// ClaimResult is the result of ClaimTake and ClaimSettle.
type ClaimResult struct {
	// ID is the ID of the request in a batch.
	ID    uint64
	State wasabistandv1.ClaimResponse_State
	// Answer is set for STATE_ANSWERED.
	Answer *wasabistandv1.RecordedAnswer
	// Reason is set for STATE_REFUSED.
	Reason string
}

// Message returns the result as a protocol message, without Reason.
func (r ClaimResult) Message() *wasabistandv1.ClaimResponse {
	return &wasabistandv1.ClaimResponse{Id: r.ID, State: r.State, Answer: r.Answer}
}

// BatchResult is the result of ClaimBatch. Results has the order of the
// requests.
type BatchResult struct {
	Results []ClaimResult
}
