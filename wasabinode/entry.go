package wasabinode

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"hash/maphash"
	"net/http"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicall"
	"github.com/wasabistand/wasabistand/wasabiheader"
)

// ingressCall is a call that a caller makes through this node.
type ingressCall struct {
	fields      wasabiheader.Fields
	config      *activeConfig
	policy      wasabistand.CallPolicy
	parent      *wasabicall.Call
	caller      wasabistand.Caller
	kind        wasabistand.CallKind
	deadline    time.Time
	retryBudget wasabistand.RequestRetryBudget
	// importance applies to the whole call tree.
	importance wasabistand.Importance
	body       *callBody
	started    time.Time
	status     int // of the response
}

// ServeHTTP handles a call from a caller: a client, or the local upstream while
// it serves another call.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &ingressCall{started: n.now()}
	var refusal *wasabistand.Refusal
	if c.fields, refusal = wasabiheader.Parse(r); refusal == nil {
		c.parent = n.calls.Find(c.fields.Call)
		if refusal = n.ingressCalls.add(c.parent != nil); refusal == nil {
			defer n.ingressCalls.remove()
			refusal = n.prepare(c, r)
		}
	}
	switch {
	case c.fields.Request != "":
	case c.parent != nil:
		c.fields.Request = c.parent.RequestID
	default:
		c.fields.Request = rand.Text()
	}
	if refusal == nil {
		c.body = newCallBody(w, r, n.settings, c.policy.MaxBodyBytes, c.deadline.Sub(n.now()))
		defer c.body.stop()
		if c.parent == nil {
			refusal = n.dispatch(w, r, c)
		} else {
			refusal = n.dispatchOutgoing(w, r, c)
		}
	}
	if refusal != nil {
		n.writeRefusal(w, c, refusal)
	}
}

var signatureSeed = maphash.MakeSeed()

// dispatchOutgoing dispatches a call that the upstream makes while it serves
// another. A retry by the upstream is charged to the retry budget of the call
// tree.
func (n *Node) dispatchOutgoing(w http.ResponseWriter, r *http.Request, c *ingressCall) *wasabistand.Refusal {
	signature := maphash.String(signatureSeed, strings.Join([]string{c.kind.Service, r.Method, r.URL.RequestURI(), c.fields.Key}, "\x00"))
	if c.parent.IsRetry(signature) && !c.parent.RetryBudget.Take() {
		return wasabistand.NewRefusal(wasabistand.ReasonCallerShare, "the retries of this call tree are used up")
	}
	c.parent.BeginOutgoing(n.now())
	n.dependencies.RecordOutgoing(c.parent.Kind, c.kind)
	// finish panics after a truncated response, so failed starts as true.
	failed := true
	defer func() {
		c.parent.EndOutgoing(n.now())
		if failed {
			c.parent.RecordFailure(signature)
		}
	}()
	refusal := n.dispatch(w, r, c)
	failed = refusal != nil || c.status >= http.StatusInternalServerError || c.status == http.StatusTooManyRequests
	return refusal
}

// writeRefusal records a call that ended without a complete response and sends
// the refusal to the caller.
func (n *Node) writeRefusal(w http.ResponseWriter, c *ingressCall, refusal *wasabistand.Refusal) {
	kind := wasabistand.EventCallRefused
	if refusal.Outcome != wasabistand.NotRun {
		kind = wasabistand.EventCallUnknown
	}
	n.recordIngress(kind, c, refusal.Reason)
	n.metrics.recordCall(c, refusal.Outcome.String(), refusal.Reason, n.now().Sub(c.started))
	w.Header().Set(wasabiheader.Request, c.fields.Request)
	wasabiheader.WriteRefusal(w, refusal, c.fields.Request, n.random())
}

// responseReserveDivisor sets the part of a call's timeout that is reserved for
// returning the response: 1/8, at most Settings.responseReserve.
const responseReserveDivisor = 8

// prepare looks up the policies of the call and its caller, checks the call
// against them, and sets its deadline, importance and retry budget.
func (n *Node) prepare(c *ingressCall, r *http.Request) *wasabistand.Refusal {
	if c.config = n.activeConfig(); c.config == nil {
		return wasabistand.NewRefusal(wasabistand.ReasonNotReady, "no configuration is confirmed yet")
	}
	if !c.config.index.Has(c.fields.Service) {
		return wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, fmt.Sprintf("%s: %q is not declared", wasabiheader.Service, c.fields.Service))
	}
	var ok bool
	if c.policy, ok = c.config.index.Match(c.fields.Service, r.Method, r.URL.EscapedPath()); !ok {
		return wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, fmt.Sprintf("%s %.200q: no call of service %q matches", r.Method, r.URL.Path, c.fields.Service))
	}
	c.kind = wasabistand.CallKind{Service: c.fields.Service, Call: c.policy.Name}
	n.directory.Subscribe(c.fields.Service)
	if !c.policy.Idempotent && c.fields.Key == "" {
		return wasabistand.NewRefusal(wasabistand.ReasonBadRequest, fmt.Sprintf("%s: absent, required for %s", wasabiheader.IdempotencyKey, c.kind))
	}
	if limit := c.policy.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return wasabistand.NewRefusal(wasabistand.ReasonTooLarge, fmt.Sprintf("Content-Length: %d, at most %d are allowed", r.ContentLength, limit))
	}
	retries := n.identify(c)
	timeout := c.caller.MaxTimeout
	if t := c.policy.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	if t := c.fields.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	c.deadline = c.started.Add(timeout)
	if p := c.parent; p != nil {
		if p.Deadline.Before(c.deadline) {
			c.deadline = p.Deadline
		}
		c.retryBudget, c.importance = p.RetryBudget, p.Importance
		return nil
	}
	c.deadline = c.deadline.Add(-min(timeout/responseReserveDivisor, n.settings.responseReserve))
	c.retryBudget, c.importance = n.parts.RequestRetryBudget(retries), c.policy.Importance
	if retryAfter := n.callerLimits.take(c.started, c.config.account(c.caller.Name), c.caller); retryAfter > 0 {
		return wasabistand.NewRefusal(wasabistand.ReasonCallerShare, fmt.Sprintf("caller %q: more than %g calls a second", c.caller.Name, c.caller.CallsPerSecond)).WithRetryAfter(retryAfter)
	}
	return nil
}

// account returns the name under which a caller's rate limit is accounted.
// Callers without a policy share one account, since otherwise a caller could
// evade its limit by changing its name.
func (c *activeConfig) account(caller string) string {
	if _, ok := c.configuration.Callers[caller]; ok {
		return caller
	}
	return wasabistand.DefaultCaller
}

// identify sets the caller and its policy, and returns the retry budget of a new
// call tree. A call that may belong to a call tree which can't be found gets no
// retries, so that an upstream that loses the call token does not multiply
// retries.
func (n *Node) identify(c *ingressCall) int {
	configuration := c.config.configuration
	if c.parent != nil {
		// Calls of one tree keep the name of the tree's caller, also in claims.
		c.caller = configuration.Callers[c.config.account(c.parent.Caller)]
		c.caller.Name = c.parent.Caller
		return 0
	}
	treeUnknown := c.fields.Call != "" || c.fields.Caller == "" || c.fields.Request != "" && n.calls.HasRequest(c.fields.Request)
	name, retries := c.fields.Caller, configuration.Retry.PerRequest
	if treeUnknown {
		name, retries = n.settings.service, 0
	}
	c.caller = configuration.Callers[c.config.account(name)]
	c.caller.Name = name
	return retries
}

// dispatch sends a prepared call to an instance and writes the response. A
// non-nil refusal means that nothing was written to the caller.
func (n *Node) dispatch(w http.ResponseWriter, r *http.Request, c *ingressCall) *wasabistand.Refusal {
	if n.levels.shouldRefuse(n.now(), c.kind, c.importance) {
		return wasabistand.NewRefusal(wasabistand.ReasonLevel, fmt.Sprintf("%s is refused below a higher importance than %s", c.kind, c.importance))
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline.Add(responseGrace))
	defer cancel()
	out := &callerSink{node: n, call: c, writer: w, request: r, mustComplete: !c.policy.Idempotent}
	if c.policy.Idempotent {
		return n.finish(c, out, n.sendWithRetries(ctx, r, c, out))
	}
	prefix, err := c.body.prefix(fingerprintBytes)
	if err != nil {
		return bodyRefusal(err, wasabistand.NotRun)
	}
	now := n.now()
	claim := wasabistand.Claim{
		Caller:      c.caller.Name,
		Service:     c.kind.Service,
		Key:         c.fields.Key,
		HomeRegion:  c.caller.HomeRegion,
		Call:        n.claimSequence.Add(1),
		Fingerprint: fingerprint(c.kind.Service, r, prefix),
		Expires:     earlier(now.Add(n.settings.claimTimeout), c.deadline),
		Deadline:    c.deadline,
	}
	response, refusal := n.takeClaim(ctx, claim)
	if refusal != nil {
		return refusal
	}
	if response != nil {
		n.recordIngress(wasabistand.EventCallAnswered, c, wasabistand.ReasonAlreadyRun)
		n.metrics.recordCall(c, "replayed", "", n.now().Sub(c.started))
		w.Header().Set(wasabiheader.Request, c.fields.Request)
		c.status = response.Status
		replay(w, r, response)
		return nil
	}
	n.recordIngress(wasabistand.EventClaimTaken, c, "")
	// From here on the call runs until its deadline even if the caller
	// disconnects, so that its outcome can be recorded.
	callCtx, release := context.WithDeadline(n.callsCtx, c.deadline.Add(responseGrace))
	defer release()
	result := n.sendWithRetries(callCtx, r, c, out)
	n.settleClaim(claim, out.recorded.settlement(result.refusal))
	return n.finish(c, out, result)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// finish completes the response. If the response was truncated, it aborts the
// caller's connection by a panic, since the response must not look complete.
func (n *Node) finish(c *ingressCall, out *callerSink, result attemptResult) *wasabistand.Refusal {
	if result.refusal != nil && !out.started {
		return result.refusal
	}
	if result.refusal == nil {
		out.writeTrailers(result.trailers)
		n.recordIngress(wasabistand.EventCallAnswered, c, "")
		n.metrics.recordCall(c, wasabistand.Answered.String(), "", n.now().Sub(c.started))
		return nil
	}
	kind := wasabistand.EventCallUnknown
	if result.refusal.Reason == wasabistand.ReasonCancelled {
		kind = wasabistand.EventCallCancelled
	}
	n.recordIngress(kind, c, result.refusal.Reason)
	n.metrics.recordCall(c, result.refusal.Outcome.String(), result.refusal.Reason, n.now().Sub(c.started))
	out.abort()
	panic(http.ErrAbortHandler)
}

var errCallerWrite = errors.New("the caller does not take the answer")
