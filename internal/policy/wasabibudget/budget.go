// Package wasabibudget bounds the repeats that one service gets from all
// nodes together. Each node allows itself a share of its own requests over a
// sliding window, so that the sum over any number of nodes keeps the service's
// bound without a message between them: nodes that are cut off, or have just
// started, allow themselves no more. It does not decide what may be repeated.
package wasabibudget

import (
	"time"
)

// Options are the settings of a Budget: an immutable value.
type Options struct {
	window  time.Duration
	ratio   float64
	reserve float64
	buckets int
}

// NewOptions returns the settings of a budget of ratio repeats for each request
// within any window.
func NewOptions(window time.Duration, ratio float64) Options {
	return Options{
		window: window,
		// Repeated requests repeat the calls below them, which count against
		// the budgets of other services: half is left to those.
		ratio: ratio / 2,
		// One repeat at low rates.
		reserve: 1,
		buckets: 20,
	}
}

// WithReserve returns a copy that allows n repeats in a window at any rate.
// The service's bound must have room for n times the number of nodes.
func (o Options) WithReserve(n float64) Options {
	o.reserve = n
	return o
}

// Budget counts requests and repeats by service. It is not safe for concurrent
// use.
type Budget struct {
	options  Options
	services map[string]*counts
}

type counts struct {
	slots    []slot
	requests int
	repeats  int
	last     int64
}

type slot struct{ requests, repeats int }

// New returns an empty budget.
func New(o Options) *Budget { return &Budget{options: o, services: map[string]*counts{}} }

func (b *Budget) counts(now time.Time, service string) *counts {
	width := int64(b.options.window) / int64(b.options.buckets)
	at := now.UnixNano() / width
	c := b.services[service]
	if c == nil {
		// One bucket more than the window, so that a partly expired one counts.
		c = &counts{slots: make([]slot, b.options.buckets+1), last: at}
		b.services[service] = c
	}
	if n := int64(len(c.slots)); at-c.last >= n || at < c.last {
		if at > c.last {
			clear(c.slots)
			c.requests, c.repeats = 0, 0
			c.last = at
		}
		return c
	}
	for c.last < at {
		c.last++
		s := &c.slots[c.last%int64(len(c.slots))]
		c.requests -= s.requests
		c.repeats -= s.repeats
		*s = slot{}
	}
	return c
}

// Request records a request for a service, before its first attempt.
func (b *Budget) Request(now time.Time, service string) {
	c := b.counts(now, service)
	c.requests++
	c.slots[c.last%int64(len(c.slots))].requests++
}

// Repeat reports whether a request may be sent to a further upstream, and
// counts it.
func (b *Budget) Repeat(now time.Time, service string) bool {
	c := b.counts(now, service)
	if float64(c.repeats+1) > b.options.ratio*float64(c.requests)+b.options.reserve {
		return false
	}
	c.repeats++
	c.slots[c.last%int64(len(c.slots))].repeats++
	return true
}

// Spare returns the part of a service's budget that is not used, 0 to 1.
func (b *Budget) Spare(now time.Time, service string) float64 {
	c := b.counts(now, service)
	return max(1-float64(c.repeats)/(b.options.ratio*float64(c.requests)+b.options.reserve), 0)
}

// Left returns how many repeats the budget of a service allows now.
func (b *Budget) Left(now time.Time, service string) int {
	c := b.counts(now, service)
	return max(int(b.options.ratio*float64(c.requests)+b.options.reserve)-c.repeats, 0)
}

// String names the implementation.
func (b *Budget) String() string { return "sliding-window" }
