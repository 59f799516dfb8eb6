// Package wasabibudget implements retry budgets. It bounds the retries that one
// service receives from all nodes together. Each node limits its retries to a
// share of its own requests over a sliding window, so that the sum over any number
// of nodes stays within the service's bound without coordination: nodes that are
// partitioned, or have just started, get no larger budget. It does not decide which
// requests are retryable.
package wasabibudget

import (
	"time"
)

// Options holds the settings of a Budget. It is an immutable value.
type Options struct {
	window  time.Duration
	ratio   float64
	reserve float64
	buckets int
}

// NewOptions returns the settings of a budget of ratio retries per request within
// any window.
func NewOptions(window time.Duration, ratio float64) Options {
	return Options{
		window: window,
		// A retried request repeats its downstream calls, which count against
		// the budgets of other services, so half is left to those.
		ratio: ratio / 2,
		// One retry at low request rates.
		reserve: 1,
		buckets: 20,
	}
}

// WithReserve returns a copy that allows n retries per window at any request rate.
// The service's bound must have room for n times the number of nodes.
func (o Options) WithReserve(n float64) Options {
	o.reserve = n
	return o
}

// Budget counts requests and retries by service. It is not safe for concurrent
// use.
type Budget struct {
	options  Options
	services map[string]*windowCounts
}

// windowCounts holds the requests and retries of one service within the window.
type windowCounts struct {
	// buckets is a ring buffer of the window.
	buckets  []bucket
	requests int
	retries  int
	// current is the number of the newest bucket, counted from the Unix epoch.
	current int64
}

type bucket struct{ requests, retries int }

// New returns an empty budget.
func New(o Options) *Budget { return &Budget{options: o, services: map[string]*windowCounts{}} }

// advance moves the window of a service up to now and returns its counts.
func (b *Budget) advance(now time.Time, service string) *windowCounts {
	width := int64(b.options.window) / int64(b.options.buckets)
	at := now.UnixNano() / width
	c := b.services[service]
	if c == nil {
		// One bucket more than the window, so that a partly expired bucket still
		// counts.
		c = &windowCounts{buckets: make([]bucket, b.options.buckets+1), current: at}
		b.services[service] = c
	}
	if n := int64(len(c.buckets)); at-c.current >= n || at < c.current {
		if at > c.current {
			clear(c.buckets)
			c.requests, c.retries = 0, 0
			c.current = at
		}
		return c
	}
	for c.current < at {
		c.current++
		s := &c.buckets[c.current%int64(len(c.buckets))]
		c.requests -= s.requests
		c.retries -= s.retries
		*s = bucket{}
	}
	return c
}

// RecordRequest records a request to a service, before its first attempt.
func (b *Budget) RecordRequest(now time.Time, service string) {
	c := b.advance(now, service)
	c.requests++
	c.buckets[c.current%int64(len(c.buckets))].requests++
}

// TakeRetry reports whether a request may be retried at another upstream, and counts
// the retry if so.
func (b *Budget) TakeRetry(now time.Time, service string) bool {
	c := b.advance(now, service)
	if float64(c.retries+1) > b.options.ratio*float64(c.requests)+b.options.reserve {
		return false
	}
	c.retries++
	c.buckets[c.current%int64(len(c.buckets))].retries++
	return true
}

// RemainingShare returns the unused fraction of a service's budget, 0 to 1.
func (b *Budget) RemainingShare(now time.Time, service string) float64 {
	c := b.advance(now, service)
	return max(1-float64(c.retries)/(b.options.ratio*float64(c.requests)+b.options.reserve), 0)
}

// RemainingRetries returns how many more retries the budget of a service allows.
func (b *Budget) RemainingRetries(now time.Time, service string) int {
	c := b.advance(now, service)
	return max(int(b.options.ratio*float64(c.requests)+b.options.reserve)-c.retries, 0)
}

// String returns the name of the algorithm.
func (b *Budget) String() string { return "sliding-window" }
