// Package wasabilimit determines how many calls one upstream can run
// concurrently, from the throughput and the latency of finished calls. It does
// not decide which calls run.
package wasabilimit

import "time"

// Options holds the immutable settings of an Adaptive limiter.
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
		// With fewer samples, calls of widely varying length cause unwarranted
		// reductions at low limits; with more, a step in capacity is detected
		// later.
		minSamples: 16,
		maxSamples: 256,
		reportHold: 5 * time.Second,
	}
}

// WithCold returns a copy that starts with a quarter of the slots.
func (o Options) WithCold(cold bool) Options {
	o.cold = cold
	return o
}

// WithWindow returns a copy whose windows hold between minSamples and
// maxSamples completions. Within these bounds a window holds one completion
// per slot of the limit.
func (o Options) WithWindow(minSamples, maxSamples int) Options {
	o.minSamples = max(minSamples, 1)
	o.maxSamples = max(maxSamples, o.minSamples)
	return o
}

// WithReportHold returns a copy that ignores an upstream's report after d.
func (o Options) WithReportHold(d time.Duration) Options {
	o.reportHold = d
	return o
}
