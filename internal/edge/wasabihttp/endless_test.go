package wasabihttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
)

// maxAcceptedBytes bounds what a writer without end gets rid of where the reader
// must give up. It covers the socket buffers of both sides.
const maxAcceptedBytes = 32 << 20

// endless responds to each request with start and then with repeat until the
// connection closes. It sends the bytes that it wrote on each connection to
// written.
func endless(t *testing.T, start, repeat string) (address string, written chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	written = make(chan int, 16)
	block := []byte(strings.Repeat(repeat, max(1, (16<<10)/len(repeat))))
	serve := func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		total, err := io.WriteString(c, strings.ReplaceAll(start, "{id}", r.Header.Get("Id")))
		for err == nil {
			var n int
			n, err = c.Write(block)
			total += n
		}
		written <- total
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), written
}

// Guards against an upstream whose bytes without end occupy the node: the call must
// end by itself, without a response that looks complete, and the connection close.
func TestEndlessResponseEndsCall(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, start, repeat string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no HTTP", "", "x"},
		{"empty lines", "", "\r\n"},
		{"header line", head + "A: ", "x"},
		{"header lines", head, "A: b\r\n"},
		{"header continuation lines", head + "A: b\r\n", " c\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"informational headers", "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		{"body of another response", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		{"refusals of other requests", "", "HTTP/1.1 503 X\r\nId: other\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "1;", "x"},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		{"trailer line", chunked + "0\r\nA: ", "x"},
		{"trailer lines", chunked + "0\r\n", "A: b\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, written := endless(t, test.start, test.repeat)
			u := upstream(address)
			defer u.Close()
			// Without a deadline only the node's own bounds end the call.
			var body int64
			call, err := u.Do(context.Background(), request("1"))
			if err == nil {
				body, err = io.Copy(io.Discard, call)
				assert.NilError(t, call.Close())
			}
			assert.ErrorIs(t, err, wasabihttp.ErrBadResponse)
			assert.Assert(t, body <= 64<<10, "%d bytes were taken as a body", body)
			assert.Assert(t, <-written <= maxAcceptedBytes)
		})
	}
}

// Guards against a body without end that keeps its connection after the caller has
// gone or the timeout has passed. Such a body can't be told from a large one.
func TestEndlessBodyEndsWithCall(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	for _, test := range []struct{ name, start, repeat string }{
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		{"until close", head + "\r\n", "body"},
		{"length", head + "Content-Length: 9223372036854775807\r\n\r\n", "body"},
	} {
		for _, end := range []string{"timeout", "caller"} {
			t.Run(test.name+", "+end, func(t *testing.T) {
				address, written := endless(t, test.start, test.repeat)
				u := upstream(address)
				defer u.Close()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				call, err := u.Do(ctx, request("1"))
				assert.NilError(t, err)
				_, err = io.CopyN(io.Discard, call, 1<<20)
				assert.NilError(t, err)
				if end == "timeout" {
					cancel()
					_, err = io.Copy(io.Discard, call)
					assert.ErrorIs(t, err, wasabihttp.ErrBadResponse)
				}
				assert.NilError(t, call.Close())
				<-written
			})
		}
	}
}

// Guards against bytes behind a complete response that keep filling an idle
// connection.
func TestEndlessBytesBehindResponse(t *testing.T) {
	address, written := endless(t, "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 4\r\n\r\nbody", "body")
	u := upstream(address)
	defer u.Close()
	_, body, err := do(u, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "body")
	for len(written) == 0 {
		// The bytes may arrive after the response was read.
		u.Prune(time.Now())
		runtime.Gosched()
	}
}

// Guards against a response that is taken for the one to a request without an ID:
// nothing tells it from an earlier one on the same connection.
func TestRequestWithoutEchoHasOwnConnection(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"
	s := &script{responses: []string{refusal + refusal, ok("", "a"), ok("2", "b"), ok("", "c")}}
	u := upstream(s.serve(t))
	defer u.Close()
	for i, want := range []struct {
		id     string
		status int
	}{{"", 503}, {"", 200}, {"2", 200}, {"", 200}} {
		status, _, err := do(u, want.id)
		assert.NilError(t, err)
		assert.Equal(t, status, want.status, "request %d", i)
	}
	_, accepted := s.seen()
	assert.Equal(t, accepted, 4)
}

// Guards against a response with several IDs, of which one is the request's.
func TestAmbiguousEchoIsSkipped(t *testing.T) {
	s := &script{responses: []string{"HTTP/1.1 503 X\r\nId: 1\r\nId: old\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n" + ok("1", "right")}}
	u := upstream(s.serve(t))
	defer u.Close()
	status, body, err := do(u, "1")
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%d %s", status, body), "200 right")
}

// Guards against a caller whose bytes without end occupy the node.
func TestEndlessRequestIsRejected(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, start, repeat string }{
		{"request line", "GET /", "x"},
		{"empty lines", "", "\r\n"},
		{"header line", head + "A: ", "x"},
		{"header lines", head, "A: b\r\n"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "1;", "x"},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		{"chunks", chunked, "4\r\nbody\r\n"},
		{"trailer lines", chunked + "0\r\n", "A: b\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, address := serve(t, limits, func(_ context.Context, x *wasabihttp.Exchange) {
				if r := x.Body(); r != nil {
					if _, err := io.Copy(io.Discard, r); err != nil {
						_ = x.Respond(http.StatusBadRequest, http.Header{}, nil)
						return
					}
				}
				_ = x.Respond(http.StatusOK, http.Header{}, nil)
			})
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer c.Close()
			status := make(chan int, 1)
			go func() {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					status <- 0
					return
				}
				_ = resp.Body.Close()
				status <- resp.StatusCode
			}()
			total, err := io.WriteString(c, test.start)
			block := strings.Repeat(test.repeat, max(1, (16<<10)/len(test.repeat)))
			for err == nil {
				var n int
				n, err = io.WriteString(c, block)
				total += n
			}
			assert.Assert(t, total <= maxAcceptedBytes)
			if code := <-status; code != 0 {
				assert.Assert(t, code >= 400, "status %d", code)
			}
		})
	}
}
