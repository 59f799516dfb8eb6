package wasabigateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newEndlessUpstream returns an upstream that answers requests with the query "endless"
// by a body without end, and others with their body. It sends a value to ended when the
// connection of an endless answer was closed.
func newEndlessUpstream(t *testing.T, name string) (u *upstream, ended chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	ended = make(chan struct{}, 16)
	u = &upstream{name: name, address: ln.Addr().String(), respond: echoResponse, gone: make(chan string, 16), health: "HTTP/1.1 200 OK\r\nName: " + name + "\r\nContent-Length: 0\r\n\r\n"}
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		block := []byte(strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 4))
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			switch {
			case q.URL.Path == "/health":
				_, err = io.WriteString(c, u.health)
			case q.URL.RawQuery == "endless":
				_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+q.Header.Get("Id")+"\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n")
				for err == nil {
					_, err = c.Write(block)
				}
				ended <- struct{}{}
			default:
				_, err = io.WriteString(c, echoResponse(q, string(body)))
			}
			if err != nil {
				return
			}
		}
	}
	go acceptAll(ln, serve)
	return u, ended
}

// Guards against a body without end that holds a slot, a connection or memory after its
// caller has gone or its timeout has passed, that looks complete to the caller, or that
// keeps other requests from being served meanwhile.
func TestEndlessBody(t *testing.T) {
	for _, test := range []struct {
		name    string
		timeout time.Duration
		leaves  bool // the caller closes its connection, otherwise it reads no further
	}{
		{"the caller leaves", time.Minute, true},
		{"the timeout passes", 300 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newControl(configuration(test.timeout))
			u, ended := newEndlessUpstream(t, "i")
			newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 2)
			entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
			c, err := net.Dial("tcp", entry.address)
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "GET /read/x?endless HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
			assert.NilError(t, err)
			for id := range 20 {
				a := entry.call(t, http.MethodGet, "/read/x", fmt.Sprint("other-", id), "body")
				assert.Equal(t, fmt.Sprint(a.status, a.body), "200body")
			}
			if test.leaves {
				assert.NilError(t, c.Close())
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the upstream still sends 5 s later")
			}
			if !test.leaves {
				_, err = io.Copy(io.Discard, resp.Body)
				assert.Assert(t, err != nil, "a body that was cut looks complete")
			}
			// Both slots are free again.
			for id := range 4 {
				a := entry.call(t, http.MethodGet, "/read/x", fmt.Sprint("after-", id), "body")
				assert.Equal(t, fmt.Sprint(a.status, a.body), "200body")
			}
		})
	}
}

// Guards against bodies without end that fill the memory of the nodes on their way while
// their callers read nothing: the largest worker of the users' deployments has 374 slots,
// and a node beside it 184 MB.
func TestEndlessBodiesFitMemory(t *testing.T) {
	const (
		responses  = 100
		nodeBytes  = 184 << 20
		mostSlots  = 374
		maxBytes   = 2 * nodeBytes * responses / mostSlots // at two nodes
		heapChecks = 40
	)
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	k := newControl(configuration(time.Minute))
	u, _ := newEndlessUpstream(t, "i")
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", responses)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	before := heap()
	for id := range responses {
		c, err := net.Dial("tcp", entry.address)
		assert.NilError(t, err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "GET /read/x?endless HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", id)
		assert.NilError(t, err)
		// The head has arrived, and nothing more is read.
		_, err = io.ReadFull(c, make([]byte, len("HTTP/1.1 200 OK\r\n")))
		assert.NilError(t, err)
	}
	for range heapChecks {
		grown := heap() - before
		assert.Assert(t, grown <= maxBytes, "%d MB for %d responses, allowed are %d MB", grown>>20, responses, int64(maxBytes)>>20)
	}
}
