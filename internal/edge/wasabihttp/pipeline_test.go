package wasabihttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
)

// servePipelined serves GET requests beside those before them.
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

// Guards against a pipelined request that waits for the one before it until its
// time is over, and against answers that leave their order.
func TestPipelinedAreServedBeside(t *testing.T) {
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
		a, _ := answer(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), path)
	}
	send(t, c, http.MethodGet, "/4")
	a, _ := answer(t, r)
	assert.Equal(t, a.Header.Get("X-Path"), "/4")
}

// Guards against a request that runs although the answer before it may end the
// connection, so that its caller sends it again.
func TestOthersWaitForTheirTurn(t *testing.T) {
	begun, release := make(chan string, 4), make(chan struct{})
	_, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		begun <- x.Request.RequestURI
		if x.Request.RequestURI == "/1" {
			<-release
		}
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/1")
	assert.Equal(t, <-begun, "/1")
	send(t, c, http.MethodPost, "/2")
	send(t, c, http.MethodGet, "/3")
	select {
	case path := <-begun:
		t.Fatalf("%s has begun", path)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	for _, path := range []string{"/1", "/2", "/3"} {
		a, _ := answer(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), path)
	}
}

// Guards against a stop that closes a connection whose further requests have
// been passed on.
func TestDrainAnswersWhatHasBegun(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{})
	s, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		begun <- struct{}{}
		<-release
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/1", "/2")
	<-begun
	<-begun
	s.Drain()
	close(release)
	first, _ := answer(t, r)
	assert.Assert(t, !first.Close)
	second, _ := answer(t, r)
	assert.Assert(t, second.Close && second.Header.Get("X-Path") == "/2")
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against work that goes on for pipelined requests of a caller who has
// gone.
func TestDepartureEndsAllThatHasBegun(t *testing.T) {
	begun, ended := make(chan struct{}, 2), make(chan error, 2)
	_, address := servePipelined(t, func(ctx context.Context, _ *wasabihttp.Exchange) {
		begun <- struct{}{}
		<-ctx.Done()
		ended <- context.Cause(ctx)
	})
	c, _ := dial(t, address)
	send(t, c, http.MethodGet, "/1", "/2")
	<-begun
	<-begun
	assert.NilError(t, c.Close())
	for range 2 {
		assert.ErrorIs(t, <-ended, wasabihttp.ErrCallerGone)
	}
}

// Guards against a request that is read while the one before it ends, and then
// waits until the connection is idle for too long.
func TestNextRequestIsNotForgotten(t *testing.T) {
	_, address := servePipelined(t, func(_ context.Context, x *wasabihttp.Exchange) {
		// The caller has the whole answer before the exchange is over.
		_ = x.Answer(http.StatusOK, http.Header{"X-Path": {x.Request.RequestURI}}, nil)
		runtime.Gosched()
	})
	c, r := dial(t, address)
	for n := range 5000 {
		path := fmt.Sprint("/", n)
		send(t, c, http.MethodPost, path)
		a, _ := answer(t, r)
		assert.Equal(t, a.Header.Get("X-Path"), path)
	}
}

// Guards against a reset that takes the last answer of a connection from a
// caller whose further requests were not served.
func TestLastAnswerOutlivesUnservedRequests(t *testing.T) {
	begun, release := make(chan string, 4), make(chan struct{})
	s, address := servePipelined(t, func(ctx context.Context, x *wasabihttp.Exchange) {
		begun <- x.Request.RequestURI
		<-release
		echo(ctx, x)
	})
	c, r := dial(t, address)
	send(t, c, http.MethodGet, "/1")
	assert.Equal(t, <-begun, "/1")
	for range 200 {
		send(t, c, http.MethodPost, "/2"+strings.Repeat("x", 100))
	}
	s.Drain()
	close(release)
	a, _ := answer(t, r)
	assert.Assert(t, a.Close && a.Header.Get("X-Path") == "/1")
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, len(begun), 0)
}
