package wasabigateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
)

// runAttempts sends a request to one instance after another until one responds or
// no further attempt is allowed.
func (g *Gateway) runAttempts(ctx context.Context, q *request) outcome {
	last := outcome{}
	// upstreamFailure is an error response of an upstream. It is returned if no other
	// instance gives a better response.
	var upstreamFailure *outcome
	for {
		choice, refusal := g.pickInstance(q)
		if refusal != nil {
			if upstreamFailure != nil {
				return *upstreamFailure
			}
			if last.refusal == nil {
				last = outcome{refusal: refusal}
			}
			return q.finalOutcome(last)
		}
		a := q.attempt
		a.number = len(q.tried)
		if q.rest != nil {
			a.rest = q.rest.lend()
		}
		var out outcome
		if choice.ID == g.settings.instance {
			out = g.runLocal(ctx, &a)
		} else {
			out = g.sendToNode(ctx, choice.LinkAddress, &a)
		}
		g.recordResult(q, choice, out)
		if out.response != nil && !g.canRetryFailure(ctx, q, out) {
			return out
		}
		q.tried = append(q.tried, choice.ID)
		if out.response != nil {
			upstreamFailure = &out
			q.arrivedCount++
			q.mayHaveRun = true
			g.logAttempt("again", &a, out)
			continue
		}
		last = out
		if out.arrived {
			q.arrivedCount++
		} else {
			q.refusedCount++
		}
		q.mayHaveRun = q.mayHaveRun || out.refusal.Outcome != wasabistand.NotRun
		if !g.canRetry(ctx, q, out) {
			if upstreamFailure != nil {
				return *upstreamFailure
			}
			return q.finalOutcome(out)
		}
		g.logAttempt("again", &a, out)
	}
}

// canRetryFailure reports whether an upstream's error response may be replaced by a
// retry at another instance. Failures that many requests share come from downstream
// services: once they have used a part of the budget, they are returned to the
// caller.
func (g *Gateway) canRetryFailure(ctx context.Context, q *request, out outcome) bool {
	remaining := q.deadline.Sub(g.now())
	if out.response.status < http.StatusInternalServerError || out.response.rest != nil || ctx.Err() != nil ||
		!q.attempt.retryable || q.rest != nil || q.arrivedCount+1 >= q.route.MaxAttempts || remaining < 2*out.serviceTime {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.RemainingShare(g.now(), q.service) >= minShareForFailures
}

// minShareForFailures is the share of the retry budget that must remain to retry a
// request that an upstream answered with an error.
const minShareForFailures = 0.75

// finalOutcome returns the outcome of a request: not-run becomes unknown if an
// earlier attempt may have run.
func (q *request) finalOutcome(o outcome) outcome {
	if q.mayHaveRun && o.refusal.Outcome == wasabistand.NotRun {
		r := *o.refusal
		r.Outcome = wasabistand.Unknown
		o.refusal = &r
	}
	return o
}

// pickInstance chooses the instance of the next attempt.
func (g *Gateway) pickInstance(q *request) (wasabistand.Instance, *wasabistand.Refusal) {
	now := g.now()
	if !now.Before(q.deadline) {
		return wasabistand.Instance{}, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience ended")
	}
	c, err := g.placeAttempt(now, q)
	if err != nil {
		// Control may have reported further instances that watchDirectory has not
		// applied yet.
		g.applyView()
		c, err = g.placeAttempt(now, q)
	}
	if err != nil {
		var refusal *wasabistand.Refusal
		if !errors.As(err, &refusal) {
			refusal = wasabistand.NewRefusal(wasabistand.ReasonNoInstance, err.Error())
		}
		return wasabistand.Instance{}, refusal.WithRetryAfter(defaultRetryAfter)
	}
	return c.Instance, nil
}

// placeAttempt chooses an instance. A retry is charged to the budget once an
// instance was found.
func (g *Gateway) placeAttempt(now time.Time, q *request) (wasabiplace.Choice, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isRetry := q.chargedRetries < q.arrivedCount
	if isRetry && g.budget.RemainingRetries(now, q.service) < 1 {
		return wasabiplace.Choice{}, wasabistand.NewRefusal(wasabistand.ReasonNoInstance, "the budget of repeats is used up")
	}
	c, err := g.placer.Pick(now, wasabiplace.Query{
		Service: q.service, Kind: q.route.Name, Exclude: q.tried, Remaining: q.deadline.Sub(now),
		NoRetry: !q.attempt.retryable || q.arrivedCount+1 >= q.route.MaxAttempts, RetryBudgetShare: g.budget.RemainingShare(now, q.service),
	})
	if err == nil && isRetry {
		g.budget.TakeRetry(now, q.service)
		g.metrics.retries.WithLabelValues(q.service).Inc()
		q.chargedRetries++
	}
	return c, err
}

// recordResult reports the outcome of an attempt to the metrics and the placement.
func (g *Gateway) recordResult(q *request, i wasabistand.Instance, out outcome) {
	g.metrics.recordAttempt(g, q.service, i, out)
	refused := out.refusal != nil && out.refusal.Outcome == wasabistand.NotRun && !out.faulty
	// An upstream that sheds calls for which its node had a free slot costs an
	// attempt each time, and looks idle to other nodes.
	shed := refused && out.arrived
	r := wasabiplace.Result{
		Failed: out.faulty, Unreachable: out.unreachable, Refused: refused && !shed, Shed: shed,
		ServiceTime: out.serviceTime, Kind: q.route.Name, Load: out.load,
	}
	if out.response != nil && out.response.status == http.StatusInternalServerError {
		// A quick failure must not make the instance look fast. It is not counted as
		// a fault of the instance either, since most failures come from downstream
		// calls.
		r.ServiceTime = 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Done(g.now(), q.service, i.ID, r)
}

// canRetry reports whether a request may be sent to another instance.
func (g *Gateway) canRetry(ctx context.Context, q *request, out outcome) bool {
	r := out.refusal
	now := g.now()
	switch {
	case ctx.Err() != nil, g.waitCtx.Err() != nil, !now.Before(q.deadline), !q.rest.reclaim():
		return false
	case r.Outcome != wasabistand.NotRun && !q.attempt.retryable:
		return false
	case r.Reason == wasabistand.ReasonBadRequest, r.Reason == wasabistand.ReasonCancelled, r.Reason == wasabistand.ReasonTimeout:
		return false
	}
	if !out.arrived {
		return q.refusedCount < g.settings.maxPlacements
	}
	if q.arrivedCount >= q.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.RemainingRetries(now, q.service) >= 1
}
