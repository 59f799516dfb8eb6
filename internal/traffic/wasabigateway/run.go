package wasabigateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
)

// minRun is the least time for which a call is passed on: what is left must
// suffice for the way to the upstream and back.
const minRun = 5 * time.Millisecond

// run passes an attempt through the gate to the own upstream. gone ends a
// repeatable call at any time and any other one until it is passed on.
func (g *Gateway) run(gone context.Context, a *attempt) outcome {
	l, refusal := g.local.serving(a.service)
	if refusal != nil {
		return g.withLoad(outcome{refusal: refusal})
	}
	wait, cancel := context.WithDeadline(gone, a.deadline)
	defer cancel()
	id, refusal := g.gate.enter(wait, l.cut, wasabistand.Ticket{
		Caller: a.origin, Importance: a.importance, Deadline: g.waitUntil(a), Cancellable: a.repeatable,
	})
	if refusal != nil {
		return g.withLoad(outcome{refusal: refusal})
	}
	if gone.Err() != nil || l.cutNow() || !g.now().Add(minRun).Before(a.deadline) {
		g.gate.leave(id, 0)
		return g.withLoad(notRun(wasabistand.ReasonDeadline, "the patience ended, or the caller or the instance left, before the call ran"))
	}
	life, stop := context.WithDeadline(context.WithoutCancel(gone), a.deadline.Add(g.settings.answerGrace))
	// A call that can't be repeated outlives its caller, not the node.
	ends := g.life
	if a.repeatable {
		ends = gone
	}
	released := context.AfterFunc(ends, stop)
	defer released()
	started := g.now()
	out := g.forward(life, l, a)
	took := g.now().Sub(started)
	if !out.arrived {
		took = 0
	}
	done := func() {
		stop()
		g.gate.leave(id, took)
	}
	out.took = took
	g.metrics.upstream.WithLabelValues(a.importance.String()).Observe(took.Seconds())
	if out.answer != nil && out.answer.rest != nil {
		closing := out.answer.close
		out.answer.close = func() { closing(); done() }
		return g.withLoad(out)
	}
	done()
	if out.down {
		g.local.unreachable()
	}
	return g.withLoad(out)
}

// waitUntil returns the deadline of an attempt for the queue, which keeps the
// time that calls take from it. A free slot keeps nobody waiting.
func (g *Gateway) waitUntil(a *attempt) time.Time {
	now := g.now()
	l := g.gate.load()
	if l.Running < l.Limit {
		return a.deadline
	}
	return now.Add(wasabiplace.WaitBound(a.deadline.Sub(now), l.ServiceTime))
}

func (g *Gateway) withLoad(o outcome) outcome {
	l := g.gate.load()
	l.Leaving = g.local.leaving()
	o.load = &l
	return o
}

// request builds what the upstream gets.
func (g *Gateway) request(ctx context.Context, l *lease, a *attempt) *http.Request {
	h := make(http.Header, len(a.headers)+6)
	for _, f := range a.headers {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	names := g.settings.headers
	set := func(name, value string) {
		if name != "" {
			h[http.CanonicalHeaderKey(name)] = []string{value}
		}
	}
	set(names.Timeout, strconv.FormatInt(max(a.deadline.Sub(g.now()).Milliseconds(), 1), 10))
	set(names.Origin, a.origin)
	set(names.Expected, l.id)
	u := &url.URL{Opaque: a.target}
	if strings.HasPrefix(a.target, "//") {
		u = &url.URL{Path: a.target}
		if parsed, err := url.ParseRequestURI(a.target); err == nil {
			u = parsed
		}
	}
	r := &http.Request{Method: a.method, URL: u, Host: a.host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case a.rest != nil:
		r.Body, r.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(a.body), a.rest)), a.length
	case len(a.body) > 0 || a.length > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(a.body)), int64(len(a.body))
	}
	return r.WithContext(ctx)
}

// forward sends an attempt to the upstream and reads its answer.
func (g *Gateway) forward(ctx context.Context, l *lease, a *attempt) outcome {
	call, err := l.upstream.Do(ctx, g.request(ctx, l, a))
	switch {
	case errors.Is(err, wasabihttp.ErrFull):
		return notRun(wasabistand.ReasonQueueFull, err.Error())
	case errors.Is(err, wasabihttp.ErrNotSent):
		out := notRun(wasabistand.ReasonConnect, err.Error())
		out.faulty, out.down = true, ctx.Err() == nil
		return out
	case err != nil:
		return g.failed(ctx, err)
	}
	if out, ok := g.judge(call); !ok {
		_ = call.Close()
		return out
	}
	body := make([]byte, 0, bodyHint(call.Answer.ContentLength, g.settings.answerBytes))
	ans := &answer{status: call.Answer.StatusCode, headers: http.Header{}, length: call.Answer.ContentLength}
	for _, f := range endToEnd(call.Answer.Header) {
		ans.headers[f.Name] = append(ans.headers[f.Name], f.Value)
	}
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := call.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			_ = call.Close()
			ans.body, ans.length = body, int64(len(body))
			return outcome{answer: ans, arrived: true}
		}
		if err != nil {
			_ = call.Close()
			return g.failed(ctx, err)
		}
		if len(body) >= g.settings.answerBytes {
			ans.body, ans.rest = body, call
			ans.close = func() { _ = call.Close() }
			return outcome{answer: ans, arrived: true}
		}
	}
}

// bodyHint sizes a buffer: one byte more than the length lets the read find
// the end at once.
func bodyHint(length int64, most int) int {
	if length < 0 || length > int64(most) {
		return 4 << 10
	}
	return int(length) + 1
}

// judge decides whether an answer is one of the upstream to the request.
func (g *Gateway) judge(call *wasabihttp.Call) (outcome, bool) {
	names, status, h := g.settings.headers, call.Answer.StatusCode, call.Answer.Header
	promised := names.NotRun != "" && h.Get(names.NotRun) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		out := notRun(wasabistand.ReasonNotReady, "another instance has the address")
		out.arrived, out.faulty = true, true
		return out, false
	case promised && status >= 400:
		out := notRun(wasabistand.ReasonShed, "the upstream shed the call")
		out.arrived = true
		return out, false
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		// Passed on, the status would say that the call did not run.
		out := unknown(wasabistand.ReasonTruncated, "the upstream answered with "+strconv.Itoa(status)+" without saying that the call did not run")
		out.faulty = true
		return out, false
	case status < 300 && names.Signature != "" && h.Get(names.Signature) == "", h.Get("Content-Encoding") != "":
		out := unknown(wasabistand.ReasonTruncated, "the answer is not the upstream's")
		out.faulty = true
		return out, false
	}
	return outcome{}, true
}

// failed ends an attempt that may have run.
func (g *Gateway) failed(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out := unknown(wasabistand.ReasonTimeout, "the patience ended before the answer")
		out.faulty = true
		return out
	case ctx.Err() != nil:
		return unknown(wasabistand.ReasonCancelled, "the caller went away")
	}
	out := unknown(wasabistand.ReasonTruncated, err.Error())
	out.faulty = true
	return out
}
