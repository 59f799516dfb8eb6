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

// minRunTime is the least remaining time with which a call is sent to the upstream:
// it must suffice for the way there and back.
const minRunTime = 5 * time.Millisecond

// runLocal sends an attempt through the admission queue to the local upstream. The
// end of callerCtx cancels a retryable call at any time, and any other call until
// it is sent. A call that was withdrawn, or waits when the gateway stops, is refused.
func (g *Gateway) runLocal(callerCtx context.Context, a *attempt) outcome {
	l, refusal := g.local.currentLease(a.service)
	if refusal != nil {
		return g.withLoad(outcome{refusal: refusal})
	}
	queueCtx, cancel := context.WithDeadline(callerCtx, a.deadline)
	defer cancel()
	ends := waitEnds{revoked: l.revoked, stopping: g.waitCtx.Done(), withdrawn: a.withdrawn}
	id, refusal := g.queue.acquire(queueCtx, ends, wasabistand.Ticket{
		Caller: a.origin, Importance: a.importance, Deadline: g.queueDeadline(a), Cancellable: a.retryable,
	})
	if refusal != nil {
		return g.withLoad(outcome{refusal: refusal})
	}
	if ends.haveEnded() {
		g.queue.release(id, 0)
		return g.withLoad(notRunOutcome(wasabistand.ReasonLeaving, "the instance or a node left before the call ran"))
	}
	if callerCtx.Err() != nil || !g.now().Add(minRunTime).Before(a.deadline) {
		g.queue.release(id, 0)
		return g.withLoad(notRunOutcome(wasabistand.ReasonDeadline, "the patience ended, or the caller left, before the call ran"))
	}
	callCtx, cancelCall := context.WithDeadline(context.WithoutCancel(callerCtx), a.deadline.Add(g.settings.responseGrace))
	// A call that can't be retried continues after its caller has gone, but not
	// after the node has stopped.
	parent := g.ctx
	if a.retryable {
		parent = callerCtx
	}
	stopWatch := context.AfterFunc(parent, cancelCall)
	started := g.now()
	out := g.forward(callCtx, l, a)
	elapsed := g.now().Sub(started)
	if !out.arrived {
		elapsed = 0
	}
	release := func() {
		stopWatch()
		cancelCall()
		g.queue.release(id, elapsed)
	}
	out.serviceTime = elapsed
	g.metrics.upstreamTime.WithLabelValues(a.importance.String()).Observe(elapsed.Seconds())
	if out.response != nil && out.response.rest != nil {
		closeBody := out.response.close
		out.response.close = func() { closeBody(); release() }
		return g.withLoad(out)
	}
	release()
	if out.unreachable {
		g.local.markUnreachable()
	}
	return g.withLoad(out)
}

// queueDeadline returns the deadline of an attempt in the queue, which leaves time
// for the call itself. While a slot is free no call waits, so the deadline of the
// attempt is used.
func (g *Gateway) queueDeadline(a *attempt) time.Time {
	now := g.now()
	l := g.queue.load()
	if l.Running < l.Limit {
		return a.deadline
	}
	return now.Add(wasabiplace.WaitBound(a.deadline.Sub(now), l.ServiceTime))
}

func (g *Gateway) withLoad(o outcome) outcome {
	l := g.queue.load()
	l.Leaving = g.local.isLeaving()
	o.load = &l
	return o
}

// upstreamRequest builds the request that the upstream receives.
func (g *Gateway) upstreamRequest(ctx context.Context, l *lease, a *attempt) *http.Request {
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
		r.Body, r.ContentLength = newRequestBody(a.body, a.rest), a.length
	case len(a.body) > 0 || a.length > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(a.body)), int64(len(a.body))
	}
	return r.WithContext(ctx)
}

// forward sends an attempt to the upstream and reads the response.
func (g *Gateway) forward(ctx context.Context, l *lease, a *attempt) outcome {
	call, err := l.upstream.Do(ctx, g.upstreamRequest(ctx, l, a))
	switch {
	case errors.Is(err, wasabihttp.ErrFull):
		return notRunOutcome(wasabistand.ReasonQueueFull, err.Error())
	case errors.Is(err, wasabihttp.ErrNotSent):
		out := notRunOutcome(wasabistand.ReasonConnect, err.Error())
		out.faulty, out.unreachable = true, ctx.Err() == nil
		return out
	case err != nil:
		return g.failedOutcome(ctx, err)
	}
	if out, ok := g.checkResponse(call); !ok {
		if !out.faulty {
			// A refusal that was read whole leaves the connection for further calls.
			_, _ = io.Copy(io.Discard, io.LimitReader(call, maxRefusalBytes))
		}
		_ = call.Close()
		return out
	}
	body := make([]byte, 0, bodyBufferSize(call.Response.ContentLength, g.settings.maxBufferedResponse))
	resp := &response{status: call.Response.StatusCode, headers: http.Header{}, length: call.Response.ContentLength}
	for _, f := range endToEndFields(call.Response.Header) {
		resp.headers[f.Name] = append(resp.headers[f.Name], f.Value)
	}
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := call.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			_ = call.Close()
			resp.body, resp.length = body, int64(len(body))
			return outcome{response: resp, arrived: true}
		}
		if err != nil {
			_ = call.Close()
			return g.failedOutcome(ctx, err)
		}
		if len(body) >= g.settings.maxBufferedResponse {
			resp.body, resp.rest = body, call
			resp.close = func() { _ = call.Close() }
			return outcome{response: resp, arrived: true}
		}
	}
}

// maxRefusalBytes bounds the body of an upstream's refusal. A refusal with a longer
// body closes its connection.
const maxRefusalBytes = 4 << 10

// bodyBufferSize returns the initial size of a response buffer. One byte more than
// the length lets the read find the end at once.
func bodyBufferSize(length int64, limit int) int {
	if length < 0 || length > int64(limit) {
		return 4 << 10
	}
	return int(length) + 1
}

// checkResponse checks that a response was made by the upstream for this request
// and that the call ran. Otherwise it returns the outcome of the attempt and false.
func (g *Gateway) checkResponse(call *wasabihttp.Call) (outcome, bool) {
	names, status, h := g.settings.headers, call.Response.StatusCode, call.Response.Header
	declaredNotRun := names.NotRun != "" && h.Get(names.NotRun) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		out := notRunOutcome(wasabistand.ReasonNotReady, "another instance has the address")
		out.arrived, out.faulty = true, true
		return out, false
	case declaredNotRun && status >= 400:
		out := notRunOutcome(wasabistand.ReasonShed, "the upstream shed the call")
		out.arrived = true
		return out, false
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		// If forwarded, the status would tell the caller that the call did not run.
		out := unknownOutcome(wasabistand.ReasonTruncated, "the upstream answered with "+strconv.Itoa(status)+" without saying that the call did not run")
		out.faulty = true
		return out, false
	case status < 300 && names.Signature != "" && h.Get(names.Signature) == "", h.Get("Content-Encoding") != "":
		out := unknownOutcome(wasabistand.ReasonTruncated, "the answer is not the upstream's")
		out.faulty = true
		return out, false
	}
	return outcome{}, true
}

// failedOutcome returns the outcome of an attempt that may have run.
func (g *Gateway) failedOutcome(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out := unknownOutcome(wasabistand.ReasonTimeout, "the patience ended before the answer")
		out.faulty = true
		return out
	case ctx.Err() != nil:
		return unknownOutcome(wasabistand.ReasonCancelled, "the caller went away")
	}
	out := unknownOutcome(wasabistand.ReasonTruncated, err.Error())
	out.faulty = true
	return out
}
