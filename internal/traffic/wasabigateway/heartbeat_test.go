package wasabigateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Guards against a heartbeat of another sender that replaces the instance, or that
// makes the node announce what control refuses, so that the node loses its session.
func TestOddHeartbeatsKeepInstance(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", echoResponse)
	n := newNode(t, k, "node", "s", u.address)
	n.sendHeartbeat(t, k, u, "s", 5)
	good := wasabiinstance.Report{ID: "j", Born: 9, Sequence: 9, Service: "s", Address: u.address, Slots: 5}
	for _, test := range []struct {
		name   string
		change func(*wasabiinstance.Report)
	}{
		{"slots beyond what control accepts", func(r *wasabiinstance.Report) { r.Slots = wasabiwire.MaxSlots + 1 }},
		{"largest number of slots", func(r *wasabiinstance.Report) { r.Slots = 1<<63 - 1 }},
		{"negative slots", func(r *wasabiinstance.Report) { r.Slots = -1 }},
		{"no address", func(r *wasabiinstance.Report) { r.Address = "" }},
		{"address of another machine", func(r *wasabiinstance.Report) { r.Address = "10.9.9.9:80" }},
		{"port 0", func(r *wasabiinstance.Report) { r.Address = "127.0.0.1:0" }},
		{"port out of range", func(r *wasabiinstance.Report) { r.Address = "127.0.0.1:65536" }},
		{"ID of a megabyte", func(r *wasabiinstance.Report) { r.ID = strings.Repeat("i", 1<<20) }},
		{"control character in the ID", func(r *wasabiinstance.Report) { r.ID = "j\r\nX: y" }},
		{"other service", func(r *wasabiinstance.Report) { r.Service = "t" }},
	} {
		r := good
		test.change(&r)
		assert.Assert(t, wasabistand.ErrInvalid.Has(n.Heartbeat(r)), test.name)
		a := n.call(t, http.MethodPost, "/book/x", fmt.Sprint("after ", test.name), "body")
		assert.Equal(t, fmt.Sprint(a.status, a.body), "200body", test.name)
	}
	for _, i := range k.announced() {
		_, err := wasabiwire.ToInstance(wasabiwire.FromInstance(i))
		assert.NilError(t, err)
		assert.Assert(t, i.Slots == 1 && i.State == wasabistand.Leaving || i.Slots == 5, "%+v", i)
	}
}
