package wasabigateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
)

// attempts sends a request to one instance after another until one answers or
// the rules allow no further attempt.
func (g *Gateway) attempts(ctx context.Context, q *request) outcome {
	last := outcome{}
	// failure is an upstream's own failure, which is the answer if no other
	// instance has a better one.
	var failure *outcome
	for {
		choice, refusal := g.pick(q)
		if refusal != nil {
			if failure != nil {
				return *failure
			}
			if last.refusal == nil {
				last = outcome{refusal: refusal}
			}
			return q.certain(last)
		}
		a := q.attempt
		a.number = len(q.tried)
		var out outcome
		if choice.ID == g.settings.instance {
			out = g.run(ctx, &a)
		} else {
			out = g.send(ctx, choice.LinkAddress, &a)
		}
		g.learned(q, choice, out)
		if out.answer != nil && !g.replaceable(ctx, q, out) {
			return out
		}
		q.tried = append(q.tried, choice.ID)
		if out.answer != nil {
			failure = &out
			q.arrived++
			q.uncertain = true
			g.note("again", &a, out)
			continue
		}
		last = out
		if out.arrived {
			q.arrived++
		} else {
			q.refused++
		}
		q.uncertain = q.uncertain || out.refusal.Outcome != wasabistand.NotRun
		if !g.again(ctx, q, out) {
			if failure != nil {
				return *failure
			}
			return q.certain(out)
		}
		g.note("again", &a, out)
	}
}

// replaceable reports whether an upstream's answer is a failure of its own that
// another instance may make good. Failures that many requests share come from
// further down: once they have used a part of the budget, they are answers.
func (g *Gateway) replaceable(ctx context.Context, q *request, out outcome) bool {
	left := q.deadline.Sub(g.now())
	if out.answer.status < http.StatusInternalServerError || out.answer.rest != nil || ctx.Err() != nil ||
		!q.attempt.repeatable || q.attempt.rest != nil || q.arrived+1 >= q.route.MaxAttempts || left < 2*out.took {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.RemainingShare(g.now(), q.service) >= spareForFailures
}

// spareForFailures is the part of the budget of repeats that must be left to
// repeat a request that an upstream answered with a failure.
const spareForFailures = 0.75

// certain returns how a request ended whose earlier attempts may have run.
func (q *request) certain(o outcome) outcome {
	if q.uncertain && o.refusal.Outcome == wasabistand.NotRun {
		r := *o.refusal
		r.Outcome = wasabistand.Unknown
		o.refusal = &r
	}
	return o
}

// pick chooses the instance of the next attempt.
func (g *Gateway) pick(q *request) (wasabistand.Instance, *wasabistand.Refusal) {
	now := g.now()
	if !now.Before(q.deadline) {
		return wasabistand.Instance{}, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience ended")
	}
	c, err := g.place(now, q)
	if err != nil {
		// Control may have told of further instances that follow has not taken
		// over yet.
		g.update()
		c, err = g.place(now, q)
	}
	if err != nil {
		var refusal *wasabistand.Refusal
		if !errors.As(err, &refusal) {
			refusal = wasabistand.NewRefusal(wasabistand.ReasonNoInstance, err.Error())
		}
		return wasabistand.Instance{}, refusal.WithRetryAfter(retryDefault)
	}
	return c.Instance, nil
}

// place chooses an instance and charges the budget for a repeat that has one.
func (g *Gateway) place(now time.Time, q *request) (wasabiplace.Choice, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	repeat := q.paid < q.arrived
	if repeat && g.budget.RemainingRetries(now, q.service) < 1 {
		return wasabiplace.Choice{}, wasabistand.NewRefusal(wasabistand.ReasonNoInstance, "the budget of repeats is used up")
	}
	c, err := g.placer.Pick(now, wasabiplace.Query{
		Service: q.service, Kind: q.route.Name, Exclude: q.tried, Remaining: q.deadline.Sub(now),
		NoRetry: !q.attempt.repeatable || q.arrived+1 >= q.route.MaxAttempts, RetryBudgetShare: g.budget.RemainingShare(now, q.service),
	})
	if err == nil && repeat {
		g.budget.TakeRetry(now, q.service)
		g.metrics.repeats.WithLabelValues(q.service).Inc()
		q.paid++
	}
	return c, err
}

// learned records how an attempt ended for the placement.
func (g *Gateway) learned(q *request, i wasabistand.Instance, out outcome) {
	g.metrics.attempt(g, q.service, i, out)
	refused := out.refusal != nil && out.refusal.Outcome == wasabistand.NotRun && !out.faulty
	// An upstream that sheds what its node found room for costs an attempt, and
	// looks idle to the others.
	shed := refused && out.arrived
	r := wasabiplace.Result{
		Failed: out.faulty, Unreachable: out.down, Refused: refused && !shed, Shed: shed,
		Service: out.took, Kind: q.route.Name, Load: out.load,
	}
	if out.answer != nil && out.answer.status == http.StatusInternalServerError {
		// An instance that fails early is not a fast one. Nor is it at fault:
		// most failures come from calls further down.
		r.Service = 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Done(g.now(), q.service, i.ID, r)
}

// again reports whether a request may be sent to another instance.
func (g *Gateway) again(ctx context.Context, q *request, out outcome) bool {
	r := out.refusal
	now := g.now()
	switch {
	case ctx.Err() != nil, !now.Before(q.deadline), q.attempt.rest != nil && out.arrived:
		return false
	case r.Outcome != wasabistand.NotRun && !q.attempt.repeatable:
		return false
	case r.Reason == wasabistand.ReasonBadRequest, r.Reason == wasabistand.ReasonCancelled, r.Reason == wasabistand.ReasonTimeout:
		return false
	}
	if !out.arrived {
		return q.refused < g.settings.maxPlacements
	}
	if q.arrived >= q.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.RemainingRetries(now, q.service) >= 1
}
