package wasabistand

import "time"

// Claim is a node's request to run a non-idempotent call.
type Claim struct {
	Caller  string
	Service string
	Key     string
	// HomeRegion is the region whose control group stores the claim.
	HomeRegion string
	// Call identifies the call, unique within the node's incarnation.
	Call uint64
	// Fingerprint is the SHA-256 of the request.
	Fingerprint [32]byte
	// Expires is the time after which the claim must not be granted.
	Expires time.Time
	// Deadline is the deadline of the call.
	Deadline time.Time
}

// ClaimStatus is the status of a claimed call.
type ClaimStatus uint8

// The statuses.
const (
	// ClaimGranted means that only this call may be dispatched.
	ClaimGranted ClaimStatus = iota + 1
	// ClaimHeld means that another call holds the key and has not ended.
	ClaimHeld
	// ClaimAnswered means that the call ran and its response is recorded.
	ClaimAnswered
	// ClaimUnknown means that the call may have run and its outcome cannot be
	// determined.
	ClaimUnknown
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch
)

// String returns the status's name.
func (s ClaimStatus) String() string {
	switch s {
	case ClaimGranted:
		return "granted"
	case ClaimHeld:
		return "held"
	case ClaimAnswered:
		return "answered"
	case ClaimUnknown:
		return "unknown"
	case ClaimMismatch:
		return "mismatch"
	default:
		return "none"
	}
}

// ClaimState is the result of a Claim.
type ClaimState struct {
	Status ClaimStatus
	// Response is the recorded response, set for ClaimAnswered.
	Response *RecordedResponse
}

// RecordedResponse is the complete response of a claimed call.
type RecordedResponse struct {
	Status  int
	Headers []HeaderField
	Body    []byte
	// BodyOmitted reports whether the body was too large to store.
	BodyOmitted bool
}

// HeaderField is one header field.
type HeaderField struct {
	Name  string
	Value string
}

// Settlement is the final outcome of a granted call.
type Settlement struct {
	Outcome Outcome
	// Response is the response, set when Outcome is Answered.
	Response *RecordedResponse
}
