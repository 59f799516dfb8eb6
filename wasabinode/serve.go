package wasabinode

import (
	"context"
	"strconv"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicall"
)

// run is the carrier to the local upstream for the node's own callers.
func (n *Node) run(ctx context.Context, a *attempt, s sink) ending {
	refusal := n.serving.enter(false)
	if refusal == nil {
		defer n.serving.leave()
	}
	return n.serve(ctx, a, s, refusal)
}

// serve is run for an attempt that was let in, or refused.
func (n *Node) serve(ctx context.Context, a *attempt, s sink, refusal *wasabistand.Refusal) ending {
	if refusal == nil {
		refusal = n.servable(a)
	}
	var e ending
	if refusal == nil {
		e = n.admit(ctx, a, s)
	} else {
		n.refusedHere(a, refusal)
		e = ending{refusal: refusal, unused: a.allowance}
	}
	load := n.load(a.kind)
	e.load = &load
	return e
}

func (n *Node) servable(a *attempt) *wasabistand.Refusal {
	switch {
	case a.kind.Service != n.settings.service:
		return wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, "service: "+strconv.Quote(a.kind.Service)+", this instance serves "+strconv.Quote(n.settings.service))
	case n.snapshot() == nil:
		return wasabistand.NewRefusal(wasabistand.ReasonNotReady, "no configuration is confirmed yet")
	}
	return nil
}

func (n *Node) admit(ctx context.Context, a *attempt, s sink) ending {
	running, preempt := context.WithCancelCause(ctx)
	if !a.idempotent {
		// Once it is dispatched its outcome must be known.
		running, preempt = context.WithCancelCause(n.life)
	}
	defer preempt(nil)
	ticket := wasabistand.Ticket{Caller: n.snapshot().account(a.caller), Importance: a.importance, Deadline: a.deadline, Cancellable: a.idempotent}
	waiting, cancel := context.WithDeadline(ctx, a.deadline)
	slot, refusal := n.admitter.enter(waiting, ticket, preempt)
	cancel()
	if refusal == nil && ctx.Err() != nil {
		n.admitter.abandon(slot)
		refusal = wasabistand.NewRefusal(wasabistand.ReasonCancelled, "cancelled in the queue")
	}
	if refusal != nil {
		n.refusedHere(a, refusal)
		return ending{refusal: refusal, unused: a.allowance}
	}
	n.record(wasabistand.EventCallAdmitted, a, "", "Attempt", strconv.Itoa(a.number), "Importance", a.importance.String())
	call := &wasabicall.Call{RequestID: a.requestID, Caller: a.caller, Kind: a.kind, Importance: a.importance, Deadline: a.deadline, RetryBudget: n.parts.Allowance(a.allowance)}
	n.calls.Add(call)
	e := n.upstream.forward(running, a, call, s)
	n.calls.Remove(call)
	// Taking what is left, not reading it, keeps an outgoing call that is
	// still open from using it as well.
	for call.RetryBudget.Take() {
		e.unused++
	}
	n.settleSlot(slot, call, e)
	n.served(a, e)
	return e
}

// settleSlot frees the slot and lets the limiter learn from calls whose time
// is the upstream's.
func (n *Node) settleSlot(slot *admitted, call *wasabicall.Call, e ending) {
	var reason wasabistand.Reason
	if e.refusal != nil {
		reason = e.refusal.Reason
	}
	n.watch.observe(reason)
	switch reason {
	case wasabistand.ReasonConnect, wasabistand.ReasonCancelled, wasabistand.ReasonPreempted, wasabistand.ReasonDeadline, wasabistand.ReasonBadRequest, wasabistand.ReasonTooLarge:
		n.admitter.abandon(slot)
		return
	}
	now := n.now()
	own := max(now.Sub(slot.started)-call.DownstreamTime(now), 0)
	n.needs.RecordCall(call.Kind)
	n.admitter.leave(slot, own, reason != "")
}

// load is what an answer to a kind of call tells of this instance.
func (n *Node) load(k wasabistand.CallKind) wasabistand.Load {
	l := n.admitter.load()
	now := n.now()
	l.DownstreamLevel = n.needs.Level(k, func(child wasabistand.CallKind) wasabistand.Importance {
		return n.levels.level(now, child)
	})
	l.Leaving = n.state() == wasabistand.Leaving
	return l
}
