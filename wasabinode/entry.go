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

// incoming is a call that a caller makes through this node.
type incoming struct {
	fields    wasabiheader.Fields
	view      *view
	contract  wasabistand.CallPolicy
	parent    *wasabicall.Call
	caller    wasabistand.Caller
	kind      wasabistand.CallKind
	deadline  time.Time
	allowance wasabistand.RequestRetryBudget
	// importance is that of the whole tree.
	importance wasabistand.Importance
	body       *callBody
	started    time.Time
	status     int // of the answer
}

// ServeHTTP serves a caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &incoming{started: n.now()}
	var refusal *wasabistand.Refusal
	if c.fields, refusal = wasabiheader.Parse(r); refusal == nil {
		c.parent = n.calls.Find(c.fields.Call)
		if refusal = n.entering.enter(c.parent != nil); refusal == nil {
			defer n.entering.leave()
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
		c.body = newCallBody(w, r, n.settings, c.contract.MaxBodyBytes, c.deadline.Sub(n.now()))
		defer c.body.stop()
		if c.parent == nil {
			refusal = n.call(w, r, c)
		} else {
			refusal = n.outgoing(w, r, c)
		}
	}
	if refusal != nil {
		n.refuse(w, c, refusal)
	}
}

var signatureSeed = maphash.MakeSeed()

// outgoing is call for a call that the upstream makes while it runs another.
func (n *Node) outgoing(w http.ResponseWriter, r *http.Request, c *incoming) *wasabistand.Refusal {
	signature := maphash.String(signatureSeed, strings.Join([]string{c.kind.Service, r.Method, r.URL.RequestURI(), c.fields.Key}, "\x00"))
	if c.parent.IsRetry(signature) && !c.parent.RetryBudget.Take() {
		return wasabistand.NewRefusal(wasabistand.ReasonCallerShare, "the retries of this call tree are used up")
	}
	c.parent.BeginOutgoing(n.now())
	n.needs.RecordOutgoing(c.parent.Kind, c.kind)
	// A cut answer ends this function by a panic.
	failed := true
	defer func() {
		c.parent.EndOutgoing(n.now())
		if failed {
			c.parent.RecordFailure(signature)
		}
	}()
	refusal := n.call(w, r, c)
	failed = refusal != nil || c.status >= http.StatusInternalServerError || c.status == http.StatusTooManyRequests
	return refusal
}

// refuse answers a call without a whole answer.
func (n *Node) refuse(w http.ResponseWriter, c *incoming, refusal *wasabistand.Refusal) {
	kind := wasabistand.EventCallRefused
	if refusal.Outcome != wasabistand.NotRun {
		kind = wasabistand.EventCallUnknown
	}
	n.recordEntry(kind, c, refusal.Reason)
	n.metrics.entry(c, refusal.Outcome.String(), refusal.Reason, n.now().Sub(c.started))
	w.Header().Set(wasabiheader.Request, c.fields.Request)
	wasabiheader.WriteRefusal(w, refusal, c.fields.Request, n.random())
}

// reserveShare is the part of a caller's patience, as one in so many, that is
// kept for the way back of an answer.
const reserveShare = 8

// prepare finds the contracts of a call and checks it against them.
func (n *Node) prepare(c *incoming, r *http.Request) *wasabistand.Refusal {
	if c.view = n.snapshot(); c.view == nil {
		return wasabistand.NewRefusal(wasabistand.ReasonNotReady, "no configuration is confirmed yet")
	}
	if !c.view.index.Has(c.fields.Service) {
		return wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, fmt.Sprintf("%s: %q is not declared", wasabiheader.Service, c.fields.Service))
	}
	var ok bool
	if c.contract, ok = c.view.index.Match(c.fields.Service, r.Method, r.URL.EscapedPath()); !ok {
		return wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, fmt.Sprintf("%s %.200q: no call of service %q matches", r.Method, r.URL.Path, c.fields.Service))
	}
	c.kind = wasabistand.CallKind{Service: c.fields.Service, Call: c.contract.Name}
	n.directory.Subscribe(c.fields.Service)
	if !c.contract.Idempotent && c.fields.Key == "" {
		return wasabistand.NewRefusal(wasabistand.ReasonBadRequest, fmt.Sprintf("%s: absent, required for %s", wasabiheader.IdempotencyKey, c.kind))
	}
	if limit := c.contract.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return wasabistand.NewRefusal(wasabistand.ReasonTooLarge, fmt.Sprintf("Content-Length: %d, at most %d are allowed", r.ContentLength, limit))
	}
	retries := n.identify(c)
	patience := c.caller.MaxTimeout
	if t := c.contract.Timeout; t > 0 {
		patience = min(patience, t)
	}
	if t := c.fields.Timeout; t > 0 {
		patience = min(patience, t)
	}
	c.deadline = c.started.Add(patience)
	if p := c.parent; p != nil {
		if p.Deadline.Before(c.deadline) {
			c.deadline = p.Deadline
		}
		c.allowance, c.importance = p.RetryBudget, p.Importance
		return nil
	}
	c.deadline = c.deadline.Add(-min(patience/reserveShare, n.settings.answerReserve))
	c.allowance, c.importance = n.parts.Allowance(retries), c.contract.Importance
	if after := n.shares.take(c.started, c.view.account(c.caller.Name), c.caller); after > 0 {
		return wasabistand.NewRefusal(wasabistand.ReasonCallerShare, fmt.Sprintf("caller %q: more than %g calls a second", c.caller.Name, c.caller.CallsPerSecond)).WithRetryAfter(after)
	}
	return nil
}

// account returns the name under which a caller's share is counted. Callers
// that are not listed share one account: a caller must not gain a new share by
// giving itself a new name.
func (v *view) account(caller string) string {
	if _, ok := v.contracts.Callers[caller]; ok {
		return caller
	}
	return wasabistand.DefaultCaller
}

// identify finds the caller's contract and returns the retry allowance of a
// new call tree. A call that may belong to a tree which can't be found gets no
// retry, so that an upstream that loses the token does not multiply retries.
func (n *Node) identify(c *incoming) int {
	contracts := c.view.contracts
	if c.parent != nil {
		// The tree's caller keeps its name, also for claims.
		c.caller = contracts.Callers[c.view.account(c.parent.Caller)]
		c.caller.Name = c.parent.Caller
		return 0
	}
	lost := c.fields.Call != "" || c.fields.Caller == "" || c.fields.Request != "" && n.calls.HasRequest(c.fields.Request)
	name, retries := c.fields.Caller, contracts.Retry.PerRequest
	if lost {
		name, retries = n.settings.service, 0
	}
	c.caller = contracts.Callers[c.view.account(name)]
	c.caller.Name = name
	return retries
}

// call brings a checked call to its end. A refusal means that nothing was
// written to the caller.
func (n *Node) call(w http.ResponseWriter, r *http.Request, c *incoming) *wasabistand.Refusal {
	if n.levels.refuse(n.now(), c.kind, c.importance) {
		return wasabistand.NewRefusal(wasabistand.ReasonLevel, fmt.Sprintf("%s is refused below a higher importance than %s", c.kind, c.importance))
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline.Add(answerGrace))
	defer cancel()
	out := &callerSink{node: n, call: c, writer: w, request: r, keep: !c.contract.Idempotent}
	if c.contract.Idempotent {
		return n.finish(c, out, n.attempts(ctx, r, c, out))
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
		Call:        n.claimed.Add(1),
		Fingerprint: fingerprint(c.kind.Service, r, prefix),
		Expires:     earlier(now.Add(n.settings.claimTime), c.deadline),
		Deadline:    c.deadline,
	}
	answer, refusal := n.claim(ctx, claim)
	if refusal != nil {
		return refusal
	}
	if answer != nil {
		n.recordEntry(wasabistand.EventCallAnswered, c, wasabistand.ReasonAlreadyRun)
		n.metrics.entry(c, "replayed", "", n.now().Sub(c.started))
		w.Header().Set(wasabiheader.Request, c.fields.Request)
		c.status = answer.Status
		replay(w, r, answer)
		return nil
	}
	n.recordEntry(wasabistand.EventClaimTaken, c, "")
	// From here the call goes on without its caller, until its deadline, so
	// that its outcome can be recorded.
	alive, release := context.WithDeadline(n.life, c.deadline.Add(answerGrace))
	defer release()
	e := n.attempts(alive, r, c, out)
	n.settle(claim, out.recorded.settlement(e.refusal))
	return n.finish(c, out, e)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// finish completes the answer, or ends the caller's connection when the
// answer was cut: it must not look complete.
func (n *Node) finish(c *incoming, out *callerSink, e ending) *wasabistand.Refusal {
	if e.refusal != nil && !out.started {
		return e.refusal
	}
	if e.refusal == nil {
		out.trailers(e.trailers)
		n.recordEntry(wasabistand.EventCallAnswered, c, "")
		n.metrics.entry(c, wasabistand.Answered.String(), "", n.now().Sub(c.started))
		return nil
	}
	kind := wasabistand.EventCallUnknown
	if e.refusal.Reason == wasabistand.ReasonCancelled {
		kind = wasabistand.EventCallCancelled
	}
	n.recordEntry(kind, c, e.refusal.Reason)
	n.metrics.entry(c, e.refusal.Outcome.String(), e.refusal.Reason, n.now().Sub(c.started))
	out.abort()
	panic(http.ErrAbortHandler)
}

var errCallerWrite = errors.New("the caller does not take the answer")
