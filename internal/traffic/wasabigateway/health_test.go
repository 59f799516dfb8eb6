package wasabigateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
)

// failingHealth is the health response of an instance that fails or drains.
const failingHealth = "HTTP/1.1 503 Service Unavailable\r\nName: i\r\nContent-Length: 0\r\n\r\n"

// Guards against an instance that gets no work for the rest of its lifetime, because its
// health check failed at the moment at which its node started.
func TestPassingHealthFailureIsAskedAgain(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", echoResponse)
	good := u.health
	u.setHealth(failingHealth)
	n := newNode(t, k, "node", "s", u.address)
	report := wasabiinstance.Report{ID: u.name, Born: 1, Sequence: 1, Service: "s", Address: u.address, Slots: 5}
	assert.NilError(t, n.Heartbeat(report))
	u.awaitHealthChecks(t, 2)
	a := n.call(t, http.MethodPost, "/book/x", "while-failing", "body")
	assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	u.setHealth(good)
	report.Sequence++
	assert.NilError(t, n.Heartbeat(report))
	k.awaitReady(t, n, "s", 5)
	a = n.call(t, http.MethodPost, "/book/x", "after", "body")
	assert.Equal(t, fmt.Sprint(a.status, a.body), "200body")
}

// Guards against work for an instance that leaves, whose drain was confirmed before its node
// restarted: a late heartbeat says that it is ready, and its health check says that it is not.
func TestLateHeartbeatOfLeavingInstanceBringsNoWork(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", echoResponse)
	u.setHealth(failingHealth)
	n := newNode(t, k, "node", "s", u.address)
	for sequence := range uint64(4) {
		assert.NilError(t, n.Heartbeat(wasabiinstance.Report{ID: u.name, Born: 1, Sequence: sequence + 1, Service: "s", Address: u.address, Slots: 5}))
		u.awaitHealthChecks(t, 1)
		a := n.call(t, http.MethodPost, "/book/x", fmt.Sprint("late-", sequence), "body")
		assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	}
	assert.Equal(t, len(u.seen()), 0)
	for _, i := range k.announced() {
		assert.Assert(t, !i.AcceptsCalls(), "%+v", i)
	}
}
