// Package wasabiload generates open-loop load: each request is sent at its
// planned time, however late earlier ones are, and its latency is measured from
// that time. So a stalled system can't slow down its own measurement, which is
// known as coordinated omission. The package defines how clients time out and
// retry; it depends on nothing of the product except its headers.
package wasabiload

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Class is one kind of request that clients send.
type Class struct {
	Name       string
	Importance wasabistand.Importance
	Service    string
	Caller     string
	Method     string
	Path       string
	// Keyed is true for a non-idempotent call: all attempts of one request
	// carry the same idempotency key.
	Keyed bool
	// Rate is the arrival rate in requests per second at factor 1.
	Rate float64
}

// Phase is a part of a run with a constant rate.
type Phase struct {
	Name   string
	Length time.Duration
	// Factor multiplies the rate of each class.
	Factor float64
	// Begin, unless nil, is called at the phase's planned start.
	Begin func()
}

// Arrival is a planned request.
type Arrival struct {
	// Number is unique in the plan and starts at 1.
	Number int
	At     time.Duration
	Class  int
	Phase  int
}

// Plan returns random arrivals of Poisson processes, one for each class, in order
// of time. The same seed gives the same plan.
func Plan(seed uint64, classes []Class, phases []Phase) []Arrival {
	var list []Arrival
	for c, class := range classes {
		random := rand.New(rand.NewPCG(seed, uint64(c)))
		var start time.Duration
		for p, phase := range phases {
			end := start + phase.Length
			if rate := class.Rate * phase.Factor; rate > 0 {
				for at := start; ; {
					at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
					if at >= end {
						break
					}
					list = append(list, Arrival{At: at, Class: c, Phase: p})
				}
			}
			start = end
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range list {
		list[i].Number = i + 1
	}
	return list
}

// Result is the result of one request as seen by its client.
type Result struct {
	// Good is true if the complete correct response arrived before the
	// deadline.
	Good bool
	// Attempts is the number of attempts.
	Attempts int
	// Request is the request ID of the attempt whose response was accepted.
	Request string
	// Mismatched counts responses that belong to other requests, Truncated those
	// that the HTTP library accepted as complete although a part was missing.
	Mismatched, Truncated int
	// Refused lists the request IDs of attempts that were reported as not run.
	Refused []string
	// Unsent is true if the request was not sent because the bound on open
	// requests was reached.
	Unsent bool
}

// Sender sends one request and returns no later than its deadline. due is its
// planned start time.
type Sender interface {
	Send(ctx context.Context, due time.Time, number int, c Class) Result
}

// Outcome is a Result with the planned arrival that it belongs to.
type Outcome struct {
	Arrival
	Result
	// Latency is measured from the planned time.
	Latency time.Duration
	// Late is the delay of the request after its planned time.
	Late time.Duration
}

// maxOpenRequests bounds the open requests, so that a stalled system can't
// exhaust the machine's memory.
const maxOpenRequests = 20_000

// Run sends the planned requests and returns their outcomes in the order of the
// plan.
func Run(ctx context.Context, plan []Arrival, classes []Class, phases []Phase, s Sender) []Outcome {
	out := make([]Outcome, len(plan))
	open := make(chan struct{}, maxOpenRequests)
	var wait sync.WaitGroup
	start := time.Now()
	wait.Go(func() { startPhases(ctx, start, phases) })
	for i, a := range plan {
		due := start.Add(a.At)
		if !waitUntil(ctx, due) {
			break
		}
		out[i].Arrival = a
		select {
		case open <- struct{}{}:
		default:
			out[i].Unsent = true
			continue
		}
		wait.Go(func() {
			defer func() { <-open }()
			late := time.Since(due)
			r := s.Send(ctx, due, a.Number, classes[a.Class])
			out[i] = Outcome{Arrival: a, Result: r, Latency: time.Since(due), Late: late}
		})
	}
	wait.Wait()
	return out
}

func startPhases(ctx context.Context, start time.Time, phases []Phase) {
	for _, p := range phases {
		if !waitUntil(ctx, start) {
			return
		}
		if p.Begin != nil {
			p.Begin()
		}
		start = start.Add(p.Length)
	}
}

// waitUntil waits until the given time and reports whether ctx is not done.
func waitUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
