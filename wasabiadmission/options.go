// Package wasabiadmission decides which calls one upstream runs, which calls
// wait and which are refused, in strict order of importance. It does not
// choose the limit, only how the slots within it are used.
package wasabiadmission

import "time"

// Options holds the immutable settings of a Queue.
type Options struct {
	limit      int
	queueLimit int
	levelHold  time.Duration
	preempt    bool
	maxCallers int
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		limit:      16,
		queueLimit: 128,
		levelHold:  200 * time.Millisecond,
		maxCallers: 256,
	}
}

// WithLimit returns a copy that runs at most n calls at once, at least 1.
func (o Options) WithLimit(n int) Options {
	o.limit = max(n, 1)
	return o
}

// WithQueueLimit returns a copy with room for at most n waiting calls.
func (o Options) WithQueueLimit(n int) Options {
	o.queueLimit = max(n, 0)
	return o
}

// WithLevelHold returns a copy that lowers the admission level by one step
// after d without a refusal for load.
func (o Options) WithLevelHold(d time.Duration) Options {
	o.levelHold = max(d, time.Millisecond)
	return o
}

// WithPreempt returns a copy that may cancel a running cancellable call to
// free its slot for a call of higher importance.
func (o Options) WithPreempt(on bool) Options {
	o.preempt = on
	return o
}

// WithMaxCallers returns a copy that accounts for at most n callers
// separately, at least 1; all others share one account.
func (o Options) WithMaxCallers(n int) Options {
	o.maxCallers = max(n, 1)
	return o
}
