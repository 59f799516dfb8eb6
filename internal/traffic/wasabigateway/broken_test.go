package wasabigateway_test

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

// Guards against a caller that gets a part of an answer as a complete one, because the
// upstream reset the connection while a long upload was being written.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	c := configuration(time.Minute)
	c.Clients.MaxBodyBytes = 32 << 20
	k := newControl(c)
	u := newUpstream(t, "i", echoResponse)
	ln := listen(t)
	t.Cleanup(func() { _ = ln.Close() })
	go acceptAll(ln, func(c net.Conn) {
		defer c.Close()
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if q.URL.Path == "/health" {
			_, _ = io.WriteString(c, u.health)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\n\r\npart", q.Header.Get("Id"))
		<-time.After(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	u.address = ln.Addr().String()
	target := newNode(t, k, "target", "s", u.address)
	target.sendHeartbeat(t, k, u, "s", 20)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	for _, n := range []*node{target, entry} {
		for i := range 10 {
			r, err := http.NewRequest(http.MethodPost, "http://"+n.address+"/book/x", bytes.NewReader(make([]byte, 16<<20)))
			assert.NilError(t, err)
			r.Host = "h"
			r.Header.Set("Id", fmt.Sprint("reset-", i))
			a, err := client.Do(r)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(a.Body)
			assert.NilError(t, a.Body.Close())
			assert.Assert(t, err != nil || a.StatusCode >= 400, "%d %q is taken for a whole answer", a.StatusCode, body)
			assert.Assert(t, a.StatusCode != http.StatusServiceUnavailable, "the request may have run")
		}
	}
}

// Guards against an answer that the upstream didn't give, because the head of its response
// is not one of the protocol.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 200 OK\r\nX Y: z", "HTTP/1.1 200 OK\r\nX\x01: z",
		"HTTP/1.1 200 OK\r\nContent-Length : 2", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
	} {
		k := newControl(configuration(time.Minute))
		u := newUpstream(t, "i", func(q *http.Request, _ string) string {
			fields := "Id: " + q.Header.Get("Id") + "\r\nMark: m\r\n"
			return head + "\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother!"
		})
		n := newNode(t, k, "node", "s", u.address)
		n.sendHeartbeat(t, k, u, "s", 5)
		a := n.call(t, http.MethodPost, "/book/x", "one", "body")
		assert.Equal(t, a.status, http.StatusBadGateway, "%q: %s", head, a.body)
		assert.Equal(t, a.header.Get("Mark"), "")
	}
}
