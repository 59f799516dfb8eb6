package wasabigateway_test

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
)

// clock is a clock that tests move forward.
type clock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// Guards against a request that a stopping node accepts so late that it is cut when the
// node ends: callers have had three seconds to switch to other nodes.
func TestStoppingNodeRefusesLateRequests(t *testing.T) {
	for _, grace := range []time.Duration{6 * time.Second, 10 * time.Second, time.Minute} {
		k, c := newControl(configuration(time.Minute)), &clock{}
		u := newUpstream(t, "i", echoResponse)
		newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 5)
		n := startNodeAt(t, k, wasabigateway.NewSettings("node", "t", "127.0.0.1:1").
			WithLocation(wasabistand.Location{Region: "r", FailureDomain: "d"}).WithGrace(grace), "node", c.now)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { defer close(stopped); n.Shutdown(ctx) }()
		for n.Ready() {
			runtime.Gosched()
		}
		assert.Equal(t, n.call(t, http.MethodPost, "/book/x", "1", "").status, 200)
		c.advance(3100 * time.Millisecond)
		assert.Equal(t, n.call(t, http.MethodPost, "/book/x", "2", "").status, 503)
		cancel()
		<-stopped
		assert.DeepEqual(t, u.seen(), []string{"1"})
	}
}

// Guards against a stop that cuts the connections of requests that wait for a slot, at
// the node that stops or at another one, and of those that still run when it ends.
func TestStopAnswersOpenRequests(t *testing.T) {
	for _, place := range []string{"own node", "other node"} {
		t.Run(place, func(t *testing.T) {
			k, c := newControl(configuration(time.Minute)), &clock{}
			started, release := make(chan struct{}, 8), make(chan struct{})
			defer close(release)
			u := newUpstream(t, "i", func(r *http.Request, body string) string {
				started <- struct{}{}
				<-release
				return echoResponse(r, body)
			})
			settings := func(name, service, upstream string) wasabigateway.Settings {
				return wasabigateway.NewSettings(name, service, upstream).WithLocation(wasabistand.Location{Region: "r", FailureDomain: "d"}).WithGrace(6 * time.Second)
			}
			target := startNodeAt(t, k, settings("target", "s", u.address), "target", c.now)
			target.sendHeartbeat(t, k, u, "s", 1)
			entry := target
			if place == "other node" {
				entry = startNodeAt(t, k, settings("entry", "t", "127.0.0.1:1"), "entry", c.now)
			}
			running, waiting := make(chan reply, 1), make(chan reply, 1)
			go func() { running <- entry.call(t, http.MethodPost, "/book/x", "1", "") }()
			<-started
			go func() { waiting <- entry.call(t, http.MethodPost, "/book/x", "2", "") }()
			for target.Load().Waiting != 1 {
				runtime.Gosched()
			}
			stopped := make(chan struct{})
			go func() { defer close(stopped); entry.Shutdown(t.Context()) }()
			for entry.Ready() {
				runtime.Gosched()
			}
			c.advance(4100 * time.Millisecond)
			a := <-waiting
			assert.Equal(t, a.status, 503)
			assert.Assert(t, a.header.Get("Retry-After") != "")
			c.advance(time.Second)
			assert.Equal(t, (<-running).status, 502)
			<-stopped
			assert.DeepEqual(t, u.seen(), []string{"1"})
		})
	}
}
