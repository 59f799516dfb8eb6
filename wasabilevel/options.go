// Package wasabilevel remembers, per kind of call, the importance below which
// services further down refuse calls, so that such calls are refused where
// they enter. It decides nothing about calls that have entered.
package wasabilevel

import "time"

// Options are the settings of a Table: an immutable value.
type Options struct {
	maxKinds   int
	expiry     time.Duration
	probeEvery time.Duration
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		maxKinds:   4096,
		expiry:     time.Second,
		probeEvery: 100 * time.Millisecond,
	}
}

// WithMaxKinds returns a copy that remembers at most n kinds, at least 1.
func (o Options) WithMaxKinds(n int) Options {
	o.maxKinds = max(n, 1)
	return o
}

// WithExpiry returns a copy that forgets a level that no answer confirmed
// for d.
func (o Options) WithExpiry(d time.Duration) Options {
	o.expiry = d
	return o
}

// WithProbeEvery returns a copy that lets one call of a refused kind pass
// every d, to learn whether the level still holds.
func (o Options) WithProbeEvery(d time.Duration) Options {
	o.probeEvery = d
	return o
}
