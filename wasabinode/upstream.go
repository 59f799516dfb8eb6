package wasabinode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/edge/wasabihead"
	"github.com/wasabistand/wasabistand/wasabicall"
	"github.com/wasabistand/wasabistand/wasabiheader"
)

// maxResponseHeadBytes bounds the head of an upstream's response.
const maxResponseHeadBytes = 1 << 20

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// upstream is the HTTP client for the local upstream.
type upstream struct {
	base      *url.URL
	transport *http.Transport
	now       func() time.Time
}

func newUpstream(base *url.URL, connections int, now func() time.Time) *upstream {
	var d net.Dialer
	return &upstream{base: base, now: now, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			head := wasabihead.NewResponseConn(wasabihead.NewConn(c), maxResponseHeadBytes)
			return &countedConn{Conn: head, head: head}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		// Shorter than the idle timeout of most servers, since a request on a
		// connection that the server has just closed may have run.
		IdleConnTimeout: 30 * time.Second,
	}}
}

func (u *upstream) close() { u.transport.CloseIdleConnections() }

// countedConn counts writes, to determine whether any byte of a request may have
// been sent.
type countedConn struct {
	net.Conn
	head   *wasabihead.ResponseConn
	mu     sync.Mutex
	writes int
	sealed bool
	// names holds the IDs and tokens of the latest calls on the connection.
	names []string
}

// maxCallNames bounds the names that are kept for a connection.
const maxCallNames = 32

// isForEarlierCall reports whether a response names an earlier call on the
// connection, as when an upstream repeats a response, and records the names of this
// call. Upstreams need not name the call in their responses, and may pass on the
// names of calls that they made.
func (c *countedConn) isForEarlierCall(h http.Header, id, token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	earlier := func(name, current string) bool {
		return name != "" && name != current && slices.Contains(c.names, name)
	}
	found := earlier(h.Get(wasabiheader.Request), id) || earlier(h.Get(wasabiheader.Shed), token)
	c.names = append(c.names, id, token)
	if n := len(c.names); n > maxCallNames {
		c.names = slices.Delete(c.names, 0, n-maxCallNames)
	}
	return found
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

func (c *countedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal rejects further writes and reports whether nothing was written since
// count returned writesBefore.
func (c *countedConn) seal(writesBefore int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == writesBefore
}

// singleUseBody is a body that http.Transport can't send twice. Otherwise the
// transport would retry requests on its own, beyond the retry budget.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// errorReader records the error that ended a body, other than io.EOF.
type errorReader struct {
	io.Reader
	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
	return n, err
}

func (r *errorReader) readErr() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

func (u *upstream) newRequest(ctx context.Context, a *attempt, call *wasabicall.Call) (*http.Request, *errorReader, error) {
	target, err := url.ParseRequestURI(a.path)
	if err != nil {
		return nil, nil, err
	}
	target.Scheme, target.Host = u.base.Scheme, u.base.Host
	r := &http.Request{Method: a.method, URL: target, Host: u.base.Host, Header: make(http.Header, len(a.headers)+6), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	for _, h := range a.headers {
		switch h.Name {
		case "Host":
			r.Host = h.Value
		case "Content-Length", wasabiheader.IdempotencyKey:
		case "X-Idempotency-Key":
			r.Header["x-idempotency-key"] = append(r.Header["x-idempotency-key"], h.Value)
		default:
			r.Header[h.Name] = append(r.Header[h.Name], h.Value)
		}
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	set := func(name, value string) {
		if value != "" {
			r.Header[name] = []string{value}
		}
	}
	set(wasabiheader.Request, a.requestID)
	set(wasabiheader.Call, call.Token())
	set(wasabiheader.Timeout, strconv.FormatInt(max(a.deadline.Sub(u.now()).Milliseconds(), 1), 10))
	set(wasabiheader.Importance, a.importance.String())
	set(wasabiheader.Caller, a.caller)
	// The name is not in canonical form, since http.Transport would retry a
	// request with the canonical header when a kept-alive connection closes,
	// although the first attempt may have run.
	set("idempotency-key", a.idempotencyKey)
	var tracked *errorReader
	switch {
	case a.body != nil:
		tracked = &errorReader{Reader: a.body}
		r.Body, r.ContentLength = singleUseBody{tracked}, a.bodyLength
	case a.method == http.MethodGet || a.method == http.MethodHead || a.method == http.MethodOptions || a.method == http.MethodTrace:
		r.Body = singleUseBody{emptyReader{}}
	default:
		r.Body = http.NoBody
	}
	return r.WithContext(ctx), tracked, nil
}

// forward sends an attempt to the upstream and streams the response to s.
func (u *upstream) forward(ctx context.Context, a *attempt, call *wasabicall.Call, s responseSink) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	var conn *countedConn
	var writesBefore int
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*countedConn); ok {
			conn, writesBefore = c, c.count()
			c.head.Expect()
		}
	}})
	r, tracked, err := u.newRequest(tracedCtx, a, call)
	if err != nil {
		return refusedResult(wasabistand.NewRefusal(wasabistand.ReasonBadRequest, err.Error()))
	}
	response, err := u.transport.RoundTrip(r)
	if err != nil {
		if conn == nil || conn.seal(writesBefore) {
			return notSentResult(ctx, err)
		}
		return u.failedResult(ctx, err, tracked.readErr())
	}
	defer response.Body.Close()
	if conn != nil && !conn.head.Checked() {
		_ = conn.Close()
		return u.failedResult(ctx, Error.New("the upstream answered before it got the call"), nil)
	}
	if response.StatusCode < 200 {
		return u.failedResult(ctx, Error.New("the upstream answered with status %d", response.StatusCode), nil)
	}
	if conn != nil && conn.isForEarlierCall(response.Header, a.requestID, call.Token()) {
		// Whatever follows on the connection can't be assigned to a call either.
		_ = conn.Close()
		return u.failedResult(ctx, Error.New("the upstream repeated its response to an earlier call"), nil)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(wasabiheader.Shed) == call.Token() {
		retryAfter, _ := strconv.Atoi(response.Header.Get(wasabiheader.RetryAfter))
		_, _ = io.CopyN(io.Discard, response.Body, 4096)
		return refusedResult(wasabistand.NewRefusal(wasabistand.ReasonShed, "the upstream shed the call").WithRetryAfter(time.Duration(min(max(retryAfter, 0), 3600)) * time.Second))
	}
	if err := s.writeHeader(response.StatusCode, wasabiheader.Forwardable(response.Header), response.ContentLength); err != nil {
		return attemptResult{refusal: wasabistand.NewUnknown(wasabistand.ReasonCancelled, err.Error())}
	}
	result := attemptResult{}
	p := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(p)
	for {
		n, err := response.Body.Read(*p)
		if n > 0 {
			result.bytes += int64(n)
			if err := s.writeBody((*p)[:n]); err != nil {
				result.refusal = wasabistand.NewUnknown(wasabistand.ReasonCancelled, err.Error())
				return result
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			bytes := result.bytes
			result = u.failedResult(ctx, err, tracked.readErr())
			result.bytes = bytes
			return result
		}
	}
	result.trailers = wasabiheader.Forwardable(response.Trailer)
	return result
}

// notSentResult returns the result of an attempt of which no byte was sent.
func notSentResult(ctx context.Context, err error) attemptResult {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusedResult(wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience ended before the upstream was reached"))
	case ctx.Err() != nil:
		return refusedResult(wasabistand.NewRefusal(wasabistand.ReasonCancelled, "cancelled before the upstream was reached"))
	}
	return attemptResult{refusal: wasabistand.NewRefusal(wasabistand.ReasonConnect, err.Error()), instanceFailed: true}
}

// failedResult returns the result of a failed attempt that may have run.
func (u *upstream) failedResult(ctx context.Context, err, bodyErr error) attemptResult {
	var preempted *wasabistand.Refusal
	switch {
	case errors.As(context.Cause(ctx), &preempted):
		return refusedResult(preempted)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return attemptResult{refusal: wasabistand.NewUnknown(wasabistand.ReasonTimeout, "the patience ended before the answer"), instanceFailed: true}
	case ctx.Err() != nil:
		return refusedResult(wasabistand.NewUnknown(wasabistand.ReasonCancelled, "the caller went away"))
	case bodyErr != nil:
		return refusedResult(bodyRefusal(bodyErr, wasabistand.Unknown))
	}
	return attemptResult{refusal: wasabistand.NewUnknown(wasabistand.ReasonTruncated, err.Error()), instanceFailed: true}
}
