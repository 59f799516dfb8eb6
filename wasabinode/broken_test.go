package wasabinode_test

import (
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
