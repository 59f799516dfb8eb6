package wasabigateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkTwoNodes measures a small request through an entry node and the node
// of its instance, with the caller and the upstream in the same process.
func BenchmarkTwoNodes(b *testing.B) {
	t := &testing.T{}
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", func(r *http.Request, body string) string { return echoResponse(r, body) })
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 20)
	c, err := net.Dial("tcp", entry.address)
	assert.NilError(b, err)
	defer c.Close()
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		_, err := fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: h\r\nId: %d\r\nPatience-Ms: 5000\r\n\r\n", n)
		assert.NilError(b, err)
		a, err := http.ReadResponse(r, nil)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, a.Body)
		assert.NilError(b, err)
		assert.NilError(b, a.Body.Close())
		if a.StatusCode != http.StatusOK {
			b.Fatalf("status %d", a.StatusCode)
		}
	}
}
