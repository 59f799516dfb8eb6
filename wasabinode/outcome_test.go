package wasabinode_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabilocal"
	"github.com/wasabistand/wasabistand/wasabinode"
)

// countingHandler counts the calls that reach an upstream.
type countingHandler struct {
	n atomic.Int64
	h http.HandlerFunc
}

func (c *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.n.Add(1); c.h(w, r) }

func abortHandler(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func shedHandler(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Wasabi-Shed", r.Header.Get("Wasabi-Call"))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against retries of calls that may have run and are not idempotent,
// and against retries at the same instance.
func TestRetriesOnlySafeCallsAtAnotherInstance(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	plain503 := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for _, c := range []struct {
		name         string
		first        http.HandlerFunc
		method, path string
		status       int
		second       int64
	}{
		{"idempotent truncated", abortHandler, "PUT", "/put", 200, 1},
		{"non-idempotent truncated", abortHandler, "POST", "/approve", 502, 0},
		{"non-idempotent shed with its token", shedHandler, "POST", "/approve", 200, 1},
		{"503 without the token is a response", plain503, "PUT", "/put", 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(t)
			first, second := &countingHandler{h: c.first}, &countingHandler{h: echo}
			m.add("b1", "b", first.ServeHTTP)
			m.add("b2", "b", second.ServeHTTP)
			a := m.add("a1", "a", emptyHandler)
			// The router prefers the nearer instance.
			m.instances["b"][0].Location, m.instances["b"][1].Location = m.instances["a"][0].Location, wasabistand.Location{Region: "local", FailureDomain: "other"}
			m.awaitReady()
			r := request(t, a, c.method, "b", c.path, "Idempotency-Key", "k1")
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("body")), 4
			w := m.do(r)
			assert.Equal(t, w.status, c.status)
			assert.Equal(t, first.n.Load(), int64(1))
			assert.Equal(t, second.n.Load(), c.second)
			if c.status == 200 {
				assert.Equal(t, w.body, "body")
			}
			if c.status == 502 {
				assert.Equal(t, w.header.Get("Wasabi-Outcome"), "unknown")
			}
		})
	}
}

// Guards against a failure of an upstream that is reported as not run because a
// downstream call was refused.
func TestDownstreamRefusalIsResponse(t *testing.T) {
	m := newMesh(t)
	m.add("b1", "b", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Wasabi-Outcome", "not-run")
		w.Header().Set("Wasabi-Shed", "token of another call")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	w := m.do(request(t, a, "GET", "b", "/read/x"))
	assert.Equal(t, w.header.Get("Wasabi-Outcome"), "answered")
}

// callDownstream returns the handler of an upstream that calls another service
// through its own node, with up to the given number of retries.
func callDownstream(m *mesh, node **wasabinode.Node, service string, retries int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for range 1 + retries {
			out := request(m.t, *node, "GET", service, "/read/below")
			out.Header.Set("Wasabi-Call", r.Header.Get("Wasabi-Call"))
			resp, err := m.client.Do(out.WithContext(r.Context()))
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			if err = errors.Join(err, resp.Body.Close()); err == nil && resp.StatusCode == http.StatusOK {
				return
			}
		}
		panic(http.ErrAbortHandler)
	}
}

// Guards against retries that multiply from hop to hop. Although each upstream
// retries on its own, a request causes its first attempts and at most as many
// retries as its retry budget allows.
func TestRetriesOfCallTreeAreBounded(t *testing.T) {
	m := newMesh(t)
	leaf := &countingHandler{h: abortHandler}
	m.add("c1", "c", leaf.ServeHTTP)
	m.add("c2", "c", leaf.ServeHTTP)
	var b1, b2, a *wasabinode.Node
	b1 = m.add("b1", "b", func(w http.ResponseWriter, r *http.Request) { callDownstream(m, &b1, "c", 3)(w, r) })
	b2 = m.add("b2", "b", func(w http.ResponseWriter, r *http.Request) { callDownstream(m, &b2, "c", 3)(w, r) })
	a = m.add("a1", "a", func(w http.ResponseWriter, r *http.Request) { callDownstream(m, &a, "b", 3)(w, r) })
	m.awaitReady()
	w := m.do(request(t, a, "GET", "a", "/read/x"))
	assert.Equal(t, w.status, 502)
	assert.Assert(t, leaf.n.Load() >= 2 && leaf.n.Load() <= 1+3, "%d calls reached the leaf", leaf.n.Load())
}

// Guards against an upstream that gets additional retries because it lost the
// call token.
func TestUnknownTokenGetsNoRetry(t *testing.T) {
	m := newMesh(t)
	leaf := &countingHandler{h: abortHandler}
	m.add("b1", "b", leaf.ServeHTTP)
	m.add("b2", "b", leaf.ServeHTTP)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	assert.Equal(t, m.do(request(t, a, "GET", "b", "/read/x", "Wasabi-Call", "ended")).status, 502)
	assert.Equal(t, leaf.n.Load(), int64(1))
}

// Guards against a refused call that runs nevertheless, and against a call that
// keeps its slot after it ended.
func TestRefusedCallNeverReachesUpstream(t *testing.T) {
	m := newMesh(t)
	m.settings = func(s wasabinode.Settings) wasabinode.Settings { return s.WithCapacity(1, 1) }
	release := make(chan struct{})
	started := make(chan string, 10)
	s := m.configuration.Services["a"]
	s.QueueLimit = 0
	m.configuration.Services["a"] = s
	a := m.add("a1", "a", func(_ http.ResponseWriter, r *http.Request) { started <- r.URL.Path; <-release })
	m.awaitReady()
	done := make(chan clientResponse)
	go func() { done <- m.do(request(t, a, "GET", "a", "/read/first")) }()
	assert.Equal(t, <-started, "/read/first")
	m.expectRefusal(request(t, a, "GET", "a", "/read/second"), 503, "not-run", "queue-full")
	close(release)
	assert.Equal(t, (<-done).status, 200)
	assert.Equal(t, m.do(request(t, a, "GET", "a", "/read/third")).status, 200)
	assert.Equal(t, <-started, "/read/third")
	assert.Equal(t, len(started), 0)
}

// Guards against a non-idempotent call that runs twice when it is retried: while
// it runs, after it was answered, through another node, with another body, and
// after its caller disconnected.
func TestSameKeyRunsOnce(t *testing.T) {
	m := newMesh(t)
	started, release := make(chan struct{}, 10), make(chan struct{})
	up := &countingHandler{h: func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		started <- struct{}{}
		<-release
		_, _ = w.Write(append(b, "!"...))
	}}
	m.add("b1", "b", up.ServeHTTP)
	m.add("b2", "b", up.ServeHTTP)
	a1, a2 := m.add("a1", "a", emptyHandler), m.add("a2", "a", emptyHandler)
	m.awaitReady()
	approve := func(ctx context.Context, n *wasabinode.Node, body string) *http.Request {
		r := request(t, n, "POST", "b", "/approve", "Idempotency-Key", "k")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		return r.WithContext(ctx)
	}
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		resp, err := m.client.Do(approve(ctx, a1, "report"))
		if err == nil {
			_ = resp.Body.Close()
		}
		failed <- err
	}()
	<-started
	cancel()
	assert.Assert(t, errors.Is(<-failed, context.Canceled))
	w := m.expectRefusal(approve(t.Context(), a2, "report"), 409, "already-running", "already-running")
	assert.Assert(t, w.header.Get("Retry-After") != "")
	m.expectRefusal(approve(t.Context(), a2, "other!"), 422, "not-run", "key-reused")
	close(release)
	s := <-m.claims.settled
	assert.Equal(t, s.Outcome, wasabistand.Answered)
	w = m.do(approve(t.Context(), a2, "report"))
	assert.Equal(t, w.body, "report!")
	assert.Equal(t, w.header.Get("Wasabi-Replayed"), "true")
	assert.Equal(t, up.n.Load(), int64(1))
}

// cuttableLinks dials links whose connections a test can close.
type cuttableLinks struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (f *cuttableLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
	}
	return c, err
}

func (f *cuttableLinks) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// Guards against a lost link that is reported as not run, and against a second
// run of a call whose outcome is unknown.
func TestLostLinkAfterDispatchIsUnknown(t *testing.T) {
	m := newMesh(t)
	f := &cuttableLinks{}
	m.dial = f.dial
	started, release := make(chan struct{}, 10), make(chan struct{})
	up := &countingHandler{h: func(http.ResponseWriter, *http.Request) { started <- struct{}{}; <-release }}
	m.add("b1", "b", up.ServeHTTP)
	m.add("b2", "b", up.ServeHTTP)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	done := make(chan clientResponse)
	go func() { done <- m.do(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k")) }()
	<-started
	f.closeAll()
	w := <-done
	assert.Equal(t, w.status, 502)
	assert.Equal(t, w.header.Get("Wasabi-Outcome"), "unknown")
	assert.Equal(t, (<-m.claims.settled).Outcome, wasabistand.Unknown)
	m.expectRefusal(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k"), 502, "unknown", "claim-outcome-unknown")
	close(release)
	assert.Equal(t, up.n.Load(), int64(1))
}

// Guards against an unreachable instance that is reported as unknown, and
// against a claim that is kept for a call that did not run.
func TestUnreachableInstanceIsNotRun(t *testing.T) {
	m := newMesh(t)
	m.dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }
	m.add("b1", "b", emptyHandler)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	m.expectRefusal(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k"), 503, "not-run", "connect")
	assert.Equal(t, (<-m.claims.settled).Outcome, wasabistand.NotRun)
}

// Guards against late responses that reach the caller of another call on the same
// link.
func TestLateResponsesNeverMix(t *testing.T) {
	m := newMesh(t)
	m.settings = func(s wasabinode.Settings) wasabinode.Settings { return s.WithCapacity(64, 64) }
	m.add("b1", "b", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/late") {
			// Responds after the call's deadline.
			<-r.Context().Done()
		}
		for range 20 {
			_, _ = io.WriteString(w, r.Header.Get("Wasabi-Request")+"\n")
			_ = http.NewResponseController(w).Flush()
		}
	})
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	var wait sync.WaitGroup
	for i := range 40 {
		wait.Go(func() {
			id := strings.Repeat("i", i+1)
			if i%2 == 0 {
				w := m.do(request(t, a, "GET", "b", "/read/late", "Wasabi-Request", id, "Wasabi-Timeout", "30"))
				assert.Check(t, w.status == 504 && w.header.Get("Wasabi-Outcome") != "answered", w.body)
				return
			}
			w := m.do(request(t, a, "GET", "b", "/read/x", "Wasabi-Request", id))
			assert.Check(t, w.body == strings.Repeat(id+"\n", 20), w.body)
		})
	}
	wait.Wait()
}

// Guards against an upstream that repeats an earlier refusal, or sends the response to
// an earlier call, where the response to another call is due: that call may have run.
func TestResponseToEarlierCallIsUnknown(t *testing.T) {
	for header, name := range map[string]string{"Wasabi-Shed": "Wasabi-Call", "Wasabi-Request": "Wasabi-Request"} {
		t.Run(header, func(t *testing.T) {
			m := newMesh(t)
			var runs atomic.Int64
			first := ""
			a := m.add("a1", "a", func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					first = r.Header.Get(name)
					return
				}
				c, b, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				defer c.Close()
				_, err = fmt.Fprintf(b, "HTTP/1.1 503 X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", header, first)
				assert.Check(t, err)
				assert.Check(t, b.Flush())
			})
			m.awaitReady()
			assert.Equal(t, m.do(request(t, a, "POST", "a", "/approve", "Idempotency-Key", "k1")).status, 200)
			w := m.do(request(t, a, "POST", "a", "/approve", "Idempotency-Key", "k2"))
			assert.Equal(t, w.header.Get("Wasabi-Outcome"), "unknown", "%d %s", w.status, w.header)
			assert.Equal(t, runs.Load(), int64(2))
		})
	}
}

// Guards against calls that were refused at their entry node and are counted as
// refused by an upstream's node.
func TestEntryRefusalsAreRecognized(t *testing.T) {
	monitor := wasabilocal.NewMonitor()
	m := newMesh(t)
	m.dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }
	m.parts = func(_ string, p wasabinode.Parts) wasabinode.Parts { p.Recorder = monitor; return p }
	m.add("b1", "b", emptyHandler)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	m.expectRefusal(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k"), 503, "not-run", "connect")
	assert.DeepEqual(t, monitor.Reasons(), map[wasabistand.Reason]int{wasabistand.ReasonConnect: 1})
}

// Guards against a retry that gets an empty response in place of one that was too
// large to store, and against a claim that is settled as answered by a truncated
// response.
func TestRetryOfLargeResponseReportsAlreadyRun(t *testing.T) {
	m := newMesh(t)
	up := &countingHandler{h: func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		if r.Header.Get("Idempotency-Key") == "cut" {
			panic(http.ErrAbortHandler)
		}
	}}
	m.add("b1", "b", up.ServeHTTP)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	assert.Equal(t, len(m.do(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k")).body), 100_000)
	assert.Equal(t, (<-m.claims.settled).Outcome, wasabistand.Answered)
	w := m.expectRefusal(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k"), 409, "answered", "already-run")
	assert.Equal(t, w.header.Get("Wasabi-Replayed"), "true")
	resp, err := m.client.Do(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "cut"))
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, (<-m.claims.settled).Outcome, wasabistand.Unknown)
	assert.Equal(t, up.n.Load(), int64(2))
}
