package wasabigateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
	"github.com/wasabistand/wasabistand/internal/policy/wasabimatch"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
)

// Retry-After values of refusals.
const (
	// retryAfterLeaving is long enough for callers to switch to another node.
	retryAfterLeaving = 300 * time.Millisecond
	// retryAfterUnconfirmed is half of the time between two renewals of a session.
	retryAfterUnconfirmed = 500 * time.Millisecond
	// defaultRetryAfter is used for refusals that set no time.
	defaultRetryAfter = 200 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
)

// request is a caller's request at its entry node.
type request struct {
	x        *wasabihttp.Exchange
	id       string
	route    *wasabistand.Route
	service  string
	deadline time.Time
	attempt  attempt
	// rest is the part of the body that is not buffered, nil if there is none.
	rest  *callerBody
	tried []string
	// revision is that of the configuration that has no route for the request, 0 for
	// others.
	revision uint64
	// unconfirmed is how long control had not confirmed that revision.
	unconfirmed time.Duration
	// arrivedCount counts the attempts that may have reached an upstream,
	// refusedCount those that have not.
	arrivedCount int
	refusedCount int
	// chargedRetries counts the retries that were charged to the budget.
	chargedRetries int
	// mayHaveRun reports whether an earlier attempt may have run.
	mayHaveRun bool
}

// handleRequest serves one request of a caller or of the local instance.
func (g *Gateway) handleRequest(ctx context.Context, x *wasabihttp.Exchange) {
	g.ingressRequests.Add(1)
	defer g.ingressRequests.Add(-1)
	q := &request{x: x, id: x.Request.Header.Get(g.settings.headers.RequestID)}
	if status, refusal := g.prepare(ctx, q); refusal != nil {
		g.writeRefusal(q, status, refusal)
		return
	}
	buffered, refusal := g.bufferBody(ctx, q)
	if refusal != nil {
		status := http.StatusServiceUnavailable
		if refusal.Reason == wasabistand.ReasonTooLarge {
			status = http.StatusRequestEntityTooLarge
		}
		g.writeRefusal(q, status, refusal)
		return
	}
	defer g.heldBodyBytes.Add(-buffered)
	// The connection's reader continues when the request has ended.
	defer q.rest.Close()
	out := g.runAttempts(ctx, q)
	if out.response != nil && out.response.rest != nil && !q.x.ReserveStream() {
		out = g.holdResponse(q, out)
	}
	defer out.response.release()
	if out.response != nil {
		g.writeResponse(q, out)
		return
	}
	g.writeRefusal(q, statusOf(out.refusal), out.refusal)
}

// statusOf returns the status of a response that the node generates itself. 503
// promises that the request did not run and will not run.
func statusOf(r *wasabistand.Refusal) int {
	switch {
	case r.Outcome == wasabistand.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == wasabistand.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// prepare determines the route, service and deadline of a request, and waits if the
// instances of the service are not known yet. A refusal is returned with its status.
func (g *Gateway) prepare(ctx context.Context, q *request) (int, *wasabistand.Refusal) {
	r := q.x.Request
	if at := g.stoppingSince.Load(); at != 0 && g.now().Sub(time.Unix(0, at)) > g.settings.refuseAfter {
		return http.StatusServiceUnavailable, wasabistand.NewRefusal(wasabistand.ReasonLeaving, "the node stops").WithRetryAfter(retryAfterLeaving)
	}
	callerTimeout, refusal := g.callerTimeout(r)
	switch {
	case refusal == nil:
	case refusal.Reason == wasabistand.ReasonBadRequest:
		return http.StatusBadRequest, refusal
	default:
		return statusOf(refusal), refusal
	}
	c, retryAfter := g.awaitConfiguration(ctx, callerTimeout)
	if c == nil {
		return http.StatusServiceUnavailable, wasabistand.NewRefusal(wasabistand.ReasonNotReady, "no configuration is confirmed yet").WithRetryAfter(retryAfter)
	}
	path := target(r)
	var ok bool
	if q.route, ok = c.table.Find(r.Host, path); !ok {
		// What was confirmed is in the view, which may not be applied here yet.
		age := g.unconfirmed()
		if v := g.parts.Directory.View(); v != nil && v.Revision > c.revision {
			g.applyView()
			c = g.config.Load()
			q.route, ok = c.table.Find(r.Host, path)
		}
		if !ok {
			return g.refuseUnknownRoute(q, c.revision, age)
		}
	}
	timeout := q.route.Timeout
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout)
	}
	now := g.now()
	q.deadline = q.x.Received.Add(timeout)
	g.mu.Lock()
	s := g.splitSequences[q.route.Name]
	if len(q.route.Split) > 1 && s == nil {
		s = wasabimatch.NewQuasiRandom(g.parts.Random.Float64())
		g.splitSequences[q.route.Name] = s
	}
	at := 0.0
	if s != nil {
		at = s.Next()
	}
	q.service = wasabimatch.Choose(q.route, at)
	g.budget.RecordRequest(now, q.service)
	hasInstances := g.placer.HasInstances(q.service)
	g.mu.Unlock()
	if !hasInstances {
		g.waitForInstances(ctx, q)
	}
	if ctx.Err() != nil {
		return http.StatusServiceUnavailable, wasabistand.NewRefusal(wasabistand.ReasonCancelled, "the caller went away while the request waited")
	}
	q.attempt = attempt{
		requestID: q.id, service: q.service, route: q.route.Name, origin: g.settings.service,
		method: r.Method, target: path, headers: endToEndFields(r.Header), host: r.Host,
		deadline: q.deadline, objective: q.x.Received.Add(q.route.Objective), importance: q.route.Importance,
		retryable: q.route.Kind.Retryable(), revision: c.revision, length: r.ContentLength,
	}
	return 0, nil
}

// unconfirmed returns how long control has not confirmed the configuration, 0 if that is
// unknown.
func (g *Gateway) unconfirmed() time.Duration {
	if g.parts.Unconfirmed == nil {
		return 0
	}
	return g.parts.Unconfirmed()
}

// refuseUnknownRoute returns the refusal of a request without a route. If control has not
// confirmed the revision lately, a change may have added one.
func (g *Gateway) refuseUnknownRoute(q *request, revision uint64, age time.Duration) (int, *wasabistand.Refusal) {
	q.revision, q.unconfirmed = revision, age
	detail := fmt.Sprintf("host %.64q, path %.64q: no route of revision %d", q.x.Request.Host, target(q.x.Request), revision)
	if age >= g.settings.configurationTime {
		detail += fmt.Sprintf(", which control last confirmed %.1f s ago", age.Seconds())
		return http.StatusServiceUnavailable, wasabistand.NewRefusal(wasabistand.ReasonUnconfirmed, detail).WithRetryAfter(retryAfterUnconfirmed)
	}
	g.metrics.unknownRoutes.Inc()
	return http.StatusNotFound, wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, detail)
}

// isPipelinable reports whether a request may be served concurrently with earlier
// ones on its connection. It must be retryable: if one of them closes the
// connection, the caller retries the request.
func (g *Gateway) isPipelinable(r *http.Request) bool {
	c := g.config.Load()
	if c == nil {
		return false
	}
	route, ok := c.table.Find(r.Host, target(r))
	return ok && route.Kind.Retryable()
}

// target returns the path and query of a request as they were sent.
func target(r *http.Request) string {
	if r.URL.Host != "" {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

// maxCallerTimeout bounds the timeouts that callers may set.
const maxCallerTimeout = 24 * time.Hour

// callerTimeout returns the timeout that a caller set, 0 for none.
func (g *Gateway) callerTimeout(r *http.Request) (time.Duration, *wasabistand.Refusal) {
	v := r.Header.Get(g.settings.headers.Timeout)
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, wasabistand.NewRefusal(wasabistand.ReasonBadRequest, fmt.Sprintf("%s: %.32q, allowed is a whole number of milliseconds", g.settings.headers.Timeout, v))
	}
	if ms <= 0 {
		return 0, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience has ended")
	}
	return time.Duration(min(ms, maxCallerTimeout.Milliseconds())) * time.Millisecond, nil
}

// awaitConfiguration returns the applied configuration. A node that has just started
// waits for it; if there is still none, the result is nil and the time after which the
// caller should return.
func (g *Gateway) awaitConfiguration(ctx context.Context, timeout time.Duration) (*appliedConfig, time.Duration) {
	if c := g.config.Load(); c != nil {
		return c, 0
	}
	wait, retryAfter := wasabiplace.StartupWait(g.now().Sub(g.started), g.settings.startupLimit, timeout)
	if wait > 0 {
		g.waitFor(ctx, wait, func() bool { return g.config.Load() != nil })
	}
	return g.config.Load(), retryAfter
}

// waitForInstances waits until control has reported the instances of a service.
func (g *Gateway) waitForInstances(ctx context.Context, q *request) {
	g.parts.Directory.Subscribe(q.service)
	g.waitFor(ctx, min(g.settings.instanceWait, time.Until(q.deadline)), func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.placer.HasInstances(q.service)
	})
}

// waitFor applies updates from control until done returns true, the timeout has passed
// or ctx ends.
func (g *Gateway) waitFor(ctx context.Context, timeout time.Duration, done func() bool) {
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	for {
		changed := g.parts.Directory.Changed()
		g.applyView()
		if done() {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		case <-g.waitCtx.Done():
			return
		}
	}
}

// bufferBody reads a body up to the buffer limit, so that a retry can send it
// again. It returns the number of bytes that it added to heldBodyBytes.
func (g *Gateway) bufferBody(ctx context.Context, q *request) (int64, *wasabistand.Refusal) {
	src := q.x.Body()
	if src == nil {
		return 0, nil
	}
	stop := context.AfterFunc(ctx, q.x.StopBody)
	defer stop()
	timer := time.AfterFunc(time.Until(q.deadline), q.x.StopBody)
	defer timer.Stop()
	stopAtWithdrawal := context.AfterFunc(g.waitCtx, q.x.StopBody)
	defer stopAtWithdrawal()
	limit := g.settings.maxBufferedBody
	size := int64(4 << 10)
	if n := q.x.Request.ContentLength; n > 0 {
		size = min(n+1, limit)
	}
	if g.heldBodyBytes.Add(size) > g.settings.maxBufferedBytes {
		g.heldBodyBytes.Add(-size)
		return 0, wasabistand.NewRefusal(wasabistand.ReasonQueueFull, "too many bytes of bodies are held").WithRetryAfter(defaultRetryAfter)
	}
	body := make([]byte, 0, size)
	for {
		if int64(len(body)) >= limit {
			q.attempt.body, q.rest = body, &callerBody{body: src, interrupt: q.x.StopBody}
			return size, nil
		}
		if len(body) == cap(body) {
			newSize := min(int64(2*cap(body)), limit)
			g.heldBodyBytes.Add(newSize - size)
			size = newSize
			body = append(make([]byte, 0, newSize), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			q.attempt.body, q.attempt.length = body, int64(len(body))
			return size, nil
		}
		if err != nil {
			g.heldBodyBytes.Add(-size)
			if errors.Is(err, wasabihttp.ErrBodyLarge) {
				return 0, wasabistand.NewRefusal(wasabistand.ReasonTooLarge, err.Error())
			}
			return 0, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the body did not come: "+err.Error())
		}
	}
}
