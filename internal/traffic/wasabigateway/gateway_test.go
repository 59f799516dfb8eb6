package wasabigateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
	"github.com/wasabistand/wasabistand/wasabiadmission"
	"github.com/wasabistand/wasabistand/wasabilink"
)

var headers = wasabigateway.Headers{
	RequestID: "Id", Timeout: "Patience-Ms", Signature: "Mark", NotRun: "Untouched", Expected: "Meant-For", Origin: "From", Instance: "Name",
}

// control is a fake of the control instances. It gives each node the same view.
type control struct {
	unconfirmed atomic.Int64 // the age of the last confirmation in nanoseconds
	mu          sync.Mutex
	view        atomic.Pointer[wasabistand.View]
	changed     atomic.Pointer[chan struct{}]
	// silent suppresses the change signal of announcements.
	silent atomic.Bool
	list   []wasabistand.Instance // all announcements
}

func newControl(c *wasabistand.Configuration) *control {
	k := &control{}
	ch := make(chan struct{})
	k.changed.Store(&ch)
	if c != nil {
		k.view.Store(&wasabistand.View{Revision: 1, Configuration: c, Instances: map[string][]wasabistand.Instance{}})
	}
	return k
}

func (k *control) View() *wasabistand.View  { return k.view.Load() }
func (k *control) Subscribe(string)         {}
func (k *control) Changed() <-chan struct{} { return *k.changed.Load() }
func (k *control) String() string           { return "test" }

// announce replaces an instance in the view.
func (k *control) announce(i wasabistand.Instance, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = append(k.list, i)
	if k.view.Load() == nil {
		return
	}
	v := *k.view.Load()
	all := map[string][]wasabistand.Instance{}
	for s, list := range v.Instances {
		for _, old := range list {
			if old.ID != i.ID {
				all[s] = append(all[s], old)
			}
		}
	}
	all[i.Service] = append(all[i.Service], i)
	v.Instances = all
	k.view.Store(&v)
	if k.silent.Load() {
		return
	}
	next := make(chan struct{})
	close(*k.changed.Swap(&next))
}

// publish replaces the configuration in the view by a new revision.
func (k *control) publish(c *wasabistand.Configuration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := wasabistand.View{Instances: map[string][]wasabistand.Instance{}}
	if old := k.view.Load(); old != nil {
		v = *old
	}
	v.Revision, v.Configuration = v.Revision+1, c
	k.view.Store(&v)
	next := make(chan struct{})
	close(*k.changed.Swap(&next))
}

// announced returns all announcements in their order.
func (k *control) announced() []wasabistand.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]wasabistand.Instance(nil), k.list...)
}

type node struct {
	*wasabigateway.Gateway
	address string
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return ln
}

func newNode(t *testing.T, k *control, name, service, upstream string) *node {
	t.Helper()
	return startNode(t, k, wasabigateway.NewSettings(name, service, upstream).
		WithLocation(wasabistand.Location{Region: "r", FailureDomain: name}).WithDrainTime(0).WithGrace(600*time.Millisecond), name)
}

func startNode(t *testing.T, k *control, s wasabigateway.Settings, name string) *node {
	t.Helper()
	return startNodeAt(t, k, s, name, nil)
}

// startNodeAt starts a node with another clock, nil for the system's.
func startNodeAt(t *testing.T, k *control, s wasabigateway.Settings, name string, now func() time.Time) *node {
	t.Helper()
	link, callers := listen(t), listen(t)
	g, err := wasabigateway.New(
		s.WithHeaders(headers).WithLinkAddress(link.Addr().String()),
		wasabigateway.Parts{
			Directory: k, Announce: k.announce, Unconfirmed: func() time.Duration { return time.Duration(k.unconfirmed.Load()) }, Link: wasabilink.NewOptions("test", name, 1), Listener: link, Callers: callers,
			Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)), Place: wasabiplace.NewOptions(), Now: now,
			Admission: func(slots, queue int) wasabistand.Admission {
				return wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(slots).WithQueueLimit(queue))
			},
		})
	assert.NilError(t, err)
	g.Start()
	t.Cleanup(func() { assert.NilError(t, g.Close()) })
	return &node{Gateway: g, address: callers.Addr().String()}
}

// sendHeartbeat reports the instance and waits until control lists it as accepting
// calls.
func (n *node) sendHeartbeat(t *testing.T, k *control, u *upstream, service string, slots int) {
	t.Helper()
	assert.NilError(t, n.Heartbeat(wasabiinstance.Report{ID: u.name, Born: 1, Sequence: 1, Service: service, Address: u.address, Slots: slots}))
	k.awaitReady(t, n, service, slots)
}

// awaitReady waits until control lists a node's instance as accepting calls.
func (k *control) awaitReady(t *testing.T, n *node, service string, slots int) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		changed := k.Changed()
		for _, i := range k.View().Instances[service] {
			if i.ID == n.InitialInstance().ID && i.AcceptsCalls() && i.Slots == slots {
				return
			}
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("%s is not ready after 20 s", n.InitialInstance().ID)
		}
	}
}

func configuration(timeout time.Duration) *wasabistand.Configuration {
	route := func(name string, kind wasabistand.RouteKind, service string) wasabistand.Route {
		return wasabistand.Route{
			Name: name, PathPrefix: "/" + name + "/", Kind: kind, Importance: wasabistand.Normal, Objective: time.Second,
			Timeout: timeout, MaxAttempts: 2, Split: []wasabistand.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return &wasabistand.Configuration{
		Hosts:     []wasabistand.Host{{Name: "h", Routes: []wasabistand.Route{route("read", wasabistand.Safe, "s"), route("book", wasabistand.Unsafe, "s"), route("other", wasabistand.Safe, "t")}}},
		Upstreams: map[string]wasabistand.UpstreamPolicy{"s": {Service: "s", HealthPath: "/health", MaxConnections: 100}},
		Clients:   wasabistand.ClientLimits{MaxHeaderBytes: 4096, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute},
	}
}

type reply struct {
	status int
	header http.Header
	body   string
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true}}

func (n *node) call(t *testing.T, method, path, id, body string) reply {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.address+path, strings.NewReader(body))
	assert.NilError(t, err)
	return send(t, r, id)
}

// send sends a request with an ID and returns the response.
func send(t *testing.T, r *http.Request, id string) reply {
	t.Helper()
	r.Host = "h"
	r.Header.Set("Id", id)
	a, err := client.Do(r)
	assert.NilError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return reply{a.StatusCode, a.Header, string(b)}
}

// Guards against a request that is modified on its way through two nodes, a body
// that is truncated or mixed up, and header fields of the system that a caller can
// forge.
func TestRequestsPassUnchanged(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", func(r *http.Request, body string) string {
		assert.Check(t, r.Header.Get("From") == "t" && r.Header.Get("Meant-For") == "i" && r.Host == "h" && r.Header.Get("Patience-Ms") != "")
		assert.Check(t, r.Header.Get("User-Agent") != "" && r.Header.Get("Accept-Encoding") == "")
		return echoResponse(r, r.Method+" "+r.RequestURI+" "+body)
	})
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 20)
	var wait sync.WaitGroup
	for i, size := range []int{0, 1, 4095, 4096, 70_000, 600_000, 2_000_000} {
		wait.Go(func() {
			body := strings.Repeat(fmt.Sprint(i), size)
			a := entry.call(t, http.MethodPost, "/book/a%2fb?q=%20", fmt.Sprint(i), body)
			assert.Check(t, a.status == 200 && a.header.Get("Id") == fmt.Sprint(i) && a.header.Get("Mark") == "m", "%d %s", a.status, a.header)
			assert.Check(t, a.body == "POST /book/a%2fb?q=%20 "+body, "size %d: %d bytes", size, len(a.body))
		})
	}
	wait.Wait()
}

// Guards against a request that runs twice, and against a promise that a request
// did not run which the instance did not make.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		responses          []string
		status, runs       int
	}{
		{"no response, safe route", "GET", "/read/x", []string{"", "ok"}, 200, 2},
		{"no response twice, safe route", "GET", "/read/x", []string{"", "", "ok"}, 502, 2},
		{"no response, unsafe route", "POST", "/book/x", []string{"", "ok"}, 502, 1},
		{"declared not run, unsafe route", "POST", "/book/x", []string{"HTTP/1.1 503 X\r\nId: 1\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n", "ok"}, 200, 2},
		{"503 without a declaration, unsafe route", "POST", "/book/x", []string{"HTTP/1.1 503 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "ok"}, 502, 1},
		{"misdirected, unsafe route", "POST", "/book/x", []string{"HTTP/1.1 421 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "ok"}, 200, 2},
		{"error response, unsafe route", "POST", "/book/x", []string{"HTTP/1.1 500 X\r\nId: 1\r\nMark: m\r\nContent-Length: 0\r\n\r\n", "ok"}, 500, 1},
		{"error response, retry succeeds", "GET", "/read/x", []string{"HTTP/1.1 500 X\r\nId: 1\r\nMark: m\r\nContent-Length: 0\r\n\r\n", "ok"}, 200, 2},
		{"error response, retry gets no response", "GET", "/read/x", []string{"HTTP/1.1 500 X\r\nId: 1\r\nMark: m\r\nContent-Length: 0\r\n\r\n", ""}, 500, 2},
		{"error response twice", "GET", "/read/x", []string{"HTTP/1.1 500 X\r\nId: 1\r\nMark: m\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 X\r\nId: 1\r\nMark: m\r\nContent-Length: 0\r\n\r\n", "ok"}, 500, 2},
		{"no signature", "POST", "/book/x", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx", "ok"}, 502, 1},
		{"encoded", "POST", "/book/x", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nMark: m\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", "ok"}, 502, 1},
		{"cut body", "POST", "/book/x", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nMark: m\r\nContent-Length: 9\r\n\r\nx" + "!", "ok"}, 502, 1},
		{"shed at each attempt", "POST", "/book/x", []string{"HTTP/1.1 503 X\r\nId: 1\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 X\r\nId: 1\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"}, 503, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newControl(configuration(time.Minute))
			var next atomic.Int64
			script := func(r *http.Request, body string) string {
				n := int(next.Add(1)) - 1
				if n >= len(test.responses) || test.responses[n] == "ok" {
					return echoResponse(r, body)
				}
				return test.responses[n]
			}
			var all []*upstream
			entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
			for _, name := range []string{"a", "b", "c"} {
				u := newUpstream(t, name, script)
				newNode(t, k, name, "s", u.address).sendHeartbeat(t, k, u, "s", 5)
				all = append(all, u)
			}
			a := entry.call(t, test.method, test.path, "1", "")
			runs := 0
			for _, u := range all {
				runs += len(u.seen())
				assert.Assert(t, len(u.seen()) <= 1, "the same instance got it twice")
			}
			assert.Equal(t, runs, test.runs)
			assert.Equal(t, a.status, test.status)
			if a.status == 503 {
				assert.Assert(t, a.header.Get("Retry-After") != "")
			}
			if a.status > 500 {
				assert.Equal(t, a.header.Get("Mark"), "")
			}
		})
	}
}

// Guards against a node that responds with 404 before it has a configuration, and
// against one that reports itself as ready then.
func TestNotReadyBeforeConfiguration(t *testing.T) {
	n := newNode(t, newControl(nil), "entry", "t", "127.0.0.1:1")
	assert.Assert(t, !n.Ready())
	assert.Equal(t, n.call(t, http.MethodGet, "/read/x", "1", "").status, 503)
	n = newNode(t, newControl(configuration(time.Minute)), "entry", "t", "127.0.0.1:1")
	assert.Equal(t, n.call(t, http.MethodGet, "/nowhere/x", "1", "").status, 404)
}

// Guards against calls to an instance that reported that it leaves, also for
// requests that wait in its queue.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	k := newControl(configuration(time.Minute))
	started, release := make(chan struct{}, 8), make(chan struct{})
	u := newUpstream(t, "i", func(r *http.Request, body string) string {
		started <- struct{}{}
		<-release
		return echoResponse(r, body)
	})
	n := newNode(t, k, "node", "s", u.address)
	n.sendHeartbeat(t, k, u, "s", 1)
	first, second := make(chan reply, 1), make(chan reply, 1)
	go func() { first <- n.call(t, http.MethodPost, "/book/x", "1", "") }()
	<-started
	go func() { second <- n.call(t, http.MethodPost, "/book/x", "2", "") }()
	for n.Load().Waiting != 1 {
		runtime.Gosched()
	}
	assert.NilError(t, n.Heartbeat(wasabiinstance.Report{ID: "i", Born: 1, Sequence: 2, Service: "s", Address: u.address, Slots: 1, Leaving: true}))
	assert.Equal(t, (<-second).status, 503)
	close(release)
	assert.Equal(t, (<-first).status, 200)
	assert.DeepEqual(t, u.seen(), []string{"1"})
}

// Guards against wasted work for a caller that has gone, and against aborting a
// request that must not be retried.
func TestCallerDisconnects(t *testing.T) {
	k := newControl(configuration(time.Minute))
	started, release := make(chan string, 8), make(chan struct{})
	u := newUpstream(t, "i", func(r *http.Request, body string) string {
		started <- r.Header.Get("Id")
		<-release
		return echoResponse(r, body)
	})
	n := newNode(t, k, "node", "s", u.address)
	n.sendHeartbeat(t, k, u, "s", 1)
	c, err := net.Dial("tcp", n.address)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST /book/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, <-started, "1")
	waiting, err := net.Dial("tcp", n.address)
	assert.NilError(t, err)
	_, err = io.WriteString(waiting, "POST /book/x HTTP/1.1\r\nHost: h\r\nId: 2\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	for n.Load().Waiting != 1 {
		runtime.Gosched()
	}
	assert.NilError(t, c.Close())
	assert.NilError(t, waiting.Close())
	for n.Load().Waiting != 0 {
		runtime.Gosched()
	}
	// The slot stays in use until the first request has ended at the upstream.
	third := make(chan reply, 1)
	go func() { third <- n.call(t, http.MethodGet, "/read/x", "3", "") }()
	close(release)
	assert.Equal(t, (<-third).status, 200)
	for _, id := range u.seen() {
		assert.Assert(t, id != "2", "the caller went while the request waited")
	}
}
