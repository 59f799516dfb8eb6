package wasabimesh_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
	"github.com/wasabistand/wasabistand/internal/process/wasabimesh"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabisession"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// waitTimeout ends a test that would hang. It affects no other result.
const waitTimeout = 60 * time.Second

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

var location = wasabistand.Location{Region: "r", FailureDomain: "d"}

// startControl starts a group of one control instance with a configuration.
func startControl(t *testing.T) (address string) {
	t.Helper()
	c, address := newControl(t, nil)
	applyFirst(t, c)
	return address
}

// newControl starts a group of one control instance on a disk, nil for that of the
// operating system.
func newControl(t *testing.T, disk wasabidisk.FS) (c *wasabimesh.ControlDaemon, address string) {
	t.Helper()
	address = freeAddress(t)
	c = wasabimesh.NewControl(wasabimesh.ControlSettings{
		Cluster: "test", Instance: "control", Location: location, Folder: t.TempDir(), Link: address, API: freeAddress(t), Operators: freeAddress(t),
		InitialMembers: []wasabicontrol.Member{{ID: "control", Address: address}}, Disk: disk,
	}, zerolog.Nop(), func(*wasabimesh.ControlDaemon) http.Handler { return http.NotFoundHandler() })
	assert.NilError(t, c.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	return c, address
}

// applyFirst applies the first configuration.
func applyFirst(t *testing.T, c *wasabimesh.ControlDaemon) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for {
		i := c.Instance()
		if i == nil {
			assert.NilError(t, ctx.Err(), "the control instance is not open")
			<-time.After(time.Millisecond)
			continue
		}
		_, err := i.Apply(ctx, "test", firstChange())
		if err == nil {
			return
		}
		// The command may arrive before the first election, or at an instance that ends.
		assert.Assert(t, wasabistand.ErrNotLeader.Has(err) || wasabistand.ErrUnknownOutcome.Has(err), "%v", err)
		assert.NilError(t, ctx.Err())
	}
}

// firstChange returns a command that takes effect once.
func firstChange() *wasabistandv1.ApplyRequest {
	return &wasabistandv1.ApplyRequest{
		Command: &wasabistandv1.CommandIdentity{Id: "first-0123456789abcdef", IssuedUnixMs: time.Now().UnixMilli()},
		Toml:    "[[Callers]]\nName = \"office\"\nPatience = \"1s\"\n",
	}
}

// startNode starts a node next to an upstream and returns its gateway.
func startNode(t *testing.T, id, control, upstream string) *wasabigateway.Gateway {
	t.Helper()
	link := freeAddress(t)
	var gateway *wasabigateway.Gateway
	n := wasabimesh.NewNode(wasabimesh.NodeSettings{
		Cluster: "test", Instance: id, Location: location, Callers: freeAddress(t), Link: link, Ready: freeAddress(t),
		Reports: freeAddress(t), Metrics: freeAddress(t), ControlAddresses: []string{control},
		Gateway: wasabigateway.NewSettings(id, "s", upstream).WithLocation(location).WithLinkAddress(link).
			WithHeaders(wasabigateway.Headers{RequestID: "Id", Timeout: "Timeout", Instance: "Name"}),
	}, zerolog.Nop(), func(g *wasabigateway.Gateway) wasabimesh.Handlers {
		gateway = g
		return wasabimesh.Handlers{Ready: http.NotFoundHandler(), Reports: http.NotFoundHandler()}
	})
	assert.NilError(t, n.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, n.Close()) })
	return gateway
}

// newSession opens the session of a node without traffic.
func newSession(t *testing.T, control string, self wasabistand.Instance) *wasabisession.Session {
	t.Helper()
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", self.ID, self.Incarnation), nil)
	s := wasabisession.New(wasabisession.NewOptions(control), pool, self, nil)
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, pool.Close())
	})
	return s
}

// await waits for a view for which ok returns true.
func await(t *testing.T, s *wasabisession.Session, ok func(*wasabistand.View) bool) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		changed := s.Changed()
		if v := s.View(); v != nil && ok(v) {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("latest view: %+v", s.View())
		}
	}
}

// Guards against a node that gets no session until its next restart: an earlier process
// of it started while its clock was ahead, and its upstream restarts.
func TestNodeAfterClockStepFollowsUpstream(t *testing.T) {
	control := startControl(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer upstream.Close()
	address := upstream.Listener.Addr().String()
	self := wasabistand.Instance{
		ID: "node", Incarnation: uint64(time.Now().Add(40 * time.Minute).UnixNano()), Service: "s", LinkAddress: "127.0.0.1:1",
		Slots: 1, Connections: 1, State: wasabistand.Leaving, Location: location,
	}
	ahead := newSession(t, control, self)
	await(t, ahead, func(*wasabistand.View) bool { return true })
	assert.NilError(t, ahead.Close())

	observer := newSession(t, control, wasabistand.Instance{
		ID: "observer", Incarnation: 1, Service: "t", LinkAddress: "127.0.0.1:1", Slots: 1, Connections: 1, State: wasabistand.Ready, Location: location,
	})
	observer.Subscribe("s")
	gateway := startNode(t, "node", control, address)
	for lifetime := range uint64(3) {
		slots := int(lifetime) + 5
		assert.NilError(t, gateway.Heartbeat(wasabiinstance.Report{ID: "i", Born: lifetime + 1, Sequence: 1, Service: "s", Address: address, Slots: slots}))
		await(t, observer, func(v *wasabistand.View) bool {
			list := v.Instances["s"]
			return len(list) == 1 && list[0].AcceptsCalls() && list[0].Slots == slots
		})
	}
}
