package wasabigateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response that looks whole to the caller although the upstream stopped
// in its head or its body and closed the connection.
func TestResponseCutAnywhere(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nContent-Length: 10\r\n\r\n0123456789",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: %s\r\nMark: m\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nMark: m\r\n\r\n",
	} {
		k := newControl(configuration(time.Minute))
		var cut atomic.Int64
		u := newUpstream(t, "i", func(r *http.Request, _ string) string {
			return fmt.Sprintf(whole, r.Header.Get("Id"))[:cut.Load()] + "!"
		})
		newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 5)
		entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
		length := int64(len(strings.Replace(whole, "%s", "000", 1)))
		for n := range length {
			cut.Store(n)
			a := entry.call(t, http.MethodPost, "/book/x", fmt.Sprintf("%03d", n), "")
			assert.Equal(t, a.status, 502, "%d of %d bytes: %q", n, length, whole)
		}
		cut.Store(length)
		assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "999", "").status, 200)
	}
}
