package wasabicontrol

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Errors of rejected commands.
var (
	errConflict = Error.New("the expected revision is not the latest")
	errTooOld   = Error.New("the command identity is older than what is remembered")
	errNotFound = Error.New("not found")
)

// conflictError is returned to a command that lost a race. The detail identifies
// the revision that won.
type conflictError struct{ detail *wasabistandv1.Conflict }

func (e *conflictError) Error() string {
	return errConflict.Error() + ": see the detail for the revision that won"
}
func (e *conflictError) Unwrap() error { return errConflict }

// codeOf maps an error to a code of the schema. No other function does this
// mapping.
func codeOf(err error) connect.Code {
	var typed *connect.Error
	switch {
	case errors.As(err, &typed):
		return typed.Code()
	case errors.Is(err, errConflict):
		return connect.CodeAborted
	case errors.Is(err, errTooOld):
		return connect.CodeFailedPrecondition
	case errors.Is(err, errNotFound):
		return connect.CodeNotFound
	case wasabistand.ErrInvalid.Has(err):
		return connect.CodeInvalidArgument
	case wasabistand.ErrUnknownOutcome.Has(err), wasabistand.ErrNotLeader.Has(err), wasabistand.ErrNotConfirmed.Has(err),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return connect.CodeUnavailable
	default:
		return connect.CodeInternal
	}
}

// toConnect converts an error to the one that the API returns to an operator.
func toConnect(err error) *connect.Error {
	var typed *connect.Error
	if errors.As(err, &typed) {
		return typed
	}
	out := connect.NewError(codeOf(err), err)
	var c *conflictError
	if errors.As(err, &c) {
		if d, derr := connect.NewErrorDetail(c.detail); derr == nil {
			out.AddDetail(d)
		}
	}
	return out
}

// toForwardResponse encodes an error in the response to another control instance.
func toForwardResponse(err error) *wasabistandv1.ForwardResponse {
	r := &wasabistandv1.ForwardResponse{
		Code: codeOf(err).String(), Message: err.Error(),
		NotLeader: wasabistand.ErrNotLeader.Has(err), OutcomeUnknown: wasabistand.ErrUnknownOutcome.Has(err),
	}
	var c *conflictError
	if errors.As(err, &c) {
		r.Conflict = c.detail
	}
	return r
}

// fromForwardResponse returns the error in the response of another control
// instance, nil for success.
func fromForwardResponse(r *wasabistandv1.ForwardResponse) error {
	if r.GetCode() == "" {
		return nil
	}
	switch c := r.GetConflict(); {
	case c != nil:
		return &conflictError{detail: c}
	case r.GetOutcomeUnknown():
		return wasabistand.ErrUnknownOutcome.New("%s", r.GetMessage())
	case r.GetNotLeader():
		return wasabistand.ErrNotLeader.New("%s", r.GetMessage())
	}
	var code connect.Code
	if code.UnmarshalText([]byte(r.GetCode())) != nil {
		code = connect.CodeInternal
	}
	return connect.NewError(code, errors.New(r.GetMessage()))
}
