package wasabiload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabistand/wasabistand"
)

// Count is the number of requests that arrived and the number of them that
// succeeded.
type Count struct {
	Offered, Good int
}

// Share returns the fraction of requests that succeeded, or 1 without requests.
func (c Count) Share() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Offered)
}

// Add returns the sum of c and d.
func (c Count) Add(d Count) Count { return Count{c.Offered + d.Offered, c.Good + d.Good} }

// Report is a summary of outcomes.
type Report struct {
	// ByPhase counts by phase and importance.
	ByPhase []map[wasabistand.Importance]Count
	// Latency holds the latency of successful requests, in microseconds from
	// their planned time.
	Latency *hdrhistogram.Histogram
	// Late holds the delay of each request after its planned time, in
	// microseconds.
	Late *hdrhistogram.Histogram

	Offered, Good, Attempts, Unsent int
	Mismatched, Truncated           int
}

// maxLatency is the largest latency that is recorded; larger ones are clamped.
const maxLatency = time.Minute

// Summarize returns a summary of the outcomes of a plan with the given number of
// phases.
func Summarize(classes []Class, phases int, list []Outcome) Report {
	r := Report{
		Latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		Late:    hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
	for range phases {
		r.ByPhase = append(r.ByPhase, map[wasabistand.Importance]Count{})
	}
	for _, o := range list {
		if o.Number == 0 {
			continue // Not sent before the run was cancelled.
		}
		n := Count{Offered: 1}
		if o.Good {
			n.Good = 1
			_ = r.Latency.RecordValue(min(max(o.Latency, time.Microsecond), maxLatency).Microseconds())
		}
		_ = r.Late.RecordValue(min(max(o.Late, time.Microsecond), maxLatency).Microseconds())
		i := classes[o.Class].Importance
		r.ByPhase[o.Phase][i] = r.ByPhase[o.Phase][i].Add(n)
		r.Offered, r.Good, r.Attempts = r.Offered+1, r.Good+n.Good, r.Attempts+o.Attempts
		r.Mismatched, r.Truncated = r.Mismatched+o.Mismatched, r.Truncated+o.Truncated
		if o.Unsent {
			r.Unsent++
		}
	}
	return r
}

// Phase returns the count of all importances in one phase.
func (r Report) Phase(p int) Count {
	var c Count
	for _, n := range r.ByPhase[p] {
		c = c.Add(n)
	}
	return c
}

// recoveryWindow is the resolution of recovery times. It must contain enough
// requests that a single one does not decide the result.
const recoveryWindow = 500 * time.Millisecond

// Recovery returns how long after end the fraction of successful requests
// returned to within 5% of before and stayed there for the rest of the run. It
// uses the fraction instead of the rate, so that the randomness of the arrivals
// cancels out. It returns false if the fraction did not recover.
func Recovery(list []Outcome, end, last time.Duration, before float64) (time.Duration, bool) {
	windows := int((last - end) / recoveryWindow)
	counts := make([]Count, windows)
	for _, o := range list {
		if w := int((o.At - end) / recoveryWindow); o.Number > 0 && o.At >= end && w < windows {
			counts[w].Offered++
			if o.Good {
				counts[w].Good++
			}
		}
	}
	recovered := windows
	for w := windows - 1; w >= 0 && counts[w].Share() >= 0.95*before; w-- {
		recovered = w
	}
	return time.Duration(recovered) * recoveryWindow, recovered < windows
}
