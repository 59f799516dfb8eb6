package wasabihttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
)

// script is an upstream that responds to the n-th request of all connections with
// the n-th text, and closes the connection after a text that begins with "!".
type script struct {
	mu        sync.Mutex
	responses []string
	requests  []string
	accepted  int
}

func (s *script) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			s.mu.Unlock()
			go s.respond(c)
		}
	}()
	return ln.Addr().String()
}

func (s *script) respond(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.mu.Lock()
		s.requests = append(s.requests, q.Header.Get("Id"))
		text := "!"
		if len(s.responses) > 0 {
			text, s.responses = s.responses[0], s.responses[1:]
		}
		s.mu.Unlock()
		rest, closes := strings.CutPrefix(text, "!")
		if _, err := io.WriteString(c, rest); err != nil || closes {
			return
		}
	}
}

func (s *script) seen() ([]string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.accepted
}

func upstream(address string) *wasabihttp.Upstream {
	return wasabihttp.NewUpstream(wasabihttp.UpstreamOptions{
		Address: address, MaxConnections: 4, IdleTimeout: time.Minute, DialTimeout: 5 * time.Second, EchoHeader: "Id", MaxHeaderBytes: 16 << 10,
	})
}

func request(id string) *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x?y=%2f"}, Host: "h", Header: http.Header{"Id": {id}}}
}

func do(u *wasabihttp.Upstream, id string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call, err := u.Do(ctx, request(id))
	if err != nil {
		return 0, "", err
	}
	defer call.Close()
	b, err := io.ReadAll(call)
	return call.Response.StatusCode, string(b), err
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against the response to an earlier request that is given to a later one.
func TestStrayResponseIsSkipped(t *testing.T) {
	s := &script{responses: []string{ok("old", "abc") + ok("1", "right"), ok("2", "two")}}
	u := upstream(s.serve(t))
	_, body, err := do(u, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "right")
	_, body, err = do(u, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	_, accepted := s.seen()
	assert.Equal(t, accepted, 2, "a connection that carried a stray response is not reused")
}

// Guards against bytes after a complete response that become the next response.
func TestBytesAfterResponse(t *testing.T) {
	s := &script{responses: []string{ok("1", "a") + ok("2", "b"), ok("2", "c")}}
	u := upstream(s.serve(t))
	_, body, err := do(u, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "a")
	_, body, err = do(u, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "c")
}

// Guards against a request that is retried without the caller's knowledge when a
// reused connection closes without a response.
func TestRequestIsSentOnce(t *testing.T) {
	s := &script{responses: []string{ok("1", "a"), "!", ok("3", "c")}}
	u := upstream(s.serve(t))
	_, _, err := do(u, "1")
	assert.NilError(t, err)
	_, _, err = do(u, "2")
	assert.ErrorIs(t, err, wasabihttp.ErrBadResponse)
	assert.Assert(t, !errors.Is(err, wasabihttp.ErrNotSent))
	requests, _ := s.seen()
	assert.DeepEqual(t, requests, []string{"1", "2"})
}

// Guards against truncated responses that are accepted as complete.
func TestTruncatedResponses(t *testing.T) {
	for _, text := range []string{
		"!HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nabc",
		"!HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"!HTTP/1.1 200 OK\r\nId: 1\r\nCont",
		"!garbage\r\n\r\n",
		"!",
	} {
		u := upstream((&script{responses: []string{text}}).serve(t))
		_, _, err := do(u, "1")
		assert.ErrorIs(t, err, wasabihttp.ErrBadResponse, "%q", text)
	}
	u := upstream((&script{responses: []string{"!HTTP/1.1 200 OK\r\nId: 1\r\n\r\nends with the connection"}}).serve(t))
	_, body, err := do(u, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "ends with the connection")
}

// Guards against an unreachable upstream that is reported as a call that may have
// run, and against more connections than the upstream accepts.
func TestNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, _, err = do(upstream(address), "1")
	assert.ErrorIs(t, err, wasabihttp.ErrNotSent)

	hold := make(chan struct{})
	defer close(hold)
	ln, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n")
		<-hold
	}()
	u := upstream(ln.Addr().String())
	u.SetMaxConnections(1)
	call, err := u.Do(t.Context(), request("1"))
	assert.NilError(t, err)
	defer call.Close()
	_, _, err = do(u, "2")
	assert.ErrorIs(t, err, wasabihttp.ErrFull)
}

// Guards against the rest of a body that is sent before the next request: an
// upstream may respond before it has read a long body, and keep the connection
// open.
func TestEarlyResponseClosesConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	first := make(chan []byte, 1)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			q, err := http.ReadRequest(r)
			if err != nil {
				continue
			}
			_, _ = io.WriteString(c, ok(q.Header.Get("Id"), "early"))
			if n == 0 {
				rest, _ := io.ReadAll(r)
				first <- rest
			}
			_ = c.Close()
		}
	}()
	u := upstream(ln.Addr().String())
	r := request("1")
	body, writer := io.Pipe()
	r.Method, r.Body, r.ContentLength = http.MethodPost, body, 1<<20
	call, err := u.Do(t.Context(), r)
	assert.NilError(t, err)
	text, err := io.ReadAll(call)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "early")
	assert.NilError(t, call.Close())
	_ = writer.CloseWithError(errors.New("the caller's body ended"))
	assert.Equal(t, len(<-first), 0, "nothing but the first request may come on that connection")
	_, second, err := do(u, "2")
	assert.NilError(t, err)
	assert.Equal(t, second, "early")
}
