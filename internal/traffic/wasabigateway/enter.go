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
)

// Times after which a refused caller may come again.
const (
	// retryNotReady covers the start of a session with control.
	retryNotReady = 300 * time.Millisecond
	// retryDefault stands where a refusal says nothing.
	retryDefault = 200 * time.Millisecond
	maxRetry     = 10 * time.Second
)

// request is a caller's request at its entry.
type request struct {
	x        *wasabihttp.Exchange
	id       string
	route    *wasabistand.Route
	service  string
	deadline time.Time
	attempt  attempt
	tried    []string
	arrived  int
	refused  int
	// paid counts the repeats that the budget was charged for.
	paid int
	// uncertain says that an earlier attempt may have run.
	uncertain bool
}

// enter serves one request of a caller, or of the own instance.
func (g *Gateway) enter(ctx context.Context, x *wasabihttp.Exchange) {
	g.entering.Add(1)
	defer g.entering.Add(-1)
	q := &request{x: x, id: x.Request.Header.Get(g.settings.headers.RequestID)}
	if status, why := g.prepare(q); why != nil {
		g.reply(q, status, why)
		return
	}
	body, why := g.readBody(ctx, q)
	if why != nil {
		status := http.StatusServiceUnavailable
		if why.Reason == wasabistand.ReasonTooLarge {
			status = http.StatusRequestEntityTooLarge
		}
		g.reply(q, status, why)
		return
	}
	defer g.held.Add(-body)
	out := g.attempts(ctx, q)
	defer out.answer.end()
	if out.answer != nil {
		g.deliver(q, out)
		return
	}
	g.reply(q, statusOf(out.refusal), out.refusal)
}

// statusOf returns the status of an answer of the node's own. 503 promises
// that the request did not run and will not.
func statusOf(r *wasabistand.Refusal) int {
	switch {
	case r.Outcome == wasabistand.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == wasabistand.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// prepare finds the route of a request and its deadline. A refusal comes with
// its status.
func (g *Gateway) prepare(q *request) (int, *wasabistand.Refusal) {
	r := q.x.Request
	if at := g.stopping.Load(); at != 0 && g.now().Sub(time.Unix(0, at)) > g.settings.refuseAfter {
		return http.StatusServiceUnavailable, wasabistand.NewRefusal(wasabistand.ReasonLeaving, "the node stops").WithRetryAfter(retryNotReady)
	}
	c := g.configuration()
	if c == nil {
		return http.StatusServiceUnavailable, wasabistand.NewRefusal(wasabistand.ReasonNotReady, "no configuration is confirmed yet").WithRetryAfter(retryNotReady)
	}
	path := target(r)
	var ok bool
	if q.route, ok = c.table.Find(r.Host, path); !ok {
		return http.StatusNotFound, wasabistand.NewRefusal(wasabistand.ReasonUnknownCall, fmt.Sprintf("host %.64q, path %.64q: no route of revision %d", r.Host, path, c.revision))
	}
	patience := q.route.Timeout
	if v := r.Header.Get(g.settings.headers.Timeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return http.StatusBadRequest, wasabistand.NewRefusal(wasabistand.ReasonBadRequest, fmt.Sprintf("%s: %.32q, allowed is a whole number of milliseconds", g.settings.headers.Timeout, v))
		}
		if ms <= 0 {
			return http.StatusServiceUnavailable, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience has ended")
		}
		if d := time.Duration(ms) * time.Millisecond; ms < int64(patience/time.Millisecond)+1 && d < patience {
			patience = d
		}
	}
	now := g.now()
	q.deadline = now.Add(patience)
	g.mu.Lock()
	s := g.spread[q.route.Name]
	if len(q.route.Split) > 1 && s == nil {
		s = wasabimatch.NewQuasiRandom(g.parts.Random.Float64())
		g.spread[q.route.Name] = s
	}
	at := 0.0
	if s != nil {
		at = s.Next()
	}
	q.service = wasabimatch.Choose(q.route, at)
	g.budget.RecordRequest(now, q.service)
	known := g.placer.HasInstances(q.service)
	g.mu.Unlock()
	if !known {
		g.learn(q)
	}
	q.attempt = attempt{
		requestID: q.id, service: q.service, route: q.route.Name, origin: g.settings.service,
		method: r.Method, target: path, headers: endToEnd(r.Header), host: r.Host,
		deadline: q.deadline, objective: now.Add(q.route.Objective), importance: q.route.Importance,
		repeatable: q.route.Kind.Retryable(), revision: c.revision, length: r.ContentLength,
	}
	return 0, nil
}

// pipelined reports whether a request may be served beside those before it on
// its connection. If one of them ends the connection, the caller sends the
// request again.
func (g *Gateway) pipelined(r *http.Request) bool {
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

// configuration returns what is in force. A node that has just started waits
// for a short time until its first session is open; nil means that it has none.
func (g *Gateway) configuration() *inForce {
	if c := g.config.Load(); c != nil || g.now().Sub(g.started) > g.settings.firstSession {
		return c
	}
	g.await(g.settings.firstSession, func() bool { return g.config.Load() != nil })
	return g.config.Load()
}

// learn waits until control has told of the instances of a service.
func (g *Gateway) learn(q *request) {
	g.parts.Directory.Subscribe(q.service)
	g.await(min(g.settings.firstUse, time.Until(q.deadline)), func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.placer.HasInstances(q.service)
	})
}

// await takes over what control tells until it suffices, for a time at most.
func (g *Gateway) await(most time.Duration, suffices func() bool) {
	limit := time.NewTimer(most)
	defer limit.Stop()
	for {
		changed := g.parts.Directory.Changed()
		g.update()
		if suffices() {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-g.life.Done():
			return
		}
	}
}

// readBody reads a body as far as it is held, so that it can be sent again.
func (g *Gateway) readBody(ctx context.Context, q *request) (int64, *wasabistand.Refusal) {
	src := q.x.Body()
	if src == nil {
		return 0, nil
	}
	stop := context.AfterFunc(ctx, q.x.StopBody)
	defer stop()
	timer := time.AfterFunc(time.Until(q.deadline), q.x.StopBody)
	defer timer.Stop()
	most := g.settings.bodyBytes
	size := int64(4 << 10)
	if n := q.x.Request.ContentLength; n > 0 {
		size = min(n+1, most)
	}
	if g.held.Add(size) > g.settings.bufferBytes {
		g.held.Add(-size)
		return 0, wasabistand.NewRefusal(wasabistand.ReasonQueueFull, "too many bytes of bodies are held").WithRetryAfter(retryDefault)
	}
	body := make([]byte, 0, size)
	for {
		if int64(len(body)) >= most {
			q.attempt.body, q.attempt.rest = body, src
			return size, nil
		}
		if len(body) == cap(body) {
			grown := min(int64(2*cap(body)), most)
			g.held.Add(grown - size)
			size = grown
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			q.attempt.body, q.attempt.length = body, int64(len(body))
			return size, nil
		}
		if err != nil {
			g.held.Add(-size)
			if errors.Is(err, wasabihttp.ErrBodyLarge) {
				return 0, wasabistand.NewRefusal(wasabistand.ReasonTooLarge, err.Error())
			}
			return 0, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the body did not come: "+err.Error())
		}
	}
}

// deliver writes an upstream's answer to the caller.
func (g *Gateway) deliver(q *request, out outcome) {
	ans := out.answer
	g.metrics.request(q, out, g.now().Sub(q.x.Received))
	g.note("answered", &q.attempt, out)
	if ans.rest == nil {
		_ = q.x.Answer(ans.status, ans.headers, ans.body)
		return
	}
	if q.x.Begin(ans.status, ans.headers, ans.length) != nil {
		return
	}
	if _, err := q.x.Write(ans.body); err != nil {
		return
	}
	p := chunks.Get().(*[]byte)
	defer chunks.Put(p)
	for {
		n, err := ans.rest.Read(*p)
		if n > 0 {
			if _, werr := q.x.Write((*p)[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = q.x.End()
			return
		}
		if err != nil {
			g.note("cut", &q.attempt, unknown(wasabistand.ReasonTruncated, err.Error()))
			q.x.Abort()
			return
		}
	}
}

// reply writes an answer of the node's own.
func (g *Gateway) reply(q *request, status int, r *wasabistand.Refusal) {
	h := g.refusalHeader(q.id)
	if status == http.StatusServiceUnavailable {
		after := r.RetryAfter
		if after <= 0 {
			after = retryDefault
		}
		h["Retry-After"] = []string{strconv.FormatFloat(min(after, maxRetry).Seconds(), 'f', 3, 64)}
	}
	g.metrics.request(q, outcome{refusal: r}, g.now().Sub(q.x.Received))
	g.journal.refused(q, status, r)
	_ = q.x.Answer(status, h, []byte(r.Error()+"\n"))
}
