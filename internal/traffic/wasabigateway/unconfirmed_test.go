package wasabigateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
)

// Guards against a node that is cut off from control and refuses as unknown, which callers
// don't retry, what a change that it was not told of has added.
func TestUnconfirmedNodeKnowsNoUnknownRoute(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", echoResponse)
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 5)
	entry := startNode(t, k, wasabigateway.NewSettings("entry", "t", "127.0.0.1:1").WithConfigurationTime(2*time.Second), "entry")
	for n, test := range []struct {
		unconfirmed time.Duration
		status      int
	}{
		{0, http.StatusNotFound},
		{2*time.Second - time.Millisecond, http.StatusNotFound},
		{2 * time.Second, http.StatusServiceUnavailable},
		{time.Hour, http.StatusServiceUnavailable},
		{0, http.StatusNotFound},
	} {
		k.unconfirmed.Store(int64(test.unconfirmed))
		a := entry.call(t, http.MethodGet, "/added/x", fmt.Sprint("added-", n), "")
		assert.Equal(t, a.status, test.status, "%v: %s", test.unconfirmed, a.body)
		assert.Equal(t, a.header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
		// What the node knows is served all the while.
		a = entry.call(t, http.MethodGet, "/read/x", fmt.Sprint("known-", n), "")
		assert.Equal(t, a.status, http.StatusOK, a.body)
	}
}

// Guards against a route that is refused as unknown although the revision that adds it was
// received and confirmed, because the gateway has not applied it yet.
func TestReceivedRevisionIsApplied(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", echoResponse)
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 5)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	a := entry.call(t, http.MethodGet, "/added/x", "before", "")
	assert.Equal(t, a.status, http.StatusNotFound, a.body)
	v := *k.View()
	v.Revision, v.Configuration = 2, configuration(time.Minute)
	added := v.Configuration.Hosts[0].Routes[0]
	added.Name, added.PathPrefix = "added", "/added/"
	v.Configuration.Hosts[0].Routes = append(v.Configuration.Hosts[0].Routes, added)
	// No signal of the change arrives.
	k.view.Store(&v)
	a = entry.call(t, http.MethodGet, "/added/x", "after", "")
	assert.Equal(t, a.status, http.StatusOK, a.body)
}
