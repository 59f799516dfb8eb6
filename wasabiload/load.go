// Package wasabiload generates open-loop load: each request is sent at its
// planned time, however late earlier ones are, and its latency counts from
// that time. So a stalled system can't slow its own measurement down. It
// decides how impatient clients behave; it knows nothing of the product
// beyond its headers.
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
	// Keyed says that the call is non-idempotent: all sends of one request
	// carry the same idempotency key.
	Keyed bool
	// Rate is how many requests arrive a second at factor 1.
	Rate float64
}

// Phase is a part of a run with one rate.
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
	// Number is unique in the plan, from 1.
	Number int
	At     time.Duration
	Class  int
	Phase  int
}

// Plan draws the arrivals of Poisson processes, one for each class, in order
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

// Result is how one request ended for its client.
type Result struct {
	// Good says that the whole right answer arrived within the patience.
	Good bool
	// Sends is how often the client sent the request.
	Sends int
	// Request is the identity of the send whose answer was taken.
	Request string
	// Mixed counts answers to other requests, Partial answers that were not
	// whole although the client's library took them as whole.
	Mixed, Partial int
	// Refused lists the sends that were answered as not run.
	Refused []string
	// Unsent says that the bound on open requests was reached.
	Unsent bool
}

// Sender sends one request and returns when its patience has ended at the
// latest. due is when it was planned to start.
type Sender interface {
	Send(ctx context.Context, due time.Time, number int, c Class) Result
}

// Outcome is a Result with its place in the plan.
type Outcome struct {
	Arrival
	Result
	// Latency counts from the planned time.
	Latency time.Duration
	// Late is how long after the planned time the request was sent.
	Late time.Duration
}

// maxOpen bounds the open requests, so that a stalled system can't take the
// machine's memory.
const maxOpen = 20_000

// Run sends the planned requests and returns how each ended, in the plan's
// order.
func Run(ctx context.Context, plan []Arrival, classes []Class, phases []Phase, s Sender) []Outcome {
	out := make([]Outcome, len(plan))
	open := make(chan struct{}, maxOpen)
	var wait sync.WaitGroup
	start := time.Now()
	wait.Go(func() { begin(ctx, start, phases) })
	for i, a := range plan {
		due := start.Add(a.At)
		if !until(ctx, due) {
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

func begin(ctx context.Context, start time.Time, phases []Phase) {
	for _, p := range phases {
		if !until(ctx, start) {
			return
		}
		if p.Begin != nil {
			p.Begin()
		}
		start = start.Add(p.Length)
	}
}

// until waits and reports whether ctx is still open.
func until(ctx context.Context, at time.Time) bool {
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
