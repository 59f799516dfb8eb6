package wasabigateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// upstream is a scripted instance. It responds to each request with the result of
// respond, which is called with the request and its body.
type upstream struct {
	name    string
	address string
	mu      sync.Mutex
	ran     []string
	respond func(r *http.Request, body string) string
	// health is the response to health checks; it is guarded by mu once the upstream
	// serves.
	health string
	// healthPath is the only path that is answered with health; it is guarded by mu.
	healthPath string
	gone       chan string
	// healthChecks counts the health checks.
	healthChecks atomic.Int64
	// connections counts the accepted connections.
	connections atomic.Int64
	// repeat is written before each response but the first of a connection; it is
	// guarded by mu.
	repeat string
}

func newUpstream(t *testing.T, name string, respond func(r *http.Request, body string) string) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	u := &upstream{name: name, address: ln.Addr().String(), respond: respond, gone: make(chan string, 16), healthPath: "/health", health: "HTTP/1.1 200 OK\r\nName: " + name + "\r\nContent-Length: 0\r\n\r\n"}
	go acceptAll(ln, func(c net.Conn) {
		u.connections.Add(1)
		u.serve(c)
	})
	return u
}

// acceptAll serves the connections of a listener until it is closed.
func acceptAll(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		text, isHealth := u.health, q.URL.Path == u.healthPath
		u.mu.Unlock()
		if isHealth {
			u.healthChecks.Add(1)
		} else {
			u.mu.Lock()
			u.ran = append(u.ran, q.Header.Get("Id"))
			u.mu.Unlock()
			text = u.respond(q, string(body))
		}
		rest, closes := strings.CutSuffix(text, "!")
		u.mu.Lock()
		if !first {
			rest = u.repeat + rest
		}
		u.mu.Unlock()
		if _, err := io.WriteString(c, rest); err != nil || text == "" || closes {
			return
		}
	}
}

func (u *upstream) setHealth(response string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health = response
}

// awaitHealthChecks waits until a number of further health checks have arrived.
func (u *upstream) awaitHealthChecks(t *testing.T, n int64) {
	t.Helper()
	until := u.healthChecks.Load() + n
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if seen := u.healthChecks.Load(); seen < until {
			return poll.Continue("%d of %d health checks", seen, until)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

func (u *upstream) seen() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.ran...)
}

func echoResponse(q *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\nContent-Length: %d\r\n\r\n%s", q.Header.Get("Id"), len(body), body)
}
