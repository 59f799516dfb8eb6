// Package wasabistate is the state machine that a group of control instances
// replicates: the configuration with its revisions, the identities of
// operators' commands, drains, and the claims of non-idempotent calls. It
// decides by committed commands alone. It does not validate documents, order
// commands or read a clock.
package wasabistate

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("state")

// Bounds on commands. They stand in the schema and are the same on all
// replicas.
const (
	maxDocumentBytes = 1 << 20
	maxCommentBytes  = 1000
	maxNameBytes     = 128
	maxKeyBytes      = 128
	minIdentityBytes = 16
	maxIdentityBytes = 64
	maxBatch         = 4096
	// maxBodyBytes bounds a recorded body, so that a table of small answers
	// is not crowded out by a few large ones.
	maxBodyBytes = 64 << 10
	// maxHeaderBytes is the usual bound of HTTP servers on headers.
	maxHeaderBytes = 16 << 10
	// maxAheadMillis is how far a sender's clock may run ahead. Without the
	// bound, one forgotten identity from the future would make all later
	// commands too old.
	maxAheadMillis = int64(time.Minute / time.Millisecond)
	// maxPatienceMillis bounds a claim's deadline, so that no claim stays in
	// the table without end.
	maxPatienceMillis = int64(24 * time.Hour / time.Millisecond)
	// maxUnixMillis bounds times, so that sums with them do not overflow.
	maxUnixMillis = int64(1) << 50
	// settleGraceMillis is how long after its deadline a claim may be
	// settled before others read it as unknown.
	settleGraceMillis = int64(5 * time.Second / time.Millisecond)
)

// Limits bound the claims. They are replicated: LimitsCommand changes them.
type Limits struct {
	// ClaimRetention is how long a settled claim is remembered.
	ClaimRetention time.Duration
	// ClaimEntries bounds the claims held at once.
	ClaimEntries int
	// AnswerBytes bounds the recorded answers in all.
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

// Options are the settings of a machine: an immutable value. All replicas of
// a group must start from the same Options, since these decide results.
// Limits that operators set go through LimitsCommand instead.
type Options struct {
	limits           Limits
	maxRevisions     int
	maxRevisionBytes int
	maxIdentities    int
	identityAge      time.Duration
	maxDrained       int
	faults           faults
}

// faults break rules on purpose. Only tests set them, to show that their
// checks find the break.
type faults struct {
	forgetEarly     bool
	releaseByOthers bool
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		limits:           Limits{ClaimRetention: 24 * time.Hour, ClaimEntries: 500_000, AnswerBytes: 256 << 20},
		maxRevisions:     1000,
		maxRevisionBytes: 16 << 20,
		maxIdentities:    10_000,
		identityAge:      24 * time.Hour,
		maxDrained:       10_000,
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

// WithIdentities returns a copy that remembers at most count commands, for at
// most age.
func (o Options) WithIdentities(count int, age time.Duration) Options {
	o.maxIdentities, o.identityAge = max(count, 1), age
	return o
}

// WithDrained returns a copy that bounds the drained instances.
func (o Options) WithDrained(count int) Options {
	o.maxDrained = count
	return o
}
