// Package wasabilimit finds how many calls one upstream runs well at once,
// from the throughput and the latency of finished calls. It does not decide
// which calls run.
package wasabilimit

import "time"

// Options are the settings of an Adaptive limiter: an immutable value.
type Options struct {
	slots      int
	cold       bool
	minSamples int
	maxSamples int
	reportHold time.Duration
}

// NewOptions returns the default settings for an upstream that declares slots.
func NewOptions(slots int) Options {
	return Options{
		slots: max(slots, 1),
		// With fewer samples, calls of widely varying length cause false cuts at
		// low limits; with more, a step is noticed later.
		minSamples: 16,
		maxSamples: 256,
		reportHold: 5 * time.Second,
	}
}

// WithCold returns a copy that starts from a quarter of the slots.
func (o Options) WithCold(cold bool) Options {
	o.cold = cold
	return o
}

// WithWindow returns a copy whose windows hold at least minSamples and at
// most maxSamples completions; in between, one per slot of the limit.
func (o Options) WithWindow(minSamples, maxSamples int) Options {
	o.minSamples = max(minSamples, 1)
	o.maxSamples = max(maxSamples, o.minSamples)
	return o
}

// WithReportHold returns a copy that forgets an upstream's report after d.
func (o Options) WithReportHold(d time.Duration) Options {
	o.reportHold = d
	return o
}
