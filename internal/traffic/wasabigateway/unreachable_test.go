package wasabigateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
)

// Guards against a request that is refused as cancelled because the node of one instance
// can't be reached, although another instance could run it.
func TestUnreachableNodeIsPassedOver(t *testing.T) {
	k := newControl(configuration(time.Minute))
	ln := listen(t)
	gone := wasabistand.Instance{
		ID: "gone", Service: "s", LinkAddress: ln.Addr().String(), Slots: 100, Connections: 100, State: wasabistand.Ready,
		Location: wasabistand.Location{Region: "r", FailureDomain: "entry"},
	}
	assert.NilError(t, ln.Close())
	u := newUpstream(t, "i", echoResponse)
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 5)
	k.announce(gone, false)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	for id := range 5 {
		a := entry.call(t, http.MethodPost, "/book/x", fmt.Sprint(id), "body")
		assert.Equal(t, fmt.Sprint(a.status, a.body), "200body", a.body)
	}
}
