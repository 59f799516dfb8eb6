package wasabinode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicall"
	"github.com/wasabistand/wasabistand/wasabiheader"
)

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// upstream forwards attempts to the local upstream.
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
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		// Below the idle time after which servers usually close connections,
		// since a request on a connection that was just closed may have run.
		IdleConnTimeout: 30 * time.Second,
	}}
}

func (u *upstream) close() { u.transport.CloseIdleConnections() }

// countedConn knows whether any byte of a request may have left it.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
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

// seal lets no further byte out and reports whether none left since count was
// before.
func (c *countedConn) seal(before int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == before
}

// noReplay is a body that http.Transport can't send twice: it would otherwise
// repeat requests on its own, beyond the retry allowance.
type noReplay struct{ io.Reader }

func (noReplay) Close() error { return nil }

// errorReader keeps the error with which a body ended.
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

func (r *errorReader) failure() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

func (u *upstream) request(ctx context.Context, a *attempt, call *wasabicall.Call) (*http.Request, *errorReader, error) {
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
	// http.Transport repeats requests that carry the canonical name when a
	// kept connection closes, although the first may have run.
	set("idempotency-key", a.key)
	var watched *errorReader
	switch {
	case a.body != nil:
		watched = &errorReader{Reader: a.body}
		r.Body, r.ContentLength = noReplay{watched}, a.length
	case a.method == http.MethodGet || a.method == http.MethodHead || a.method == http.MethodOptions || a.method == http.MethodTrace:
		r.Body = noReplay{emptyReader{}}
	default:
		r.Body = http.NoBody
	}
	return r.WithContext(ctx), watched, nil
}

// forward sends an attempt to the upstream and its answer to s.
func (u *upstream) forward(ctx context.Context, a *attempt, call *wasabicall.Call, s sink) ending {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	var conn *countedConn
	var before int
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*countedConn); ok {
			conn, before = c, c.count()
		}
	}})
	r, watched, err := u.request(traced, a, call)
	if err != nil {
		return refused(wasabistand.NewRefusal(wasabistand.ReasonBadRequest, err.Error()))
	}
	answer, err := u.transport.RoundTrip(r)
	if err != nil {
		if conn == nil || conn.seal(before) {
			return notSent(ctx, err)
		}
		return u.failed(ctx, err, watched.failure())
	}
	defer answer.Body.Close()
	if answer.StatusCode < 200 {
		return u.failed(ctx, Error.New("the upstream answered with status %d", answer.StatusCode), nil)
	}
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(wasabiheader.Shed) == call.Token() {
		after, _ := strconv.Atoi(answer.Header.Get(wasabiheader.RetryAfter))
		_, _ = io.CopyN(io.Discard, answer.Body, 4096)
		return refused(wasabistand.NewRefusal(wasabistand.ReasonShed, "the upstream shed the call").WithRetryAfter(time.Duration(min(max(after, 0), 3600)) * time.Second))
	}
	if err := s.answer(answer.StatusCode, wasabiheader.Forwardable(answer.Header), answer.ContentLength); err != nil {
		return ending{refusal: wasabistand.NewUnknown(wasabistand.ReasonCancelled, err.Error())}
	}
	e := ending{}
	p := chunks.Get().(*[]byte)
	defer chunks.Put(p)
	for {
		n, err := answer.Body.Read(*p)
		if n > 0 {
			e.bytes += int64(n)
			if err := s.body((*p)[:n]); err != nil {
				e.refusal = wasabistand.NewUnknown(wasabistand.ReasonCancelled, err.Error())
				return e
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			bytes := e.bytes
			e = u.failed(ctx, err, watched.failure())
			e.bytes = bytes
			return e
		}
	}
	e.trailers = wasabiheader.Forwardable(answer.Trailer)
	return e
}

// notSent ends an attempt of which no byte left for the upstream.
func notSent(ctx context.Context, err error) ending {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refused(wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience ended before the upstream was reached"))
	case ctx.Err() != nil:
		return refused(wasabistand.NewRefusal(wasabistand.ReasonCancelled, "cancelled before the upstream was reached"))
	}
	return ending{refusal: wasabistand.NewRefusal(wasabistand.ReasonConnect, err.Error()), faulty: true}
}

// failed ends an attempt that may have run.
func (u *upstream) failed(ctx context.Context, err, body error) ending {
	var preempted *wasabistand.Refusal
	switch {
	case errors.As(context.Cause(ctx), &preempted):
		return refused(preempted)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ending{refusal: wasabistand.NewUnknown(wasabistand.ReasonTimeout, "the patience ended before the answer"), faulty: true}
	case ctx.Err() != nil:
		return refused(wasabistand.NewUnknown(wasabistand.ReasonCancelled, "the caller went away"))
	case body != nil:
		return refused(bodyRefusal(body, wasabistand.Unknown))
	}
	return ending{refusal: wasabistand.NewUnknown(wasabistand.ReasonTruncated, err.Error()), faulty: true}
}
