// Package wasabisession is a node's side of control: one session with a
// control instance, through which the node announces itself and learns the
// configuration and the instances of the services it calls, and claims for
// non-idempotent calls. It decides which control instance to use. It does not
// decide who may run a call; the caller's home group does.
package wasabisession

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("session")

// Options are the settings of a session: an immutable value.
type Options struct {
	controls      []string
	renewEvery    time.Duration
	lease         time.Duration
	answerTimeout time.Duration
	spread        time.Duration
	dialPause     time.Duration
	backoff       time.Duration
	maxBackoff    time.Duration
	claimTimeout  time.Duration
	settleTimeout time.Duration
	closeTimeout  time.Duration
	maxInterests  int
	maxSettles    int
	maxSettleSize int64
}

// NewOptions returns the default settings with the addresses of control
// instances to start from.
func NewOptions(controls ...string) Options {
	return Options{
		controls:   controls,
		renewEvery: time.Second,
		lease:      3 * time.Second,
		// Control confirms with a quorum before its first answer, which takes
		// two round trips between regions and at most one election.
		answerTimeout: 2 * time.Second,
		// All sessions of a lost control instance come back within this time.
		// It leaves room to find the loss and to announce again within a lease.
		spread: 500 * time.Millisecond,
		// Several round trips between regions.
		dialPause:  250 * time.Millisecond,
		backoff:    250 * time.Millisecond,
		maxBackoff: 5 * time.Second,
		// A call waits no longer than this for its claim.
		claimTimeout: 250 * time.Millisecond,
		// Calls of longer patience are settled until their claims read as
		// unknown, up to a minute.
		settleTimeout: 10 * time.Second,
		closeTimeout:  5 * time.Second,
		maxInterests:  1024,
		maxSettles:    4096,
		maxSettleSize: 32 << 20,
	}
}

// WithRenewal returns a copy that renews the lease every interval and moves to
// another control instance after lease without an acknowledgement.
func (o Options) WithRenewal(interval, lease time.Duration) Options {
	o.renewEvery, o.lease = interval, lease
	return o
}

// WithBackoff returns a copy that waits a random time of up to spread before
// each attempt, and leaves a control instance that failed alone for at least
// half of first, doubling up to most.
func (o Options) WithBackoff(spread, first, most time.Duration) Options {
	o.spread, o.backoff, o.maxBackoff = spread, first, most
	return o
}

// WithAnswerTimeout returns a copy that waits at most d for the first
// configuration of a session.
func (o Options) WithAnswerTimeout(d time.Duration) Options {
	o.answerTimeout = d
	return o
}

// WithClaims returns a copy that bounds the wait for a claim and sets the least
// time for which a settlement is retried.
func (o Options) WithClaims(claim, settle time.Duration) Options {
	o.claimTimeout, o.settleTimeout = claim, settle
	return o
}

// WithMaxSettles returns a copy that keeps at most count settlements, with
// answers of at most size bytes together, that are not yet recorded.
func (o Options) WithMaxSettles(count int, size int64) Options {
	o.maxSettles, o.maxSettleSize = count, size
	return o
}

// WithCloseTimeout returns a copy that waits at most d for settlements when
// the session closes.
func (o Options) WithCloseTimeout(d time.Duration) Options {
	o.closeTimeout = d
	return o
}
