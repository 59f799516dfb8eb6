// Package wasabistate is the state machine that a group of control instances
// replicates: the configuration with its revisions, the identities of
// operators' commands, drains, and the claims of non-idempotent calls. It
// depends only on committed commands. It does not validate documents, order
// commands or read a clock.
package wasabistate

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("state")

// Limits on commands. They are documented in the schema and are the same on all
// replicas.
const (
	maxDocumentBytes = 1 << 20
	maxCommentBytes  = 1000
	maxNameBytes     = 128
	maxKeyBytes      = 128
	minIdentityBytes = 16
	maxIdentityBytes = 64
	maxBatchRequests = 4096
	// maxBodyBytes limits a recorded body, so that a few large responses do
	// not use up the space for many small ones.
	maxBodyBytes = 64 << 10
	// maxHeaderBytes is the usual limit of HTTP servers for headers.
	maxHeaderBytes = 16 << 10
	// maxClockSkewMillis is how far a sender's clock may run ahead. Without
	// the limit, the eviction of one command issued in the future would make
	// all later commands too old.
	maxClockSkewMillis = int64(time.Minute / time.Millisecond)
	// maxClaimTimeoutMillis limits the remaining time until a claim's deadline,
	// so that no claim stays in the table indefinitely.
	maxClaimTimeoutMillis = int64(24 * time.Hour / time.Millisecond)
	// maxUnixMillis bounds times, so that sums with them do not overflow.
	maxUnixMillis = int64(1) << 50
	// settleGraceMillis is how long after its deadline a claim may be
	// settled before it is reported as unknown.
	settleGraceMillis = int64(5 * time.Second / time.Millisecond)
)

// Limits bound the claim table. They are replicated: LimitsCommand changes
// them.
type Limits struct {
	// ClaimRetention is how long a settled claim is kept.
	ClaimRetention time.Duration
	// ClaimEntries is the maximum number of claims in the table.
	ClaimEntries int
	// AnswerBytes is the maximum total size of the recorded responses.
	AnswerBytes int64
}

func (l Limits) check() error {
	switch {
	case l.ClaimRetention < time.Second || l.ClaimRetention > 7*24*time.Hour:
		return wasabistand.ErrInvalid.New("claim_retention_ms: %d, allowed are 1000 to 604800000", l.ClaimRetention.Milliseconds())
	case l.ClaimEntries < 1 || l.ClaimEntries > 10_000_000:
		return wasabistand.ErrInvalid.New("claim_entries: %d, allowed are 1 to 10000000", l.ClaimEntries)
	case l.AnswerBytes < 0 || l.AnswerBytes > 64<<30:
		return wasabistand.ErrInvalid.New("answer_bytes: %d, allowed are 0 to %d", l.AnswerBytes, int64(64)<<30)
	}
	return nil
}

// Options are the immutable settings of a Machine. All replicas of a group must
// start with the same Options, since they affect the results of commands.
// Limits set by operators are replicated with LimitsCommand instead.
type Options struct {
	limits            Limits
	maxRevisions      int
	maxRevisionBytes  int
	maxCommandRecords int
	commandRecordAge  time.Duration
	maxDrained        int
	faults            faults
}

// faults disables rules of the state machine. Only tests set it, to verify that
// their checks detect the violation.
type faults struct {
	ignoreEvictions bool
	releaseByOthers bool
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		limits:            Limits{ClaimRetention: 24 * time.Hour, ClaimEntries: 500_000, AnswerBytes: 256 << 20},
		maxRevisions:      1000,
		maxRevisionBytes:  16 << 20,
		maxCommandRecords: 10_000,
		commandRecordAge:  24 * time.Hour,
		maxDrained:        10_000,
	}
}

// WithLimits returns a copy that starts with these limits.
func (o Options) WithLimits(l Limits) Options {
	o.limits = l
	return o
}

// WithRevisions returns a copy that keeps at most count revisions and bytes of
// documents. The latest revision is always kept.
func (o Options) WithRevisions(count, bytes int) Options {
	o.maxRevisions, o.maxRevisionBytes = max(count, 1), bytes
	return o
}

// WithCommandRecords returns a copy that keeps the records of at most count
// commands, each for at most age.
func (o Options) WithCommandRecords(count int, age time.Duration) Options {
	o.maxCommandRecords, o.commandRecordAge = max(count, 1), age
	return o
}

// WithMaxDrained returns a copy that allows at most count drained instances.
func (o Options) WithMaxDrained(count int) Options {
	o.maxDrained = count
	return o
}
