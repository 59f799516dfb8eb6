package wasabinode_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadBytes is more than the socket buffers of both sides hold.
const uploadBytes = 16 << 20

// hijacked returns a handler that writes a response as it stands and then ends the
// connection.
func hijacked(t *testing.T, response string, end func(c net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, b, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		defer c.Close()
		_, err = b.WriteString(response)
		assert.Check(t, err)
		assert.Check(t, b.Flush())
		end(c)
	}
}

// Guards against a part of a response without a length that is taken for the whole, since
// the connection was reset while the request was being sent.
func TestResetDuringUploadIsNotWhole(t *testing.T) {
	for pause := range 8 {
		m := newMesh(t)
		a := m.add("a1", "a", hijacked(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c net.Conn) {
			<-time.After(time.Duration(pause) * 4 * time.Millisecond)
			assert.Check(t, c.(*net.TCPConn).SetLinger(0))
		}))
		m.awaitReady()
		for k := range 5 {
			r := request(t, a, "PUT", "a", "/put", "Idempotency-Key", fmt.Sprint(k))
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))), uploadBytes
			w, err := m.client.Do(r)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(w.Body)
			assert.Check(t, w.Body.Close())
			assert.Assert(t, err != nil || w.StatusCode >= 400, "pause %d: %d %q is taken for a whole response", pause, w.StatusCode, body)
		}
	}
}

// Guards against a response that is passed on with a head or a body that is not the
// upstream's, because its head is not one of the protocol.
func TestMalformedResponseIsUnknown(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 042 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/1.1 200 OK\r\nX Y: z", "HTTP/1.1 200 OK\r\nX\x01: z", "HTTP/1.1 200 OK\r\nX\x7f: z",
		"HTTP/1.1 200 OK\r\nContent-Length : 2", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.1 200 OK\r\nX: a\x01b", "HTTP/1.1 200 OK\r\nX: a\r\n b",
		"HTTP/1.1 103 Early\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK",
	} {
		m := newMesh(t)
		a := m.add("a1", "a", hijacked(t, head+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", func(net.Conn) {}))
		m.awaitReady()
		w := m.do(request(t, a, "POST", "a", "/approve", "Idempotency-Key", "k"))
		assert.Equal(t, w.header.Get("Wasabi-Outcome"), "unknown", "%q: %d %s", head, w.status, w.header)
	}
}

// Guards against a response that is refused although its head is allowed: informational
// responses before it, a head in parts, one longer than a buffer, and connections that are
// used again.
func TestAllowedResponsesPass(t *testing.T) {
	m := newMesh(t)
	long := string(bytes.Repeat([]byte("a"), 9000))
	a := m.add("a1", "a", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/read/early":
			w.Header().Set("X", "1")
			w.WriteHeader(http.StatusEarlyHints)
		case "/read/long":
			w.Header().Set("X", long)
		case "/read/parts":
			c, b, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			defer c.Close()
			for _, part := range []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole") {
				assert.Check(t, b.WriteByte(part))
				assert.Check(t, b.Flush())
			}
			return
		}
		_, err := io.WriteString(w, "whole")
		assert.Check(t, err)
	})
	m.awaitReady()
	for range 3 {
		for _, path := range []string{"/read/early", "/read/long", "/read/parts", "/read/plain"} {
			w := m.do(request(t, a, "GET", "a", path))
			assert.Equal(t, w.status, 200, "%s: %s", path, w.header)
			assert.Equal(t, w.body, "whole")
			assert.Assert(t, path != "/read/long" || w.header.Get("X") == long)
		}
	}
}

// Guards against a body that runs as a request of its own, because the field that frames it
// is not seen by the server of callers.
func TestSmuggledRequestDoesNotRun(t *testing.T) {
	m := newMesh(t)
	a := m.add("a1", "a", func(http.ResponseWriter, *http.Request) { t.Error("a request ran") })
	m.awaitReady()
	const smuggled = "GET /read/x HTTP/1.1\r\nHost: h\r\nWasabi-Service: a\r\nWasabi-Caller: client\r\n\r\n"
	for _, fields := range []string{fmt.Sprintf("Content-Length : %d", len(smuggled)), "Transfer-Encoding : chunked", "X Y: z"} {
		c, err := net.Dial("tcp", a.TrafficAddress())
		assert.NilError(t, err)
		_, err = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h\r\nWasabi-Service: a\r\nWasabi-Caller: client\r\n"+fields+"\r\n\r\n"+smuggled)
		assert.NilError(t, err)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, http.StatusBadRequest, "%q", fields)
		assert.Assert(t, r.Close)
		assert.NilError(t, r.Body.Close())
		assert.NilError(t, c.Close())
	}
}
