package wasabistand

import "time"

// Claim is a node's request to run a non-idempotent call.
type Claim struct {
	Caller  string
	Service string
	Key     string
	// Home is the region whose group holds the claim.
	Home string
	// Call is unique within the node's incarnation.
	Call uint64
	// Fingerprint is the SHA-256 of the request.
	Fingerprint [32]byte
	// Expires is when the claim must no longer be granted.
	Expires time.Time
	// Deadline is when the call's patience ends.
	Deadline time.Time
}

// ClaimStatus says who may run a claimed call.
type ClaimStatus uint8

// The statuses.
const (
	// ClaimGranted means that this call, and no other, may be dispatched.
	ClaimGranted ClaimStatus = iota + 1
	// ClaimHeld means that another call holds the key and has not ended.
	ClaimHeld
	// ClaimAnswered means that the call ran and its answer is known.
	ClaimAnswered
	// ClaimUnknown means that the call may have run and nobody can tell.
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

// ClaimState is the answer to a Claim.
type ClaimState struct {
	Status ClaimStatus
	// Answer is set for ClaimAnswered.
	Answer *RecordedAnswer
}

// RecordedAnswer is the whole answer of a claimed call.
type RecordedAnswer struct {
	Status  int
	Headers []HeaderField
	Body    []byte
	// BodyOmitted says that the body was too large to keep.
	BodyOmitted bool
}

// HeaderField is one header line.
type HeaderField struct {
	Name  string
	Value string
}

// Settlement is what became of a granted call.
type Settlement struct {
	Outcome Outcome
	// Answer is set when Outcome is Answered.
	Answer *RecordedAnswer
}
