// Package wasabilevel records, per kind of call, the importance below which
// downstream services refuse calls, so that such calls can be refused at the
// ingress. It does not affect calls that were admitted there.
package wasabilevel

import "time"

// Options holds the immutable settings of a Table.
type Options struct {
	maxKinds      int
	expiry        time.Duration
	probeInterval time.Duration
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		maxKinds:      4096,
		expiry:        time.Second,
		probeInterval: 100 * time.Millisecond,
	}
}

// WithMaxKinds returns a copy that records at most n kinds of calls, at least
// 1.
func (o Options) WithMaxKinds(n int) Options {
	o.maxKinds = max(n, 1)
	return o
}

// WithExpiry returns a copy whose levels expire when no response confirms them
// for d.
func (o Options) WithExpiry(d time.Duration) Options {
	o.expiry = d
	return o
}

// WithProbeInterval returns a copy that lets one call of a refused kind pass
// every d, to probe whether the level still applies.
func (o Options) WithProbeInterval(d time.Duration) Options {
	o.probeInterval = d
	return o
}
