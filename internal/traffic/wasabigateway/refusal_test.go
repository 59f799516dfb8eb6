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

// Guards against an earlier refusal that an upstream repeats on a kept connection:
// the caller must not be told that its request did not run when it did, and a
// request that may have run must not be sent to another instance unless it is
// retryable.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(fields string) string {
		return "HTTP/1.1 503 X\r\n" + fields + "Untouched: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, repeated := range []struct{ name, text string }{
		{"with its ID", refusal("Id: 1\r\n")},
		{"without an ID", refusal("")},
		{"with an empty ID", refusal("Id: \r\n")},
		{"with two IDs", refusal("Id: 2\r\nId: 1\r\n")},
		{"misdirected", "HTTP/1.1 421 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n"},
		{"after an informational response", "HTTP/1.1 103 X\r\nId: 2\r\n\r\n" + refusal("Id: 1\r\n")},
	} {
		for _, test := range []struct {
			name, path string
			answers    bool // the upstream also sends the response to the request
			status     int
			runs       int
		}{
			{"unsafe, then the response", "/book/x", true, 200, 1},
			{"unsafe, then nothing", "/book/x", false, 502, 1},
			{"safe, then the response", "/read/x", true, 200, 1},
			{"safe, then nothing", "/read/x", false, 200, 2},
		} {
			t.Run(repeated.name+", "+test.name, func(t *testing.T) {
				k := newControl(configuration(time.Minute))
				var runs atomic.Int64
				respond := func(r *http.Request, body string) string {
					switch r.Header.Get("Id") {
					case "0":
						return echoResponse(r, body)
					case "1":
						return refusal("Id: 1\r\n")
					}
					if runs.Add(1) > 1 || test.answers {
						return repeated.text + echoResponse(r, body)
					}
					return repeated.text + "!"
				}
				for _, name := range []string{"a", "b"} {
					u := newUpstream(t, name, respond)
					newNode(t, k, name, "s", u.address).sendHeartbeat(t, k, u, "s", 5)
				}
				entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
				// The retry budget allows retries once the node has sent enough requests.
				for range 40 {
					assert.Equal(t, entry.call(t, http.MethodGet, "/read/x", "0", "").status, 200)
				}
				// Both instances refuse once, so that each has a kept connection.
				assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "1", "").status, 503)
				a := entry.call(t, http.MethodPost, test.path, "2", "body")
				assert.Equal(t, fmt.Sprint(a.status, runs.Load()), fmt.Sprint(test.status, test.runs))
				if a.status == 200 {
					assert.Equal(t, a.body, "body")
				}
			})
		}
	}
}

// Guards against a new connection for each call that an upstream refuses, which costs
// the upstream most when it has least room, and against one that is used again before
// the refusal was read whole.
func TestRefusalKeepsConnection(t *testing.T) {
	for _, test := range []struct {
		name, refusal string
		connections   int64
	}{
		{"no body", "Content-Length: 0\r\n\r\n", 2},
		{"short body", "Content-Length: 4\r\n\r\nfull", 2},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", 2},
		{"long body", "Content-Length: 8000\r\n\r\n" + strings.Repeat("x", 8000), 11},
		{"close", "Connection: close\r\nContent-Length: 0\r\n\r\n", 11},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newControl(configuration(time.Minute))
			u := newUpstream(t, "a", func(r *http.Request, _ string) string {
				return "HTTP/1.1 503 X\r\nId: " + r.Header.Get("Id") + "\r\nUntouched: 1\r\n" + test.refusal
			})
			n := newNode(t, k, "a", "s", u.address)
			n.sendHeartbeat(t, k, u, "s", 5)
			for id := range 10 {
				assert.Equal(t, n.call(t, http.MethodPost, "/book/x", fmt.Sprint(id), "").status, 503)
			}
			// One more is that of the health check.
			assert.Equal(t, u.connections.Load(), test.connections)
		})
	}
}

// Guards against an earlier refusal that is taken for the one of a request without an
// ID, which looks the same.
func TestRepeatedRefusalWithoutRequestID(t *testing.T) {
	const refusal = "HTTP/1.1 400 X\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"
	k := newControl(configuration(time.Minute))
	var requests atomic.Int64
	u := newUpstream(t, "a", func(*http.Request, string) string {
		if requests.Add(1) == 1 {
			return refusal
		}
		return "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 1\r\n\r\nx"
	})
	newNode(t, k, "a", "s", u.address).sendHeartbeat(t, k, u, "s", 5)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "", "").status, 503)
	u.mu.Lock()
	u.repeat = refusal
	u.mu.Unlock()
	a := entry.call(t, http.MethodPost, "/book/x", "", "")
	assert.Equal(t, fmt.Sprint(a.status, a.body), "200x")
}
