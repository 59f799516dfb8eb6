package wasabigateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
)

// Guards against a shutdown that never ends because callers keep sending requests,
// and against one that aborts a request sent before it.
func TestShutdownEndsUnderTraffic(t *testing.T) {
	k := newControl(configuration(time.Minute))
	started, release := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, "i", func(r *http.Request, body string) string {
		if r.Method == http.MethodPost {
			close(started)
			<-release
		}
		return echoResponse(r, body)
	})
	n := newNode(t, k, "node", "s", u.address)
	n.sendHeartbeat(t, k, u, "s", 5)
	first := make(chan reply, 1)
	go func() { first <- n.call(t, http.MethodPost, "/book/x", "1", "") }()
	<-started
	stopped := make(chan struct{})
	go func() { defer close(stopped); n.Shutdown(t.Context()) }()
	for n.Ready() {
		runtime.Gosched()
	}
	for i := 0; ; i++ {
		a := n.call(t, http.MethodGet, "/read/x", fmt.Sprint("late", i), "")
		if a.status == 503 {
			break
		}
		assert.Equal(t, a.status, 200)
	}
	close(release)
	assert.Equal(t, (<-first).status, 200)
	<-stopped
}

// Guards against a request that is held beyond its route's timeout, and against an
// upstream that is given more time than remains.
func TestRouteTimeout(t *testing.T) {
	for _, test := range []struct {
		method, path string
		status       int
	}{{http.MethodPost, "/book/x", 504}, {http.MethodGet, "/read/x", 504}} {
		k := newControl(configuration(300 * time.Millisecond))
		release, timeouts := make(chan struct{}), make(chan string, 4)
		u := newUpstream(t, "i", func(r *http.Request, body string) string {
			timeouts <- r.Header.Get("Patience-Ms")
			<-release
			return echoResponse(r, body)
		})
		entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
		newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 5)
		assert.Equal(t, entry.call(t, test.method, test.path, "1", "").status, test.status)
		close(release)
		ms, err := strconv.Atoi(<-timeouts)
		assert.NilError(t, err)
		assert.Assert(t, ms > 0 && ms <= 300, "%d", ms)
		assert.Equal(t, len(u.seen()), 1)
	}
}

// Guards against a malformed timeout header that lets a request wait without end,
// and against refusing a valid one.
func TestMalformedTimeout(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", echoResponse)
	n := newNode(t, k, "node", "s", u.address)
	n.sendHeartbeat(t, k, u, "s", 5)
	for value, status := range map[string]int{
		"": 200, "5000": 200, "999999999999": 200, "9223372036854775807": 200,
		"0": 503, "-1": 503, "abc": 400, "1.5": 400, "99999999999999999999": 400,
	} {
		c, err := net.Dial("tcp", n.address)
		assert.NilError(t, err)
		field := ""
		if value != "" {
			field = "Patience-Ms: " + value + "\r\n"
		}
		_, err = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"+field+"\r\n")
		assert.NilError(t, err)
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, a.StatusCode, status, "%q", value)
		assert.NilError(t, c.Close())
	}
}

// Guards against a pipelined request that gets no response or a wrong one after an
// earlier request on the connection has failed.
func TestPipelinedRequestsAfterFailure(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", func(r *http.Request, body string) string {
		if r.Header.Get("Id") == "1" {
			return ""
		}
		return echoResponse(r, r.Header.Get("Id"))
	})
	n := newNode(t, k, "node", "s", u.address)
	n.sendHeartbeat(t, k, u, "s", 5)
	c, err := net.Dial("tcp", n.address)
	assert.NilError(t, err)
	defer c.Close()
	for id, path := range []string{"/none/x", "/read/x", "/read/x", "/read/x"} {
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", path, id)
		assert.NilError(t, err)
	}
	r := bufio.NewReader(c)
	for id, status := range []int{404, 502, 200, 200} {
		a, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		b, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, a.StatusCode, status)
		assert.Equal(t, a.Header.Get("Id"), fmt.Sprint(id))
		if status == 200 {
			assert.Equal(t, string(b), fmt.Sprint(id))
		}
	}
}

// Guards against pipelined requests that were run and get no response, because a long
// response before them breaks off, and against a long response that does not come whole
// to a caller that pipelines.
func TestLongResponseBeforePipelinedRequests(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40<<10)
	for _, isCut := range []bool{true, false} {
		t.Run(fmt.Sprint("cut ", isCut), func(t *testing.T) {
			const behind = 4
			k := newControl(configuration(time.Minute))
			var running sync.WaitGroup
			running.Add(behind)
			u := newUpstream(t, "i", func(r *http.Request, _ string) string {
				if r.Header.Get("Id") != "0" {
					running.Done()
					return echoResponse(r, r.Header.Get("Id"))
				}
				running.Wait()
				if text := echoResponse(r, long); isCut {
					return text[:len(text)*3/4] + "!"
				}
				return echoResponse(r, long)
			})
			n := newNode(t, k, "node", "s", u.address)
			n.sendHeartbeat(t, k, u, "s", 8)
			c, err := net.Dial("tcp", n.address)
			assert.NilError(t, err)
			defer c.Close()
			for id := range behind + 1 {
				_, err = fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", id)
				assert.NilError(t, err)
			}
			r := bufio.NewReader(c)
			for id := range behind + 1 {
				a, err := http.ReadResponse(r, nil)
				assert.NilError(t, err, "response %d", id)
				b, err := io.ReadAll(a.Body)
				assert.NilError(t, err)
				assert.NilError(t, a.Body.Close())
				assert.Equal(t, a.Header.Get("Id"), fmt.Sprint(id))
				switch {
				case id > 0:
					assert.Equal(t, string(b), fmt.Sprint(id))
				case isCut:
					assert.Equal(t, a.StatusCode, 502)
				default:
					assert.Assert(t, string(b) == long, "%d bytes", len(b))
				}
			}
		})
	}
}

// Guards against a refusal for lack of instances while control has reported another
// one that the node has not applied yet.
func TestInstancesAreReadBeforeRefusal(t *testing.T) {
	k := newControl(configuration(time.Minute))
	shedding := newUpstream(t, "a", func(r *http.Request, _ string) string {
		return "HTTP/1.1 503 X\r\nId: " + r.Header.Get("Id") + "\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"
	})
	serving := newUpstream(t, "b", echoResponse)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	newNode(t, k, "a", "s", shedding.address).sendHeartbeat(t, k, shedding, "s", 5)
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "1", "").status, http.StatusServiceUnavailable)
	otherControl := newControl(configuration(time.Minute))
	newNode(t, otherControl, "b", "s", serving.address).sendHeartbeat(t, otherControl, serving, "s", 5)
	k.silent.Store(true)
	k.announce(otherControl.View().Instances["s"][0], false)
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "2", "").status, http.StatusOK)
}

// Guards against retries that multiply through a call tree when a downstream
// service fails for all requests: failures that many requests share are returned to
// the caller.
func TestSharedFailuresAreNotRetried(t *testing.T) {
	const calls = 60
	k := newControl(configuration(time.Minute))
	var all []*upstream
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	for _, name := range []string{"a", "b", "c"} {
		u := newUpstream(t, name, func(r *http.Request, _ string) string {
			return "HTTP/1.1 500 X\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nContent-Length: 0\r\n\r\n"
		})
		newNode(t, k, name, "s", u.address).sendHeartbeat(t, k, u, "s", 5)
		all = append(all, u)
	}
	for id := range calls {
		assert.Equal(t, entry.call(t, http.MethodGet, "/read/x", fmt.Sprint(id), "").status, http.StatusInternalServerError)
	}
	runs := 0
	for _, u := range all {
		runs += len(u.seen())
	}
	// Failures may use a quarter of the retry budget, which is a tenth of the
	// requests, plus one retry at low rates.
	assert.Assert(t, runs > calls && runs <= calls+calls/40+1, "%d runs of %d calls", runs, calls)
}

// Guards against refusing the first requests of a node whose session with control
// is about to open.
func TestFirstRequestsWaitForConfiguration(t *testing.T) {
	k := newControl(nil)
	n := startNode(t, k, wasabigateway.NewSettings("node", "s", "127.0.0.1:1").WithStartupLimit(time.Minute), "node")
	status := make(chan int)
	go func() { status <- n.call(t, http.MethodGet, "/nowhere/x", "1", "").status }()
	k.view.Store(&wasabistand.View{Revision: 1, Configuration: configuration(time.Minute)})
	next := make(chan struct{})
	close(*k.changed.Swap(&next))
	assert.Equal(t, <-status, http.StatusNotFound)
}

// Guards against single failures of an upstream, or of a service downstream of it,
// that move requests to other failure domains and regions.
func TestUpstreamFailureKeepsPlacement(t *testing.T) {
	k := newControl(configuration(time.Minute))
	here := wasabistand.Location{Region: "r", FailureDomain: "d"}
	start := func(name, service, upstream string, l wasabistand.Location) *node {
		return startNode(t, k, wasabigateway.NewSettings(name, service, upstream).WithLocation(l).WithDrainTime(0).WithGrace(600*time.Millisecond), name)
	}
	near := newUpstream(t, "near", func(r *http.Request, _ string) string {
		if r.Header.Get("Id") == "1" {
			return "HTTP/1.1 500 X\r\nId: 1\r\nMark: m\r\nContent-Length: 0\r\n\r\n"
		}
		return echoResponse(r, "near")
	})
	far := newUpstream(t, "far", func(r *http.Request, _ string) string { return echoResponse(r, "far") })
	entry := start("entry", "t", "127.0.0.1:1", here)
	start("near", "s", near.address, here).sendHeartbeat(t, k, near, "s", 50)
	start("far", "s", far.address, wasabistand.Location{Region: "other", FailureDomain: "e"}).sendHeartbeat(t, k, far, "s", 50)
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "0", "").body, "near")
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "1", "").status, http.StatusInternalServerError)
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "2", "").body, "near")
}
