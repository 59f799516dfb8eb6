package wasabigateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
)

// report returns the first heartbeat of an upstream.
func (u *upstream) report(service string, slots int) wasabiinstance.Report {
	return wasabiinstance.Report{ID: u.name, Born: 1, Sequence: 1, Service: service, Address: u.address, Slots: slots}
}

// withHealthPath returns a configuration with another health path of the service s.
func withHealthPath(path string) *wasabistand.Configuration {
	c := configuration(time.Minute)
	c.Upstreams["s"] = wasabistand.UpstreamPolicy{Service: "s", HealthPath: path, MaxConnections: 100}
	return c
}

// rejectUnknown is the response of an upstream to requests without an ID.
func rejectUnknown(q *http.Request, body string) string {
	if q.Header.Get("Id") == "" {
		return "HTTP/1.1 400 Bad Request\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"
	}
	return echoResponse(q, body)
}

// Guards against an instance that gets no work for the rest of its lifetime, because it
// reported before its node had the configuration that names its health path.
func TestHealthPathOfLaterConfiguration(t *testing.T) {
	k := newControl(nil)
	u := newUpstream(t, "i", rejectUnknown)
	u.healthPath = "/status"
	n := newNode(t, k, "node", "s", u.address)
	assert.NilError(t, n.Heartbeat(u.report("s", 5)))
	assert.Assert(t, !n.Ready())
	k.publish(withHealthPath("/status"))
	k.awaitReady(t, n, "s", 5)
	a := n.call(t, http.MethodPost, "/book/x", "one", "body")
	assert.Equal(t, fmt.Sprint(a.status, a.body), "200body")
	assert.Equal(t, len(u.seen()), 1, "asked at another path: %q", u.seen())
}

// Guards against a health path that stays as it was when the instance first reported.
func TestHealthPathChangesWhileInstanceIsAsked(t *testing.T) {
	k := newControl(withHealthPath("/old"))
	u := newUpstream(t, "i", rejectUnknown)
	u.healthPath = "/new"
	n := newNode(t, k, "node", "s", u.address)
	assert.NilError(t, n.Heartbeat(u.report("s", 5)))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(u.seen()) == 0 {
			return poll.Continue("not asked yet")
		}
		return poll.Success()
	})
	k.publish(withHealthPath("/new"))
	k.awaitReady(t, n, "s", 5)
}
