package wasabinode

import (
	"context"
	"strconv"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicall"
)

// serveLocal is the sendFunc for the local upstream. It serves attempts of calls
// that arrived at this node.
func (n *Node) serveLocal(ctx context.Context, a *attempt, s responseSink) attemptResult {
	refusal := n.upstreamCalls.add(false)
	if refusal == nil {
		defer n.upstreamCalls.remove()
	}
	return n.serveAttempt(ctx, a, s, refusal)
}

// serveAttempt forwards an attempt to the local upstream, unless it was refused
// before, and adds the current load to the result.
func (n *Node) serveAttempt(ctx context.Context, a *attempt, s responseSink, refusal *wasabistand.Refusal) attemptResult {
	if refusal == nil {
		refusal = n.checkServable(a)
	}
	var result attemptResult
	if refusal == nil {
		result = n.admitAndForward(ctx, a, s)
	} else {
		n.recordRefusal(a, refusal)
		result = attemptResult{refusal: refusal, unusedRetries: a.retryBudget}
	}
	load := n.currentLoad(a.kind)
	result.load = &load
	return result
}

func (n *Node) checkServable(a *attempt) *wasabistand.Refusal {
	switch {
	case a.kind.Service != n.settings.service:
		return wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, "service: "+strconv.Quote(a.kind.Service)+", this instance serves "+strconv.Quote(n.settings.service))
	case n.activeConfig() == nil:
		return wasabistand.NewRefusal(wasabistand.ReasonNotReady, "no configuration is confirmed yet")
	}
	return nil
}

func (n *Node) admitAndForward(ctx context.Context, a *attempt, s responseSink) attemptResult {
	runCtx, preempt := context.WithCancelCause(ctx)
	if !a.idempotent {
		// After its dispatch the call must run to its end even if the caller
		// disconnects, since its outcome must be known.
		runCtx, preempt = context.WithCancelCause(n.callsCtx)
	}
	defer preempt(nil)
	ticket := wasabistand.Ticket{Caller: n.activeConfig().account(a.caller), Importance: a.importance, Deadline: a.deadline, Cancellable: a.idempotent}
	waitCtx, cancel := context.WithDeadline(ctx, a.deadline)
	slot, refusal := n.admitter.acquire(waitCtx, ticket, preempt)
	cancel()
	if refusal == nil && ctx.Err() != nil {
		n.admitter.cancel(slot)
		refusal = wasabistand.NewRefusal(wasabistand.ReasonCancelled, "cancelled in the queue")
	}
	if refusal != nil {
		n.recordRefusal(a, refusal)
		return attemptResult{refusal: refusal, unusedRetries: a.retryBudget}
	}
	n.recordAttempt(wasabistand.EventCallAdmitted, a, "", "Attempt", strconv.Itoa(a.number), "Importance", a.importance.String())
	call := &wasabicall.Call{RequestID: a.requestID, Caller: a.caller, Kind: a.kind, Importance: a.importance, Deadline: a.deadline, RetryBudget: n.parts.RequestRetryBudget(a.retryBudget)}
	n.calls.Add(call)
	result := n.upstream.forward(runCtx, a, call, s)
	n.calls.Remove(call)
	// Takes the remaining retries instead of reading their number, so that an
	// outgoing call that is still open can't use them as well.
	for call.RetryBudget.Take() {
		result.unusedRetries++
	}
	n.releaseSlot(slot, call, result)
	n.recordUpstreamCall(a, result)
	return result
}

// releaseSlot frees the slot of a call. The limiter gets a sample only of calls
// whose duration was determined by the upstream.
func (n *Node) releaseSlot(slot *trackedCall, call *wasabicall.Call, result attemptResult) {
	var reason wasabistand.Reason
	if result.refusal != nil {
		reason = result.refusal.Reason
	}
	n.monitor.observe(reason)
	switch reason {
	case wasabistand.ReasonConnect, wasabistand.ReasonCancelled, wasabistand.ReasonPreempted, wasabistand.ReasonDeadline, wasabistand.ReasonBadRequest, wasabistand.ReasonTooLarge:
		n.admitter.cancel(slot)
		return
	}
	now := n.now()
	ownTime := max(now.Sub(slot.started)-call.DownstreamTime(now), 0)
	n.dependencies.RecordCall(call.Kind)
	n.admitter.release(slot, ownTime, reason != "")
}

// currentLoad returns the load of this instance that is reported with responses
// to calls of kind k.
func (n *Node) currentLoad(k wasabistand.CallKind) wasabistand.Load {
	l := n.admitter.load()
	now := n.now()
	l.DownstreamLevel = n.dependencies.Level(k, func(child wasabistand.CallKind) wasabistand.Importance {
		return n.levels.level(now, child)
	})
	l.Leaving = n.state() == wasabistand.Leaving
	return l
}
