package wasabigateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
)

// longBody returns a body above the buffer limit that differs from those of other IDs.
func longBody(id int) string { return strings.Repeat(fmt.Sprintf("%07d\n", id), 256<<10) }

// sendChunks sends an upload in chunks and returns the response.
func (n *node) sendChunks(t *testing.T, id int, body string) reply {
	t.Helper()
	// The type hides the length.
	r, err := http.NewRequest(http.MethodPost, "http://"+n.address+"/book/x", io.MultiReader(strings.NewReader(body)))
	assert.NilError(t, err)
	return send(t, r, fmt.Sprint(id))
}

// Guards against an upload in chunks that the other node takes for truncated, because
// the two ends count different bytes of its body.
func TestLongUploadToOtherNode(t *testing.T) {
	k := newControl(configuration(5 * time.Second))
	u := newUpstream(t, "i", echoResponse)
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 20)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	var wait sync.WaitGroup
	for id := range 8 {
		wait.Go(func() {
			a := entry.sendChunks(t, id, longBody(id))
			assert.Check(t, a.status == 200, a.status)
			assert.Check(t, a.body == longBody(id), "%d bytes", len(a.body))
		})
	}
	wait.Wait()
}

// Guards against a retry of a long upload that lacks what an earlier attempt has read of
// its body: the first instance can't be reached, or refuses the call.
func TestRetriedLongUploadIsWhole(t *testing.T) {
	refuse := func(q *http.Request) string {
		return "HTTP/1.1 503 X\r\nId: " + q.Header.Get("Id") + "\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, isReachable := range []bool{false, true} {
		t.Run(fmt.Sprint("reachable ", isReachable), func(t *testing.T) {
			k := newControl(configuration(time.Minute))
			u := newUpstream(t, "i", echoResponse)
			settings := func(name, address string) wasabigateway.Settings {
				return wasabigateway.NewSettings(name, "s", address).WithLocation(wasabistand.Location{Region: "r", FailureDomain: "d"}).WithGrace(time.Second)
			}
			entry := startNode(t, k, settings("entry", u.address), "entry")
			entry.sendHeartbeat(t, k, u, "s", 1)
			first, stop := newEarlyUpstream(t, "first", refuse)
			startNode(t, k, settings("first", first.address), "first").sendHeartbeat(t, k, first, "s", 100)
			if !isReachable {
				stop()
			}
			var wait sync.WaitGroup
			var answered atomic.Int64
			for id := range 24 {
				wait.Go(func() {
					a := entry.sendChunks(t, id, longBody(id))
					if a.status == 503 {
						return // Not run, which is true of a body that can't be sent again.
					}
					answered.Add(1)
					assert.Check(t, a.status == 200, a.status)
					assert.Check(t, a.body == longBody(id), "%d bytes", len(a.body))
				})
			}
			wait.Wait()
			assert.Assert(t, answered.Load() > 0)
		})
	}
}
