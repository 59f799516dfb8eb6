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

// attempts sends a call to one instance after another until one answers or
// the rules allow no further attempt.
func (n *Node) attempts(ctx context.Context, r *http.Request, c *incoming, out *callerSink) ending {
	a := &attempt{
		requestID:  c.fields.Request,
		kind:       c.kind,
		caller:     c.caller.Name,
		method:     r.Method,
		path:       r.URL.RequestURI(),
		headers:    append(wasabiheader.Forwardable(r.Header), wasabistand.HeaderField{Name: "Host", Value: r.Host}),
		deadline:   c.deadline,
		importance: c.importance,
		idempotent: c.contract.Idempotent,
		key:        c.fields.Key,
		revision:   c.view.revision,
	}
	if c.body != nil {
		a.length = r.ContentLength
	}
	var last ending
	var uncertain bool
	var tried []string
	var avoid string
	n.budget.attempt(n.now())
	n.learnOf(ctx, c.kind.Service)
	for {
		q := wasabistand.Query{
			Service:    c.kind.Service,
			Importance: c.importance,
			From:       n.settings.location,
			Remaining:  c.deadline.Sub(n.now()),
			Bytes:      max(a.length, 0),
			Exclude:    tried,
			Avoid:      avoid,
		}
		instance, refusal := n.pick(q)
		if refusal != nil {
			if last.refusal == nil {
				return refused(refusal)
			}
			return certain(last, uncertain)
		}
		body, ok := c.body.open()
		if !ok {
			n.router.done(n.now(), c.kind.Service, instance.ID, wasabistand.Result{Outcome: wasabistand.NotRun})
			return certain(last, uncertain)
		}
		a.body = body
		last = n.attempt(ctx, instance, a, c, out)
		if last.refusal == nil || out.started {
			return last
		}
		uncertain = uncertain || last.refusal.Outcome != wasabistand.NotRun
		if !n.again(ctx, c, last.refusal) {
			return certain(last, uncertain)
		}
		a.number++
		tried = append(tried, instance.ID)
		avoid = instance.Location.FailureDomain
		n.record(wasabistand.EventCallRetried, a, last.refusal.Reason, "Attempt", strconv.Itoa(a.number), "InsteadOf", instance.ID)
		n.metrics.retry(c.kind, last.refusal.Reason)
	}
}

// firstUseTime bounds the wait for the instances of a service that this node
// has not called before: a push from control takes a few milliseconds.
const firstUseTime = 250 * time.Millisecond

// learnOf waits until control has told of a service's instances.
func (n *Node) learnOf(ctx context.Context, service string) {
	since, known := n.router.firstUse(n.now(), service)
	if known || n.now().Sub(since) >= firstUseTime {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstUseTime)
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

// certain returns how a call ended whose earlier attempts may have run.
func certain(e ending, uncertain bool) ending {
	if uncertain && e.refusal.Outcome == wasabistand.NotRun {
		c := *e.refusal
		c.Outcome = wasabistand.Unknown
		e.refusal = &c
	}
	return e
}

// attempt sends a call to one instance and learns from how it ended.
func (n *Node) attempt(ctx context.Context, i wasabistand.Instance, a *attempt, c *incoming, out *callerSink) ending {
	granted := c.allowance.Split()
	a.allowance = granted
	carry := n.run
	if i.ID != n.settings.instance {
		carry = n.remote(i.LinkAddress)
	}
	started := n.now()
	e := carry(ctx, a, out)
	now := n.now()
	if !e.lost {
		c.allowance.Return(granted, min(e.unused, granted))
	}
	result := wasabistand.Result{Outcome: wasabistand.Answered, Failed: e.faulty, Latency: now.Sub(started), Bytes: e.bytes + max(a.length, 0), Load: e.load}
	if e.refusal != nil {
		result.Outcome = e.refusal.Outcome
	}
	n.router.done(now, c.kind.Service, i.ID, result)
	n.levels.learn(now, c.kind, e.load)
	return e
}

// again reports whether the rules allow another attempt, and pays for it.
func (n *Node) again(ctx context.Context, c *incoming, r *wasabistand.Refusal) bool {
	if ctx.Err() != nil || !c.deadline.After(n.now()) || !c.body.replayable() || c.body.failure() != nil {
		return false
	}
	if r.Outcome != wasabistand.NotRun && !c.contract.Idempotent || !elsewhere(r.Reason) {
		return false
	}
	return c.allowance.Remaining() > 0 && n.budget.retry(n.now()) && c.allowance.Take()
}

// elsewhere reports whether a call that ended for a reason may fare better at
// another instance. Retries for load that is the same everywhere, or of calls
// that are wrong in themselves, only add load.
func elsewhere(r wasabistand.Reason) bool {
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

// callerSink writes an answer to the caller.
type callerSink struct {
	node     *Node
	call     *incoming
	writer   http.ResponseWriter
	request  *http.Request
	keep     bool // go on without the caller, and record the answer
	started  bool
	gone     bool
	flush    bool
	allowed  bool
	recorded recording
}

func (s *callerSink) answer(status int, headers []wasabistand.HeaderField, length int64) error {
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
	if s.keep {
		s.recorded.status, s.recorded.headers = status, headers
	}
	s.started, s.call.status = true, status
	s.allowed = bodyAllowed(s.request.Method, status)
	s.flush = s.allowed && length < 0
	// A caller that reads slowly must not hold the upstream's slot longer
	// than its patience.
	control := http.NewResponseController(s.writer)
	_ = control.SetWriteDeadline(time.Now().Add(s.call.deadline.Sub(s.node.now()) + answerGrace))
	keepType(s.writer.Header())
	s.writer.WriteHeader(status)
	if s.flush {
		return s.check(control.Flush())
	}
	return nil
}

func (s *callerSink) body(p []byte) error {
	if s.keep {
		s.recorded.add(p)
	}
	if s.gone || !s.allowed {
		return nil
	}
	if _, err := s.writer.Write(p); err != nil {
		return s.check(err)
	}
	if s.flush {
		return s.check(http.NewResponseController(s.writer).Flush())
	}
	return nil
}

// check lets a call that must be recorded go on when its caller is gone.
func (s *callerSink) check(err error) error {
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	s.gone = true
	if s.keep {
		return nil
	}
	return err
}

func (s *callerSink) trailers(list []wasabistand.HeaderField) {
	for _, f := range list {
		if wasabiheader.IsForwardable(http.CanonicalHeaderKey(f.Name)) {
			s.writer.Header().Add(http.TrailerPrefix+f.Name, f.Value)
		}
	}
}

// abort makes the end of the connection a reset for callers that can't tell a
// cut answer otherwise.
func (s *callerSink) abort() {
	if s.request.ProtoMajor == 1 && s.request.ProtoMinor == 0 {
		if c, ok := s.request.Context().Value(connKey{}).(interface{ SetLinger(int) error }); ok {
			_ = c.SetLinger(0)
		}
	}
}
