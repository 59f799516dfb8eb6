package wasabicontrol_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// formed starts five control instances that know three addresses of first
// members each. The last two are told to join.
func formed(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 3, 0, func(s wasabicontrol.Settings) wasabicontrol.Settings { return s.WithFormation(2) })
	for i := range 2 {
		c.add(fmt.Sprintf("control-%d", i+4))
	}
	return c
}

// add starts an instance that joins.
func (c *cluster) add(id string) {
	listeners := [2]net.Listener{listen(c.t), listen(c.t)}
	c.ids = append(c.ids, id)
	c.mu.Lock()
	c.links[id], c.apis[id] = listeners[0].Addr().String(), listeners[1].Addr().String()
	c.sides[id] = new(atomic.Int32)
	c.mu.Unlock()
	c.joins[id] = true
	c.start(id, listeners)
}

// numbered applies a document under a revision of the operator's.
func (c *cluster) numbered(id string, expected, revision uint64, patience string) (*wasabistandv1.ApplyResponse, error) {
	r := &wasabistandv1.ApplyRequest{ExpectedRevision: expected, Revision: revision, Toml: document(patience)}
	for deadline := time.Now().Add(waitBound); ; {
		a, err := c.apply(id, r)
		if connect.CodeOf(err) != connect.CodeUnavailable || time.Now().After(deadline) {
			return a, err
		}
	}
}

// voters returns the voters that the leader lists.
func (c *cluster) voters(t *testing.T) map[string]bool {
	t.Helper()
	list := map[string]bool{}
	s, err := c.operator(c.leader(t), readToken).Status(t.Context(), connect.NewRequest(&wasabistandv1.StatusRequest{}))
	if err != nil {
		return list
	}
	for _, m := range s.Msg.GetGroups()[0].GetMembers() {
		if m.GetVoter() {
			list[m.GetId()] = true
		}
	}
	return list
}

func (c *cluster) awaitVoters(t *testing.T, ids ...string) {
	t.Helper()
	for deadline := time.Now().Add(waitBound); time.Now().Before(deadline); {
		v := c.voters(t)
		ok := len(v) == len(ids)
		for _, id := range ids {
			ok = ok && v[id]
		}
		if ok {
			return
		}
	}
	t.Fatalf("voters are %v, expected %v", c.voters(t), ids)
}

// Guards against two groups, and against a change that is accepted while too
// few disks hold it.
func TestGroupFormsItself(t *testing.T) {
	c := formed(t)
	a, err := c.numbered("control-5", 0, 7, "2s")
	assert.NilError(t, err)
	assert.Equal(t, a.GetRevision(), uint64(7))
	assert.Assert(t, len(c.voters(t)) >= 4, "%v", c.voters(t))
	c.awaitVoters(t, "control-1", "control-2", "control-3", "control-4", "control-5")
}

// Guards against an acknowledged change that is lost with two disks, when the
// other instances were dark at the time.
func TestTwoDisksAreLost(t *testing.T) {
	c := formed(t)
	c.awaitVoters(t, "control-1", "control-2", "control-3", "control-4", "control-5")
	_, err := c.numbered("control-1", 0, 3, "2s")
	assert.NilError(t, err)
	for _, id := range c.ids {
		c.kill(id)
	}
	for _, id := range []string{"control-1", "control-4"} {
		assert.NilError(t, os.RemoveAll(c.dir+"/"+id))
		c.joins[id] = true
	}
	for _, id := range c.ids {
		c.restart(id)
	}
	_, err = c.numbered("control-4", 0, 4, "1s")
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted, "%v", err)
	a, err := c.numbered("control-1", 3, 4, "1s")
	assert.NilError(t, err)
	assert.Equal(t, a.GetRevision(), uint64(4))
	c.awaitVoters(t, "control-1", "control-2", "control-3", "control-4", "control-5")
}

// Guards against a group that keeps a member which is gone for good, and
// against one that never takes back a member it removed while cut off.
func TestMemberIsReplaced(t *testing.T) {
	c := formed(t)
	c.awaitVoters(t, "control-1", "control-2", "control-3", "control-4", "control-5")
	c.kill("control-2")
	c.add("control-6")
	c.awaitVoters(t, "control-1", "control-3", "control-4", "control-5", "control-6")
	c.restart("control-2")
	<-c.instances["control-2"].Removed()
}

// Guards against a member whose process answers and whose disk does not, which
// loses its place instead of one that is gone for good.
func TestSilentDiskIsNotReplacedFirst(t *testing.T) {
	c := formed(t)
	c.awaitVoters(t, "control-1", "control-2", "control-3", "control-4", "control-5")
	leader := c.leader(t)
	var others []string
	for _, id := range c.ids {
		if id != leader {
			others = append(others, id)
		}
	}
	// The slow one became silent before the one that does not come back.
	slow, dead := others[0], others[1]
	c.kill(slow)
	ln, err := net.Listen("tcp", c.links[slow])
	assert.NilError(t, err)
	stub := wasabilink.Serve(ln, wasabilink.NewOptions("test", slow, 1), func(ctx context.Context, _ wasabistandv1.StreamOpen_Kind, _ *wasabilink.Stream) {
		<-ctx.Done()
	})
	defer func() { assert.Check(t, stub.Close()) }()
	c.kill(dead)
	c.add("control-6")
	c.awaitVoters(t, leader, slow, others[2], others[3], "control-6")
}

// Guards against a repeated command that is refused, and against one of two
// commands under the same number that is taken for the other.
func TestNumberedRevisions(t *testing.T) {
	c := formed(t)
	_, err := c.numbered("control-1", 0, 5, "2s")
	assert.NilError(t, err)
	_, err = c.numbered("control-2", 0, 5, "1s")
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)
	_, err = c.numbered("control-2", 5, 5, "1s")
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	_, err = c.numbered("control-3", 5, 9, "3s")
	assert.NilError(t, err)
	a, err := c.numbered("control-4", 0, 5, "2s")
	assert.NilError(t, err)
	assert.Assert(t, a.GetRepeated())
	assert.Equal(t, a.GetRevision(), uint64(5))
}

// Guards against nodes without any instance to call for the whole lease after
// all control instances were restarted.
func TestListsComeBeforeTheyAreComplete(t *testing.T) {
	c := newCluster(t, 1, 0, func(s wasabicontrol.Settings) wasabicontrol.Settings { return s.WithLease(time.Hour) })
	c.mustApply("control-1", 0, "first", "2s")
	n := c.node("reports-1", "reports", 1, "control-1")
	n.Subscribe("archive")
	n.await(t, "configuration", atLeast(1))
	c.node("archive-1", "archive", 1, "control-1")
	n.await(t, "an instance", func(v *wasabistand.View) bool { return len(v.Instances["archive"]) == 1 })
}
