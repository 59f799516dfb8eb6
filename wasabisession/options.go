// Package wasabisession is a node's client of the control instances. Through one
// session with a control instance, the node announces itself and receives the
// configuration and the instances of the services it calls. The package also
// takes and settles claims for non-idempotent calls. It selects the control
// instance to use. Whether a call may run is decided by the caller's home group,
// the control group of its home region.
package wasabisession

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("session")

// Options holds the settings of a session. It is immutable.
type Options struct {
	controls           []string
	renewInterval      time.Duration
	lease              time.Duration
	responseTimeout    time.Duration
	reconnectSpread    time.Duration
	dialStagger        time.Duration
	returnDelay        time.Duration
	minBackoff         time.Duration
	maxBackoff         time.Duration
	claimTimeout       time.Duration
	minSettleTimeout   time.Duration
	closeTimeout       time.Duration
	maxSubscriptions   int
	maxSettlements     int
	maxSettlementBytes int64
}

// NewOptions returns the default settings with the initial addresses of control
// instances.
func NewOptions(controls ...string) Options {
	return Options{
		controls:      controls,
		renewInterval: time.Second,
		lease:         3 * time.Second,
		// A control instance confirms with a quorum before its first response,
		// which takes two round trips between regions and at most one election.
		responseTimeout: 2 * time.Second,
		// All sessions of a lost control instance reconnect within this time.
		// It leaves enough time to detect the loss and to announce again within
		// a lease.
		reconnectSpread: 500 * time.Millisecond,
		// Several round trips between regions.
		dialStagger: 250 * time.Millisecond,
		// Long enough for a region to be stable again.
		returnDelay: 5 * time.Second,
		minBackoff:  250 * time.Millisecond,
		maxBackoff:  5 * time.Second,
		// Longest time that a call waits for its claim.
		claimTimeout: 250 * time.Millisecond,
		// For calls with longer timeouts, a settlement is retried until the
		// claim's state becomes unknown, up to a minute.
		minSettleTimeout:   10 * time.Second,
		closeTimeout:       5 * time.Second,
		maxSubscriptions:   1024,
		maxSettlements:     4096,
		maxSettlementBytes: 32 << 20,
	}
}

// WithRenewal returns a copy that renews the lease every interval and switches
// to another control instance after lease without an acknowledgement.
func (o Options) WithRenewal(interval, lease time.Duration) Options {
	o.renewInterval, o.lease = interval, lease
	return o
}

// WithBackoff returns a copy that waits a random time of up to spread before
// each attempt, and does not retry a control instance that failed for at least
// half of first, doubling up to most.
func (o Options) WithBackoff(spread, first, most time.Duration) Options {
	o.reconnectSpread, o.minBackoff, o.maxBackoff = spread, first, most
	return o
}

// WithReturnDelay returns a copy that looks for a control instance of the node's region
// d to 2d after the start of a session with one of another region, and after twice the
// time each time.
func (o Options) WithReturnDelay(d time.Duration) Options {
	o.returnDelay = d
	return o
}

// WithResponseTimeout returns a copy that waits at most d for the first
// configuration of a session.
func (o Options) WithResponseTimeout(d time.Duration) Options {
	o.responseTimeout = d
	return o
}

// WithClaims returns a copy that bounds the wait for a claim and sets the
// minimum time for which a settlement is retried.
func (o Options) WithClaims(claim, settle time.Duration) Options {
	o.claimTimeout, o.minSettleTimeout = claim, settle
	return o
}

// WithMaxSettlements returns a copy that queues at most count unrecorded
// settlements, with recorded responses of at most size bytes in total.
func (o Options) WithMaxSettlements(count int, size int64) Options {
	o.maxSettlements, o.maxSettlementBytes = count, size
	return o
}

// WithCloseTimeout returns a copy that waits at most d for settlements when
// the session closes.
func (o Options) WithCloseTimeout(d time.Duration) Options {
	o.closeTimeout = d
	return o
}
