package wasabinode_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func emptyHandler(http.ResponseWriter, *http.Request) {}

// clientResponse is a response that was read to its end.
type clientResponse struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

// do sends a request and reads the complete response.
func (m *mesh) do(r *http.Request) clientResponse {
	m.t.Helper()
	resp, err := m.client.Do(r)
	assert.NilError(m.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(m.t, err)
	return clientResponse{resp.StatusCode, resp.Header, resp.Trailer, string(body)}
}

// expectRefusal sends a request, checks that it is refused, and returns the
// response.
func (m *mesh) expectRefusal(r *http.Request, status int, outcome, reason string) clientResponse {
	m.t.Helper()
	w := m.do(r)
	assert.Equal(m.t, w.status, status, w.body)
	assert.Equal(m.t, w.header.Get("Wasabi-Outcome"), outcome)
	assert.Equal(m.t, w.header.Get("Content-Type"), "application/problem+json")
	assert.Assert(m.t, strings.Contains(w.body, `"reason":"`+reason+`"`), w.body)
	return w
}

// Guards against requests and responses that are altered on the way through two
// nodes and a link.
func TestForwardsResponseThroughTwoNodes(t *testing.T) {
	m := newMesh(t)
	seen := make(chan http.Header, 1)
	m.add("b1", "b", func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Wasabi-Outcome", "not-run")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "answer to "+r.URL.RequestURI())
	})
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	resp := m.do(request(t, a, "GET", "b", "/read/x%2Fy?q=1", "Wasabi-Request", "r1", "Wasabi-Timeout", "5000"))
	assert.Equal(t, resp.body, "answer to /read/x%2Fy?q=1")
	assert.Equal(t, resp.status, http.StatusCreated)
	assert.Equal(t, resp.header.Get("X-Kept"), "yes")
	assert.Equal(t, resp.header.Get("X-Hop"), "")
	assert.DeepEqual(t, resp.header["Wasabi-Outcome"], []string{"answered"})
	h := <-seen
	assert.Equal(t, h.Get("Wasabi-Request"), "r1")
	assert.Equal(t, h.Get("Wasabi-Importance"), "Normal")
	assert.Equal(t, h.Get("Wasabi-Caller"), "client")
	assert.Assert(t, len(h.Get("Wasabi-Call")) >= 26)
}

// Guards against malformed headers that reach an upstream or are silently
// misinterpreted.
func TestRefusesMalformedRequests(t *testing.T) {
	m := newMesh(t)
	ran := make(chan struct{}, 100)
	a := m.add("a1", "a", func(http.ResponseWriter, *http.Request) { ran <- struct{}{} })
	m.awaitReady()
	for _, c := range []struct {
		method, service, path string
		headers               []string
		status                int
		reason, names         string
	}{
		{"GET", "a", "/read/x", []string{"Wasabi-Timeout", "0"}, 400, "bad-request", "Wasabi-Timeout"},
		{"GET", "a", "/read/x", []string{"Wasabi-Timeout", "-5"}, 400, "bad-request", "Wasabi-Timeout"},
		{"GET", "a", "/read/x", []string{"Wasabi-Timeout", "1e3"}, 400, "bad-request", "1e3"},
		{"GET", "a", "/read/x", []string{"Wasabi-Timeout", "99999999999999999999"}, 400, "bad-request", "Wasabi-Timeout"},
		{"GET", "a", "/read/x", []string{"Wasabi-Request", strings.Repeat("r", 65)}, 400, "bad-request", "65 bytes"},
		{"GET", "a", "/read/x", []string{"Wasabi-Caller", "a\tb"}, 400, "bad-request", "Wasabi-Caller"},
		{"GET", "a", "/read/x", []string{"Upgrade", "websocket", "Connection", "Upgrade"}, 400, "bad-request", "websocket"},
		{"POST", "a", "/approve", []string{"Idempotency-Key", strings.Repeat("k", 129)}, 400, "bad-request", "129 bytes"},
		{"POST", "a", "/approve", nil, 400, "bad-request", "Idempotency-Key"},
		{"POST", "a", "/elsewhere", nil, 404, "unknown-call", "/elsewhere"},
		{"GET", "z", "/read/x", nil, 404, "unknown-call", "z"},
	} {
		w := m.expectRefusal(request(t, a, c.method, c.service, c.path, c.headers...), c.status, "not-run", c.reason)
		assert.Assert(t, strings.Contains(w.body, c.names), w.body)
		assert.Equal(t, w.header.Get("Retry-After"), "")
	}
	assert.Equal(t, len(ran), 0)
}

// Guards against calls that are served without a committed configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	m := newMesh(t)
	a := m.add("a1", "a", emptyHandler)
	ready, _ := a.Ready()
	assert.Assert(t, !ready)
	w := m.expectRefusal(request(t, a, "GET", "a", "/read/x"), 503, "not-run", "not-ready")
	assert.Assert(t, w.header.Get("Retry-After") != "" && w.header.Get("Wasabi-Retry-After-Ms") != "")
	resp, err := m.client.Get("http://" + a.AdminAddress() + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, 503)
}

// Guards against a caller that evades its rate limit by retrying.
func TestRetriesCountAgainstCallerLimit(t *testing.T) {
	m := newMesh(t)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	for range 2 {
		assert.Equal(t, m.do(request(t, a, "GET", "a", "/read/x", "Wasabi-Caller", "greedy", "Wasabi-Request", "same")).status, 200)
	}
	m.expectRefusal(request(t, a, "GET", "a", "/read/x", "Wasabi-Caller", "greedy", "Wasabi-Request", "same"), 429, "not-run", "caller-share")
	assert.Equal(t, m.do(request(t, a, "GET", "a", "/read/x")).status, 200)
}

// Guards against an upstream that may work until just before the caller's
// deadline, so that the response would arrive too late, and against a
// Content-Type that the upstream did not set.
func TestReservesTimeForResponse(t *testing.T) {
	m := newMesh(t)
	seen := make(chan string, 1)
	m.add("b1", "b", func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Wasabi-Timeout")
		w.Header()["Content-Type"] = nil
		_, _ = io.WriteString(w, "text")
	})
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	for _, c := range []struct{ timeoutMs, maxMs int }{{800, 700}, {5000, 4750}} {
		resp := m.do(request(t, a, "GET", "b", "/read/x", "Wasabi-Timeout", strconv.Itoa(c.timeoutMs)))
		assert.Equal(t, resp.status, http.StatusOK)
		_, typed := resp.header["Content-Type"]
		assert.Assert(t, !typed, "%v", resp.header)
		remaining, err := strconv.Atoi(<-seen)
		assert.NilError(t, err)
		assert.Assert(t, remaining <= c.maxMs, "%d ms of %d remain for the upstream", remaining, c.timeoutMs)
	}
}
