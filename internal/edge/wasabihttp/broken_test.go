package wasabihttp_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
)

// uploadBytes is more than the socket buffers of both sides hold.
const uploadBytes = 16 << 20

// serveRaw serves each connection of a listener with f.
func serveRaw(t *testing.T, f func(c net.Conn, r *bufio.Reader, q *http.Request)) string {
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
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if q, err := http.ReadRequest(r); err == nil {
					f(c, r, q)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// upload sends a long body and returns the response.
func upload(t *testing.T, address string) (body string, err error) {
	t.Helper()
	u := upstream(address)
	defer u.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {"1"}},
		Body: io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))), ContentLength: uploadBytes,
	}
	call, err := u.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer call.Close()
	b, err := io.ReadAll(call)
	return string(b), err
}

// after waits on the side of the upstream, so that the reset meets writes in different
// states.
func after(d time.Duration) { <-time.After(d) }

// Guards against a part of a response without a length that is taken for the whole, since
// the connection was reset while the request was being sent: the write gets the error, and
// the read the end of the stream.
func TestResetDuringUploadIsNotWhole(t *testing.T) {
	for pause := range 12 {
		for range 4 {
			address := serveRaw(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				assert.Check(t, err)
				after(time.Duration(pause) * 3 * time.Millisecond)
				assert.Check(t, c.(*net.TCPConn).SetLinger(0))
			})
			body, err := upload(t, address)
			assert.Assert(t, err != nil, "pause %d: %q is taken for a whole response", pause, body)
		}
	}
}

// Guards against a whole response that is refused, because the upstream sent it and ended
// the stream before it had read the request.
func TestOrderlyEndDuringUploadIsWhole(t *testing.T) {
	for pause := range 6 {
		address := serveRaw(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
			assert.Check(t, err)
			assert.Check(t, c.(*net.TCPConn).CloseWrite())
			after(time.Duration(pause) * 3 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r)
		})
		body, err := upload(t, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
	}
}

// Guards against a response that is skipped, or passed on with a head or a body that is not
// the upstream's, because its head is not one of the protocol.
func TestMalformedResponseIsRefused(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 042 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/1.1 200 OK\r\nX Y: z", "HTTP/1.1 200 OK\r\nX\tY: z", "HTTP/1.1 200 OK\r\nX\x01: z", "HTTP/1.1 200 OK\r\nX\x7f: z", "HTTP/1.1 200 OK\r\n: z",
		"HTTP/1.1 200 OK\r\nContent-Length : 2", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.1 200 OK\r\nX: a\x01b", "HTTP/1.1 200 OK\r\nX: a\r\n b",
		"HTTP/1.1 103 Early\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK",
	} {
		// What follows would be a response, if the first were skipped.
		address := serveRaw(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, head+"\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother")
		})
		u := upstream(address)
		status, body, err := do(u, "1")
		assert.Assert(t, err != nil, "%q: %d %q", head, status, body)
		assert.NilError(t, u.Close())
	}
}

// Guards against a body that runs as a request of its own, because the field that frames it
// is not seen: the head is refused and the connection closed.
func TestSmuggledRequestDoesNotRun(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, fields := range []string{
		fmt.Sprintf("Content-Length : %d", len(smuggled)), fmt.Sprintf("Content-Length\t: %d", len(smuggled)),
		"Transfer-Encoding : chunked", "Transfer-Encoding: chunked\r\nContent-Length: 5", "X Y: z", "X\x01: z", "X: a\x00b", "X: a\r\n b",
		"Content-Length: 5\r\nContent-Length: 6", "Content-Length: 5, 5", "Host: other",
	} {
		ran := make(chan string, 8)
		_, address := serve(t, limits, func(_ context.Context, x *wasabihttp.Exchange) {
			ran <- x.Request.RequestURI
			_ = x.Respond(200, http.Header{}, nil)
		})
		c, r := dial(t, address)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n\r\n"+smuggled)
		assert.NilError(t, err)
		a, _ := readResponse(t, r)
		assert.Equal(t, a.StatusCode, http.StatusBadRequest, "%q", fields)
		assert.Assert(t, a.Close || strings.EqualFold(a.Header.Get("Connection"), "close"))
		_, err = r.ReadByte()
		assert.Equal(t, err, io.EOF, "%q: the connection stays open", fields)
		assert.Equal(t, len(ran), 0, "%q", fields)
	}
	// A request of HTTP/1.0 has no chunks.
	_, address := serve(t, limits, func(_ context.Context, x *wasabihttp.Exchange) { _ = x.Respond(200, http.Header{}, nil) })
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"+smuggled)
	assert.NilError(t, err)
	a, _ := readResponse(t, r)
	assert.Equal(t, a.StatusCode, http.StatusBadRequest)
}
