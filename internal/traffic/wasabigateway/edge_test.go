package wasabigateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
)

// Guards against a stop that never ends because callers keep coming, and
// against one that cuts a request which was sent before it.
func TestStopEndsUnderTraffic(t *testing.T) {
	k := newControl(contracts(time.Minute))
	started, release := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, "i", func(r *http.Request, body string) string {
		if r.Method == http.MethodPost {
			close(started)
			<-release
		}
		return whole(r, body)
	})
	n := newNode(t, k, "node", "s", u.address)
	n.beat(t, k, u, "s", 5)
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

// Guards against a request that is held beyond its route's timeout, and against
// an upstream that is handed more time than is left.
func TestTimeoutOfTheRoute(t *testing.T) {
	for _, test := range []struct {
		method, path string
		status       int
	}{{http.MethodPost, "/book/x", 504}, {http.MethodGet, "/read/x", 504}} {
		k := newControl(contracts(300 * time.Millisecond))
		release, patience := make(chan struct{}), make(chan string, 4)
		u := newUpstream(t, "i", func(r *http.Request, body string) string {
			patience <- r.Header.Get("Patience-Ms")
			<-release
			return whole(r, body)
		})
		entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
		newNode(t, k, "target", "s", u.address).beat(t, k, u, "s", 5)
		assert.Equal(t, entry.call(t, test.method, test.path, "1", "").status, test.status)
		close(release)
		ms, err := strconv.Atoi(<-patience)
		assert.NilError(t, err)
		assert.Assert(t, ms > 0 && ms <= 300, "%d", ms)
		assert.Equal(t, len(u.seen()), 1)
	}
}

// Guards against a malformed patience that lets a request wait without end, or
// that refuses a proper one.
func TestMalformedPatience(t *testing.T) {
	k := newControl(contracts(time.Minute))
	u := newUpstream(t, "i", whole)
	n := newNode(t, k, "node", "s", u.address)
	n.beat(t, k, u, "s", 5)
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

// Guards against a pipelined request that is lost or answered wrongly behind
// one that fails.
func TestPipelinedBehindAFailure(t *testing.T) {
	k := newControl(contracts(time.Minute))
	u := newUpstream(t, "i", func(r *http.Request, body string) string {
		if r.Header.Get("Id") == "1" {
			return ""
		}
		return whole(r, r.Header.Get("Id"))
	})
	n := newNode(t, k, "node", "s", u.address)
	n.beat(t, k, u, "s", 5)
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

// Guards against a refusal for want of instances while control has told of
// another one that the node has not taken over yet.
func TestListIsReadBeforeARefusal(t *testing.T) {
	k := newControl(contracts(time.Minute))
	sheds := newUpstream(t, "a", func(r *http.Request, _ string) string {
		return "HTTP/1.1 503 X\r\nId: " + r.Header.Get("Id") + "\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"
	})
	serves := newUpstream(t, "b", whole)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	newNode(t, k, "a", "s", sheds.address).beat(t, k, sheds, "s", 5)
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "1", "").status, http.StatusServiceUnavailable)
	elsewhere := newControl(contracts(time.Minute))
	newNode(t, elsewhere, "b", "s", serves.address).beat(t, elsewhere, serves, "s", 5)
	k.silent.Store(true)
	k.announce(elsewhere.View().Instances["s"][0])
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "2", "").status, http.StatusOK)
}

// Guards against repeats that multiply through a call tree when a service
// further down fails for all: failures that many requests share are answers.
func TestSharedFailuresAreNotRepeated(t *testing.T) {
	const calls = 60
	k := newControl(contracts(time.Minute))
	var all []*upstream
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	for _, name := range []string{"a", "b", "c"} {
		u := newUpstream(t, name, func(r *http.Request, _ string) string {
			return "HTTP/1.1 500 X\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nContent-Length: 0\r\n\r\n"
		})
		newNode(t, k, name, "s", u.address).beat(t, k, u, "s", 5)
		all = append(all, u)
	}
	for id := range calls {
		assert.Equal(t, entry.call(t, http.MethodGet, "/read/x", fmt.Sprint(id), "").status, http.StatusInternalServerError)
	}
	runs := 0
	for _, u := range all {
		runs += len(u.seen())
	}
	// A quarter of a tenth, and one at low rates.
	assert.Assert(t, runs > calls && runs <= calls+calls/40+1, "%d runs of %d calls", runs, calls)
}

// Guards against a refusal of the first requests of a node whose session with
// control is about to open.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	k := newControl(nil)
	n := startNode(t, k, wasabigateway.NewSettings("node", "s", "127.0.0.1:1").WithFirstSession(time.Minute), "node")
	status := make(chan int)
	go func() { status <- n.call(t, http.MethodGet, "/nowhere/x", "1", "").status }()
	k.view.Store(&wasabistand.View{Revision: 1, Configuration: contracts(time.Minute)})
	next := make(chan struct{})
	close(*k.changed.Swap(&next))
	assert.Equal(t, <-status, http.StatusNotFound)
}

// Guards against single failures of an upstream, or those of a service below
// it, that drive requests to other failure domains and regions.
func TestOwnFailureLeavesPlacement(t *testing.T) {
	k := newControl(contracts(time.Minute))
	here := wasabistand.Location{Region: "r", FailureDomain: "d"}
	start := func(name, service, upstream string, l wasabistand.Location) *node {
		return startNode(t, k, wasabigateway.NewSettings(name, service, upstream).WithLocation(l).WithDrainTime(0).WithGrace(600*time.Millisecond), name)
	}
	near := newUpstream(t, "near", func(r *http.Request, _ string) string {
		if r.Header.Get("Id") == "1" {
			return "HTTP/1.1 500 X\r\nId: 1\r\nMark: m\r\nContent-Length: 0\r\n\r\n"
		}
		return whole(r, "near")
	})
	far := newUpstream(t, "far", func(r *http.Request, _ string) string { return whole(r, "far") })
	entry := start("entry", "t", "127.0.0.1:1", here)
	start("near", "s", near.address, here).beat(t, k, near, "s", 50)
	start("far", "s", far.address, wasabistand.Location{Region: "other", FailureDomain: "e"}).beat(t, k, far, "s", 50)
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "0", "").body, "near")
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "1", "").status, http.StatusInternalServerError)
	assert.Equal(t, entry.call(t, http.MethodPost, "/book/x", "2", "").body, "near")
}
