package wasabistand

import "github.com/zeebo/errs"

// Error classes shared by several parts. Each part wraps its own errors in a
// class of its own below these.
var (
	// ErrNotLeader means that the command certainly was not accepted here.
	ErrNotLeader = errs.Class("not leader")
	// ErrUnknownOutcome means that the command may still be accepted.
	ErrUnknownOutcome = errs.Class("outcome unknown")
	// ErrNotConfirmed means that no quorum confirmed the state.
	ErrNotConfirmed = errs.Class("not confirmed")
	// ErrInvalid means that a value from outside is not allowed.
	ErrInvalid = errs.Class("invalid")
)
