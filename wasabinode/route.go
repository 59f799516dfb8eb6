package wasabinode

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiheader"
)

// sendWithRetries sends a call to one instance after another until one responds
// or no further retry is allowed.
func (n *Node) sendWithRetries(ctx context.Context, r *http.Request, c *ingressCall, out *callerSink) attemptResult {
	a := &attempt{
		requestID:      c.fields.Request,
		kind:           c.kind,
		caller:         c.caller.Name,
		method:         r.Method,
		path:           r.URL.RequestURI(),
		headers:        append(wasabiheader.Forwardable(r.Header), wasabistand.HeaderField{Name: "Host", Value: r.Host}),
		deadline:       c.deadline,
		importance:     c.importance,
		idempotent:     c.policy.Idempotent,
		idempotencyKey: c.fields.Key,
		revision:       c.config.revision,
	}
	if c.body != nil {
		a.bodyLength = r.ContentLength
	}
	var last attemptResult
	var mayHaveRun bool
	var tried []string
	var avoid string
	n.budget.attempt(n.now())
	n.awaitInstances(ctx, c.kind.Service)
	for {
		q := wasabistand.Query{
			Service:    c.kind.Service,
			Importance: c.importance,
			From:       n.settings.location,
			Remaining:  c.deadline.Sub(n.now()),
			Bytes:      max(a.bodyLength, 0),
			Exclude:    tried,
			Avoid:      avoid,
		}
		instance, refusal := n.pick(q)
		if refusal != nil {
			if last.refusal == nil {
				return refusedResult(refusal)
			}
			return combineOutcome(last, mayHaveRun)
		}
		body, ok := c.body.open()
		if !ok {
			n.router.done(n.now(), c.kind.Service, instance.ID, wasabistand.Result{Outcome: wasabistand.NotRun})
			return combineOutcome(last, mayHaveRun)
		}
		a.body = body
		last = n.sendAttempt(ctx, instance, a, c, out)
		if last.refusal == nil || out.started {
			return last
		}
		mayHaveRun = mayHaveRun || last.refusal.Outcome != wasabistand.NotRun
		if !n.takeRetry(ctx, c, last.refusal) {
			return combineOutcome(last, mayHaveRun)
		}
		a.number++
		tried = append(tried, instance.ID)
		avoid = instance.Location.FailureDomain
		n.recordAttempt(wasabistand.EventCallRetried, a, last.refusal.Reason, "Attempt", strconv.Itoa(a.number), "InsteadOf", instance.ID)
		n.metrics.recordRetry(c.kind, last.refusal.Reason)
	}
}

// firstUseTimeout limits the wait for the instances of a service that this node
// has not called before. A push from the control instances takes a few
// milliseconds.
const firstUseTimeout = 250 * time.Millisecond

// awaitInstances waits until the control instances have sent the instances of a
// service, at most firstUseTimeout.
func (n *Node) awaitInstances(ctx context.Context, service string) {
	firstUsed, known := n.router.firstUse(n.now(), service)
	if known || n.now().Sub(firstUsed) >= firstUseTimeout {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstUseTimeout)
	defer cancel()
	for {
		changed := n.directory.Changed()
		n.router.refresh(n.now(), n.directory)
		if _, known := n.router.firstUse(n.now(), service); known {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// combineOutcome returns the result of a call from that of its last attempt. If
// an earlier attempt may have run, the call must not be reported as not run.
func combineOutcome(result attemptResult, mayHaveRun bool) attemptResult {
	if mayHaveRun && result.refusal.Outcome == wasabistand.NotRun {
		c := *result.refusal
		c.Outcome = wasabistand.Unknown
		result.refusal = &c
	}
	return result
}

// sendAttempt sends a call to one instance and reports the result to the router
// and the observed levels.
func (n *Node) sendAttempt(ctx context.Context, i wasabistand.Instance, a *attempt, c *ingressCall, out *callerSink) attemptResult {
	granted := c.retryBudget.Split()
	a.retryBudget = granted
	send := n.serveLocal
	if i.ID != n.settings.instance {
		send = n.sendTo(i.LinkAddress)
	}
	started := n.now()
	result := send(ctx, a, out)
	now := n.now()
	if !result.retriesUnknown {
		c.retryBudget.Return(granted, min(result.unusedRetries, granted))
	}
	report := wasabistand.Result{Outcome: wasabistand.Answered, Failed: result.instanceFailed, Latency: now.Sub(started), Bytes: result.bytes + max(a.bodyLength, 0), Load: result.load}
	if result.refusal != nil {
		report.Outcome = result.refusal.Outcome
	}
	n.router.done(now, c.kind.Service, i.ID, report)
	n.levels.observe(now, c.kind, result.load)
	return result
}

// takeRetry reports whether another attempt is allowed. If so, it charges the
// request retry budget and the instance's retry budget.
func (n *Node) takeRetry(ctx context.Context, c *ingressCall, r *wasabistand.Refusal) bool {
	if ctx.Err() != nil || !c.deadline.After(n.now()) || !c.body.replayable() || c.body.readErr() != nil {
		return false
	}
	if r.Outcome != wasabistand.NotRun && !c.policy.Idempotent || !isRetryableElsewhere(r.Reason) {
		return false
	}
	return c.retryBudget.Remaining() > 0 && n.budget.retry(n.now()) && c.retryBudget.Take()
}

// isRetryableElsewhere reports whether a call that failed with reason r may
// succeed at another instance. Retries of calls that fail at all instances alike
// because of their load, or of invalid calls, would only add load.
func isRetryableElsewhere(r wasabistand.Reason) bool {
	return slices.Contains([]wasabistand.Reason{
		wasabistand.ReasonQueueFull, wasabistand.ReasonDisplaced, wasabistand.ReasonLevel, wasabistand.ReasonDeadline,
		wasabistand.ReasonLeaving, wasabistand.ReasonNotReady, wasabistand.ReasonConnect,
		wasabistand.ReasonLinkLost, wasabistand.ReasonTruncated, wasabistand.ReasonShed, wasabistand.ReasonPreempted,
	}, r)
}

func (n *Node) pick(q wasabistand.Query) (wasabistand.Instance, *wasabistand.Refusal) {
	if q.Remaining <= 0 {
		return wasabistand.Instance{}, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience ended")
	}
	i, err := n.router.pick(n.now(), q)
	if err == nil {
		return i, nil
	}
	if refusal := (*wasabistand.Refusal)(nil); errors.As(err, &refusal) {
		return i, refusal
	}
	return i, wasabistand.NewRefusal(wasabistand.ReasonNoInstance, err.Error())
}

// callerSink is the responseSink that writes to the caller.
type callerSink struct {
	node         *Node
	call         *ingressCall
	writer       http.ResponseWriter
	request      *http.Request
	mustComplete bool // continue after the caller disconnected, and record the response
	started      bool
	callerGone   bool
	flush        bool
	bodyAllowed  bool
	recorded     recording
}

func (s *callerSink) writeHeader(status int, headers []wasabistand.HeaderField, length int64) error {
	if s.started {
		return errCallerWrite
	}
	h := s.writer.Header()
	for _, f := range headers {
		if wasabiheader.IsForwardable(http.CanonicalHeaderKey(f.Name)) {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(wasabiheader.Outcome, wasabistand.Answered.String())
	h.Set(wasabiheader.Request, s.call.fields.Request)
	if s.mustComplete {
		s.recorded.status, s.recorded.headers = status, headers
	}
	s.started, s.call.status = true, status
	s.bodyAllowed = bodyAllowed(s.request.Method, status)
	s.flush = s.bodyAllowed && length < 0
	// A caller that reads slowly must not hold the upstream's slot beyond the
	// call's deadline.
	controller := http.NewResponseController(s.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(s.call.deadline.Sub(s.node.now()) + responseGrace))
	omitContentType(s.writer.Header())
	s.writer.WriteHeader(status)
	if s.flush {
		return s.handleWriteError(controller.Flush())
	}
	return nil
}

func (s *callerSink) writeBody(p []byte) error {
	if s.mustComplete {
		s.recorded.add(p)
	}
	if s.callerGone || !s.bodyAllowed {
		return nil
	}
	if _, err := s.writer.Write(p); err != nil {
		return s.handleWriteError(err)
	}
	if s.flush {
		return s.handleWriteError(http.NewResponseController(s.writer).Flush())
	}
	return nil
}

// handleWriteError marks the caller as gone after a failed write. It returns nil
// for a call that must be completed without its caller, so that its outcome is
// recorded.
func (s *callerSink) handleWriteError(err error) error {
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	s.callerGone = true
	if s.mustComplete {
		return nil
	}
	return err
}

func (s *callerSink) writeTrailers(list []wasabistand.HeaderField) {
	for _, f := range list {
		if wasabiheader.IsForwardable(http.CanonicalHeaderKey(f.Name)) {
			s.writer.Header().Add(http.TrailerPrefix+f.Name, f.Value)
		}
	}
}

// abort makes the connection end with a reset for HTTP/1.0 callers, which can't
// detect a truncated response otherwise.
func (s *callerSink) abort() {
	if s.request.ProtoMajor == 1 && s.request.ProtoMinor == 0 {
		if c, ok := s.request.Context().Value(connKey{}).(interface{ SetLinger(int) error }); ok {
			_ = c.SetLinger(0)
		}
	}
}
