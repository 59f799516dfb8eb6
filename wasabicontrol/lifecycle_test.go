package wasabicontrol_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Guards against a shutdown that ends sessions without a reason, loses the
// quorum or leaks goroutines.
func TestShutdownRedirectsSessions(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	leader := c.leader(t)
	n := c.node("reports-1", "reports", 1, leader)
	n.await(t, "revision", atLeast(revision))
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	assert.NilError(t, c.instances[leader].Shutdown(ctx))
	delete(c.instances, leader)
	assert.Equal(t, <-n.sessionEnds, wasabistand.Reason("stopping"))
	revision = c.mustApply(c.any(), revision, "second", "2s")
	n.await(t, "revision after the stop", atLeast(revision))
	n.close()
	c.close()
}

// any returns the ID of a running instance.
func (c *cluster) any() string {
	for id := range c.instances {
		return id
	}
	c.t.Fatal("no running instance")
	return ""
}

// Guards against an added control instance that never becomes a voter, and
// against nodes that discover it only through settings.
func TestAddedInstanceVotesAndIsDiscovered(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	n := c.node("reports-1", "reports", 1, "control-1")
	n.await(t, "revision", atLeast(revision))
	listeners := [2]net.Listener{listen(t), listen(t)}
	c.links["control-2"], c.apis["control-2"] = listeners[0].Addr().String(), listeners[1].Addr().String()
	c.sides["control-2"] = new(atomic.Int32)
	c.joins["control-2"] = true
	c.start("control-2", listeners)
	r := &wasabistandv1.ChangeMembersRequest{Command: identity("add"), Group: "root", Change: &wasabistandv1.ChangeMembersRequest_Add{
		Add: &wasabistandv1.MemberAddress{Id: "control-2", Address: c.links["control-2"]},
	}}
	_, err := c.operator("control-1", changeToken).ChangeMembers(t.Context(), connect.NewRequest(r))
	assert.NilError(t, err)
	voters := func() (count int) {
		s, err := c.operator("control-2", readToken).Status(t.Context(), connect.NewRequest(&wasabistandv1.StatusRequest{}))
		if err != nil {
			return 0
		}
		for _, m := range s.Msg.GetGroups()[0].GetMembers() {
			if m.GetVoter() {
				count++
			}
		}
		return count
	}
	for voters() != 2 {
		assert.NilError(t, t.Context().Err())
	}
	n.await(t, "address of the added instance", func(v *wasabistand.View) bool {
		return slices.Contains(v.ClaimAddresses[""], c.links["control-2"])
	})
	revision = c.mustApply("control-2", revision, "second", "2s")
	n.await(t, "second revision", atLeast(revision))
}

// Guards against a status that does not report a lost instance to operators.
func TestStatusListsUnreachableInstances(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	n := c.node("reports-1", "reports", 1, "control-1")
	n.await(t, "revision", atLeast(revision))
	status := func() *wasabistandv1.StatusResponse {
		s, err := c.operator("control-1", readToken).Status(t.Context(), connect.NewRequest(&wasabistandv1.StatusRequest{}))
		assert.NilError(t, err)
		return s.Msg
	}
	for s := status(); len(s.GetInstances()) == 0 || len(s.GetLagging()) > 0; s = status() {
		assert.NilError(t, t.Context().Err())
	}
	n.close()
	for s := status(); !slices.Contains(s.GetOutOfReach(), "reports-1"); s = status() {
		assert.NilError(t, t.Context().Err())
	}
}

// Guards against a node that control refuses until its next restart: it was started again
// after its clock was set back, and its instance left and returned.
func TestInstanceReturnsAfterClockWasSetBack(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	observer := c.node("archive-1", "archive", 1, "control-1")
	observer.Subscribe("reports")
	state := func(s wasabistand.InstanceState) func(*wasabistand.View) bool {
		return func(v *wasabistand.View) bool {
			list := v.Instances["reports"]
			return len(list) == 1 && list[0].State == s
		}
	}
	ahead := c.node("reports-1", "reports", 1_000, "control-1")
	ahead.await(t, "first revision", atLeast(revision))
	ahead.close()
	n := c.node("reports-1", "reports", 10, "control-1")
	n.await(t, "first revision", atLeast(revision))
	for range 3 {
		n.Announce(instance("reports-1", "reports", 10).WithState(wasabistand.Leaving), false)
		observer.await(t, "the instance leaves", func(v *wasabistand.View) bool { return !state(wasabistand.Ready)(v) })
		n.Announce(instance("reports-1", "reports", 11), false)
		observer.await(t, "the instance returned", state(wasabistand.Ready))
		revision = c.mustApply("control-1", revision, fmt.Sprint("after-", revision), "2s")
		n.await(t, "later revision", atLeast(revision))
	}
}
