package wasabistand

import "github.com/zeebo/errs"

// Error classes shared by several packages. Each package wraps its own errors
// in its own class within these.
var (
	// ErrNotLeader means that this member is not the leader and that the
	// command certainly was not committed.
	ErrNotLeader = errs.Class("not leader")
	// ErrUnknownOutcome means that the command may still be committed.
	ErrUnknownOutcome = errs.Class("outcome unknown")
	// ErrNotConfirmed means that no quorum confirmed the state.
	ErrNotConfirmed = errs.Class("not confirmed")
	// ErrInvalid means that an external value is not allowed.
	ErrInvalid = errs.Class("invalid")
)
