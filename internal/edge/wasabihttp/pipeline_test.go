package wasabihttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
)

// servePipelined serves GET requests concurrently with earlier ones.
func servePipelined(t *testing.T, h wasabihttp.Handler) (*wasabihttp.Server, string) {
	t.Helper()
	return serveWith(t, limits, h, func(s *wasabihttp.Server) {
		s.SetPipelined(func(r *http.Request) bool { return r.Method == http.MethodGet })
	})
}

func send(t *testing.T, w io.Writer, method string, paths ...string) {
	t.Helper()
	for _, p := range paths {
		_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", method, p)
		assert.NilError(t, err)
	}
}

// Guards against a pipelined request that waits for the previous one until its
// deadline has passed, and against responses that are out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	second := make(chan struct{})
	_, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		switch x.Request.RequestURI {
		case "/1":
			<-second
		case "/2":
			close(second)
		}
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/1", "/2", "/3")
	for _, path := range []string{"/1", "/2", "/3"} {
		a, _ := readResponse(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), path)
	}
	send(t, c, http.MethodGet, "/4")
	a, _ := readResponse(t, r)
	assert.Equal(t, a.Header.Get("X-Path"), "/4")
}

// Guards against a request that runs although the previous response may close the
// connection, so that its caller retries it.
func TestUnsafeRequestsWaitForPrevious(t *testing.T) {
	started, release := make(chan string, 4), make(chan struct{})
	_, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		started <- x.Request.RequestURI
		if x.Request.RequestURI == "/1" {
			<-release
		}
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/1")
	assert.Equal(t, <-started, "/1")
	send(t, c, http.MethodPost, "/2")
	send(t, c, http.MethodGet, "/3")
	select {
	case path := <-started:
		t.Fatalf("%s has begun", path)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	for _, path := range []string{"/1", "/2", "/3"} {
		a, _ := readResponse(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), path)
	}
}

// Guards against a request that runs behind a response that may break off, and against
// one that breaks off although requests behind it run.
func TestNoRequestIsServedBehindStream(t *testing.T) {
	started, release := make(chan string, 4), make(chan struct{})
	reserved := make(chan bool, 2)
	_, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		started <- x.Request.RequestURI
		switch x.Request.RequestURI {
		case "/first":
			<-release
			reserved <- x.ReserveStream()
		case "/stream":
			reserved <- x.ReserveStream()
			assert.Check(t, x.Begin(http.StatusOK, http.Header{}, -1))
			assert.Check(t, x.Flush())
			<-release
			assert.Check(t, x.End())
			return
		}
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/stream")
	assert.Equal(t, <-started, "/stream")
	assert.Assert(t, <-reserved)
	send(t, c, http.MethodGet, "/2")
	select {
	case path := <-started:
		t.Fatalf("%s has begun", path)
	case <-time.After(50 * time.Millisecond):
	}
	release <- struct{}{}
	readResponse(t, r)
	a, _ := readResponse(t, r)
	assert.Equal(t, a.Header.Get("X-Path"), "/2")
	assert.Equal(t, <-started, "/2")
	send(t, c, http.MethodGet, "/first", "/behind")
	// Their handlers may start in any order.
	concurrent := []string{<-started, <-started}
	slices.Sort(concurrent)
	assert.DeepEqual(t, concurrent, []string{"/behind", "/first"})
	release <- struct{}{}
	assert.Assert(t, !<-reserved)
	for _, path := range []string{"/first", "/behind"} {
		a, _ := readResponse(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), path)
	}
}

// Guards against a shutdown that closes a connection whose further requests have
// been passed to the handler.
func TestDrainCompletesStartedRequests(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	s, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		started <- struct{}{}
		<-release
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/1", "/2")
	<-started
	<-started
	s.Drain()
	close(release)
	first, _ := readResponse(t, r)
	assert.Assert(t, !first.Close)
	second, _ := readResponse(t, r)
	assert.Assert(t, second.Close && second.Header.Get("X-Path") == "/2")
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against wasted work for pipelined requests of a caller that has
// disconnected.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	started, ended := make(chan struct{}, 2), make(chan error, 2)
	_, address := servePipelined(t, func(ctx context.Context, _ *wasabihttp.Exchange) {
		started <- struct{}{}
		<-ctx.Done()
		ended <- context.Cause(ctx)
	})
	c, _ := dial(t, address)
	send(t, c, http.MethodGet, "/1", "/2")
	<-started
	<-started
	assert.NilError(t, c.Close())
	for range 2 {
		assert.ErrorIs(t, <-ended, wasabihttp.ErrCallerGone)
	}
}

// Guards against a request that is read while the previous one ends, and then waits
// until the idle timeout of the connection.
func TestNextRequestIsNotDelayed(t *testing.T) {
	_, address := servePipelined(t, func(_ context.Context, x *wasabihttp.Exchange) {
		// The caller has the complete response before the exchange has finished.
		_ = x.Respond(http.StatusOK, http.Header{"X-Path": {x.Request.RequestURI}}, nil)
		runtime.Gosched()
	})
	c, r := dial(t, address)
	for n := range 5000 {
		path := fmt.Sprint("/", n)
		send(t, c, http.MethodPost, path)
		a, _ := readResponse(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), path)
	}
}

// Guards against a reset that loses the last response of a connection for a caller
// whose further requests were not served.
func TestLastResponseSurvivesUnservedRequests(t *testing.T) {
	started, release := make(chan string, 4), make(chan struct{})
	s, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		started <- x.Request.RequestURI
		<-release
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/1")
	assert.Equal(t, <-started, "/1")
	for range 200 {
		send(t, c, http.MethodPost, "/2"+strings.Repeat("x", 100))
	}
	s.Drain()
	close(release)
	a, _ := readResponse(t, r)
	assert.Assert(t, a.Close && a.Header.Get("X-Path") == "/1")
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, len(started), 0)
}
