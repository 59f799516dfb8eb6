package wasabihttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
)

var limits = wasabihttp.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

func serve(t *testing.T, l wasabihttp.Limits, h wasabihttp.Handler) (*wasabihttp.Server, string) {
	t.Helper()
	return serveWith(t, l, h, func(*wasabihttp.Server) {})
}

func serveWith(t *testing.T, l wasabihttp.Limits, h wasabihttp.Handler, change func(*wasabihttp.Server)) (*wasabihttp.Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := wasabihttp.NewServer(h, l, 16)
	change(s)
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		assert.NilError(t, s.Close())
		<-done
	})
	return s, ln.Addr().String()
}

func echo(_ context.Context, x *wasabihttp.Exchange) {
	var body []byte
	if r := x.Body(); r != nil {
		body, _ = io.ReadAll(r)
	}
	_ = x.Respond(http.StatusOK, http.Header{"X-Path": {x.Request.RequestURI}}, body)
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c, bufio.NewReader(c)
}

// responseHead is the head of a response.
type responseHead struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

func readResponse(t *testing.T, r *bufio.Reader) (responseHead, string) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return responseHead{a.StatusCode, a.Header, a.Close}, string(b)
}

// Guards against pipelined requests that are answered out of order, lost, or read
// as part of the previous body.
func TestPipelinedRequests(t *testing.T) {
	_, address := serve(t, limits, echo)
	c, r := dial(t, address)
	var b strings.Builder
	for i := range 20 {
		if i%3 == 0 {
			fmt.Fprintf(&b, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n%02d\r\n0\r\n\r\n", i, i)
		} else {
			fmt.Fprintf(&b, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		}
	}
	_, err := io.WriteString(c, b.String())
	assert.NilError(t, err)
	for i := range 20 {
		a, body := readResponse(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), fmt.Sprintf("/%d", i))
		if i%3 == 0 {
			assert.Equal(t, body, fmt.Sprintf("%02d", i))
		}
	}
}

// Guards against wasted work for a caller that has disconnected, also one that had
// sent a further request before.
func TestDisconnectCancelsContext(t *testing.T) {
	for _, ahead := range []string{"", "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"} {
		started, cancelled := make(chan struct{}, 2), make(chan error, 2)
		_, address := serve(t, limits, func(ctx context.Context, x *wasabihttp.Exchange) {
			started <- struct{}{}
			<-ctx.Done()
			cancelled <- context.Cause(ctx)
			x.Abort()
		})
		c, _ := dial(t, address)
		_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"+ahead)
		assert.NilError(t, err)
		<-started
		assert.NilError(t, c.Close())
		assert.ErrorIs(t, <-cancelled, wasabihttp.ErrCallerGone)
		assert.Equal(t, len(started), 0, "the further request must not be served")
	}
}

// Guards against a request that goes on waiting after its caller has disconnected behind
// a part of its body that is not read yet, and against one that is cancelled although its
// caller is still there.
func TestDisconnectBehindUnreadBody(t *testing.T) {
	started, cancelled := make(chan struct{}, 2), make(chan error, 2)
	_, address := serve(t, limits, func(ctx context.Context, x *wasabihttp.Exchange) {
		_, err := io.ReadFull(x.Body(), make([]byte, 1000))
		assert.Check(t, err)
		started <- struct{}{}
		<-ctx.Done()
		cancelled <- context.Cause(ctx)
		x.Abort()
	})
	leaves, _ := dial(t, address)
	stays, _ := dial(t, address)
	for _, c := range []net.Conn{leaves, stays} {
		_, err := io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("b", 30000))
		assert.NilError(t, err)
		<-started
	}
	assert.NilError(t, leaves.Close())
	assert.ErrorIs(t, <-cancelled, wasabihttp.ErrCallerGone)
	select {
	case err := <-cancelled:
		t.Fatalf("cancelled although its caller is there: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
}

// Guards against requests beyond the limits that are served, or that get a status
// which does not promise that they were not run.
func TestLimits(t *testing.T) {
	shortTimeout := limits
	shortTimeout.HeaderTimeout = 50 * time.Millisecond
	for _, test := range []struct {
		name, request string
		limits        wasabihttp.Limits
		status        int
	}{
		{"large header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 8<<10) + "\r\n\r\n", limits, 431},
		{"header just above", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 1100) + "\r\n\r\n", limits, 431},
		{"large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n", limits, 413},
		{"slow header", "GET / HTTP/1.1\r\nHost:", shortTimeout, 408},
		{"no host", "GET / HTTP/1.1\r\n\r\n", limits, 400},
		{"malformed", "nonsense\r\n\r\n", limits, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, address := serve(t, test.limits, echo)
			c, r := dial(t, address)
			_, err := io.WriteString(c, test.request)
			assert.NilError(t, err)
			a, _ := readResponse(t, r)
			assert.Equal(t, a.StatusCode, test.status)
		})
	}
}

// Guards against open connections that keep the limits from the time they were
// accepted.
func TestLimitsChangeOnOpenConnections(t *testing.T) {
	s, address := serve(t, limits, echo)
	c, r := dial(t, address)
	request := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 900) + "\r\n\r\n"
	_, err := io.WriteString(c, request)
	assert.NilError(t, err)
	a, _ := readResponse(t, r)
	assert.Equal(t, a.StatusCode, 200)
	smaller := limits
	smaller.MaxHeaderBytes = 300
	s.SetLimits(smaller)
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	a, _ = readResponse(t, r)
	assert.Equal(t, a.StatusCode, 431)
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponseIsDetected(t *testing.T) {
	for _, length := range []int64{10, -1} {
		_, address := serve(t, limits, func(_ context.Context, x *wasabihttp.Exchange) {
			_ = x.Begin(200, http.Header{}, length)
			_, _ = x.Write([]byte("abc"))
			_ = x.Flush()
		})
		c, r := dial(t, address)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			continue // The reset arrived before the head.
		}
		_, err = io.ReadAll(a.Body)
		assert.Assert(t, err != nil)
		_ = a.Body.Close()
	}
}

// Guards against a response that is lost because the request's body is not read.
func TestResponseBeforeRequestBody(t *testing.T) {
	_, address := serve(t, limits, func(_ context.Context, x *wasabihttp.Exchange) { _ = x.Respond(503, http.Header{}, nil) })
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 30000))
	assert.NilError(t, err)
	a, _ := readResponse(t, r)
	assert.Equal(t, a.StatusCode, 503)
	assert.Assert(t, a.Close)
}

// Guards against a shutdown that aborts a request: while draining, the response
// closes the connection, and only idle connections are closed.
func TestDrain(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	s, address := serve(t, limits, func(_ context.Context, x *wasabihttp.Exchange) {
		close(started)
		<-release
		_ = x.Respond(200, http.Header{}, []byte("whole"))
	})
	idle, idleReader := dial(t, address)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-started
	s.Drain()
	s.CloseIdle()
	_, err = idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	_ = idle
	close(release)
	a, body := readResponse(t, r)
	assert.Equal(t, body, "whole")
	assert.Assert(t, a.Close)
}
