package wasabicontrol_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Guards against a committed configuration, an announced instance or a drain that
// does not reach nodes, and against lists sent to nodes that did not subscribe.
func TestChangesReachNodes(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	first := c.node("reports-1", "reports", 1, "control-1")
	second := c.node("archive-1", "archive", 1, "control-2")
	first.Subscribe("archive")
	revision := c.mustApply("control-3", 0, "first", "2s")
	for _, n := range []*node{first, second} {
		v := n.await(t, "revision", atLeast(revision))
		assert.Equal(t, v.Configuration.Callers["office"].MaxTimeout, 2*time.Second)
	}
	v := first.await(t, "instance of archive", func(v *wasabistand.View) bool { return len(v.Instances["archive"]) == 1 })
	assert.Assert(t, v.Instances["archive"][0].AcceptsCalls())
	assert.Assert(t, !first.Stale())

	_, err := c.operator("control-1", changeToken).Drain(t.Context(), connect.NewRequest(&wasabistandv1.DrainRequest{Command: identity("drain"), Instance: "archive-1"}))
	assert.NilError(t, err)
	first.await(t, "drain", func(v *wasabistand.View) bool { return v.Instances["archive"][0].Drained })
	second.await(t, "own drain", func(v *wasabistand.View) bool { return v.Drained })
	assert.Equal(t, len(second.View().Instances), 0)

	// The leader learns of instances that announce themselves elsewhere after the nodes do.
	for deadline := time.Now().Add(waitTimeout); ; {
		status, err := c.operator("control-2", readToken).Status(t.Context(), connect.NewRequest(&wasabistandv1.StatusRequest{}))
		assert.NilError(t, err)
		assert.Equal(t, status.Msg.GetRevision(), revision+1)
		assert.Equal(t, len(status.Msg.GetGroups()[0].GetMembers()), 3)
		if len(status.Msg.GetInstances()) == 2 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "%v", status.Msg.GetInstances())
	}

	second.Announce(instance("archive-1", "archive", 1).WithState(wasabistand.Leaving), false)
	first.await(t, "leaving", func(v *wasabistand.View) bool {
		return len(v.Instances["archive"]) == 0 || v.Instances["archive"][0].State == wasabistand.Leaving
	})
}

// Guards against a restarted node that receives an outdated configuration from a
// control instance on the minority side of a partition.
func TestPartitionedInstanceServesNoStaleConfiguration(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	old := c.mustApply("control-1", 0, "old", "2s")
	c.node("reports-1", "reports", 1, "control-1").await(t, "old revision", atLeast(old))

	c.sides["control-1"].Store(1)
	latest := c.mustApply("control-2", old, "new", "3s")
	restarted := c.node("reports-2", "reports", 1, "control-1")
	for range 3 {
		assert.Equal(t, <-restarted.sessionEnds, wasabistand.Reason("not-confirmed"))
	}
	assert.Assert(t, restarted.View() == nil)
	assert.Assert(t, restarted.Stale())

	other := c.node("reports-3", "reports", 1, "control-1", "control-3")
	v := other.await(t, "first view", func(*wasabistand.View) bool { return true })
	assert.Equal(t, v.Revision, latest)

	c.sides["control-1"].Store(0)
	v = restarted.await(t, "first view", func(*wasabistand.View) bool { return true })
	assert.Equal(t, v.Revision, latest)
}

// Guards against nodes that wait at a control instance that has lost its quorum, while
// others have newer configurations.
func TestInstanceWithoutQuorumRefusesAtOnce(t *testing.T) {
	c := newCluster(t, 3, 0, func(s wasabicontrol.Settings) wasabicontrol.Settings {
		// A confirmation that has no quorum takes longer than the test.
		return s.WithConfirm(2*waitTimeout, 50*time.Millisecond, 500*time.Millisecond)
	})
	old := c.mustApply("control-1", 0, "old", "2s")
	n := c.node("reports-1", "reports", 1, "control-1")
	n.await(t, "old revision", atLeast(old))
	c.sides["control-1"].Store(1)
	assert.Equal(t, <-n.sessionEnds, wasabistand.Reason("not-confirmed"))
	// It knows the other instances, a node that has just started does not.
	started := c.node("reports-2", "reports", 1, "control-1")
	for range 3 {
		assert.Equal(t, <-started.sessionEnds, wasabistand.Reason("not-confirmed"))
	}
}

// Guards against committing two racing commands, and against a conflict error
// that does not identify the winner.
func TestRacingAppliesHaveOneWinner(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-1", 0, "base", "1s")
	for round := range 5 {
		var mu sync.Mutex
		var won []uint64
		var lost []error
		var wait sync.WaitGroup
		for k := range 9 {
			wait.Go(func() {
				r := &wasabistandv1.ApplyRequest{Command: identity(fmt.Sprintf("race-%d-%d", round, k)), ExpectedRevision: revision, Toml: document(fmt.Sprintf("%ds", k+1))}
				a, err := c.apply(c.ids[k%3], r)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					won = append(won, a.GetRevision())
				} else {
					lost = append(lost, err)
				}
			})
		}
		wait.Wait()
		assert.Equal(t, len(won), 1, "%v", lost)
		assert.Equal(t, won[0], revision+1)
		revision = won[0]
		for _, err := range lost {
			assert.Equal(t, connect.CodeOf(err), connect.CodeAborted, "%v", err)
			assert.Equal(t, conflict(t, err).GetLatestRevision(), revision)
			assert.Equal(t, conflict(t, err).GetWinner(), "committee")
		}
	}
}

func conflict(t *testing.T, err error) *wasabistandv1.Conflict {
	t.Helper()
	var typed *connect.Error
	assert.Assert(t, errors.As(err, &typed))
	for _, d := range typed.Details() {
		m, err := d.Value()
		assert.NilError(t, err)
		if k, ok := m.(*wasabistandv1.Conflict); ok {
			return k
		}
	}
	t.Fatalf("no conflict in %v", err)
	return nil
}

// Guards against executing a command twice when it is retried through another
// instance after a lost response, also after the loss of an instance and restarts.
func TestRetriedCommandReturnsFirstResult(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	first := &wasabistandv1.ApplyRequest{Command: identity("first"), ExpectedRevision: 0, Toml: document("1s")}
	loser := &wasabistandv1.ApplyRequest{Command: identity("loser"), ExpectedRevision: 0, Toml: document("9s")}
	revision := c.mustApply("control-1", 0, "before", "1s")
	first.ExpectedRevision = revision
	a, err := c.apply("control-1", first)
	assert.NilError(t, err)
	_, err = c.apply("control-2", loser)
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)
	c.mustApply("control-3", a.GetRevision(), "after", "3s")
	check := func(id string) {
		t.Helper()
		repeated, err := c.apply(id, first)
		assert.NilError(t, err)
		assert.Equal(t, repeated.GetRevision(), a.GetRevision())
		assert.Assert(t, repeated.GetRepeated())
		_, err = c.apply(id, loser)
		assert.Equal(t, conflict(t, err).GetLatestRevision(), a.GetRevision())
	}
	check("control-2")
	c.kill("control-1")
	check("control-3")
	for _, id := range []string{"control-2", "control-3"} {
		c.kill(id)
	}
	for _, id := range c.ids {
		c.restart(id)
	}
	c.mustApply("control-1", a.GetRevision()+1, "last", "4s")
	check("control-1")
}

// Guards against a node that does not leave a control instance that was killed,
// or that can't find instances missing from its initial addresses.
func TestSessionFailsOverWhenInstanceDies(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-2", 0, "first", "1s")
	n := c.node("reports-1", "reports", 1, "control-1")
	n.await(t, "revision", atLeast(revision))
	c.kill("control-1")
	revision = c.mustApply("control-2", revision, "second", "2s")
	n.await(t, "revision after the move", atLeast(revision))
}

// Guards against a node that keeps waiting for its configuration or its claims on
// open connections that drop all data although new connections work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	n := c.node("reports-1", "reports", 1, c.ids...)
	n.await(t, "revision", atLeast(revision))
	assert.Equal(t, n.take(t, claim("before", 1)).Status, wasabistand.ClaimGranted)
	n.silent.Add(1)
	revision = c.mustApply("control-1", revision, "second", "2s")
	assert.Equal(t, n.take(t, claim("after", 2)).Status, wasabistand.ClaimGranted)
	<-n.sessionEnds
	// The previous change may have arrived on the old connection.
	revision = c.mustApply("control-1", revision, "third", "3s")
	n.await(t, "revision on a new connection", atLeast(revision))
}

// Guards against a change that never reaches some of many sessions.
func TestChangeReachesManySessions(t *testing.T) {
	c := newCluster(t, 3, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	var nodes []*node
	for k := range 200 {
		nodes = append(nodes, c.node(fmt.Sprintf("reports-%d", k), "reports", 1, c.ids...))
	}
	for _, n := range nodes {
		n.await(t, "first revision", atLeast(revision))
	}
	revision = c.mustApply("control-2", revision, "second", "2s")
	for _, n := range nodes {
		n.await(t, "second revision", atLeast(revision))
	}
}

// Guards against sessions that are recorded as having a revision of which they were sent
// an earlier one, when further revisions are committed while one is sent.
func TestBurstOfChangesReachesManySessions(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	var nodes []*node
	for k := range 200 {
		nodes = append(nodes, c.node(fmt.Sprintf("reports-%d", k), "reports", 1, c.ids...))
	}
	for round := range 12 {
		for k := range 10 {
			revision = c.mustApply("control-1", revision, fmt.Sprintf("change-%d-%d", round, k), fmt.Sprintf("%ds", 1+k))
		}
		for _, n := range nodes {
			n.await(t, "last revision of the burst", atLeast(revision))
		}
	}
}

// incompressible returns n hexadecimal digits, which take half of n bytes compressed.
func incompressible(n int) string {
	b := make([]byte, n/2)
	_, _ = rand.NewChaCha8([32]byte{}).Read(b)
	return hex.EncodeToString(b)
}

// Guards against a node that does not read and thereby blocks other nodes.
func TestSlowSessionIsDropped(t *testing.T) {
	c := newCluster(t, 1, 0, func(s wasabicontrol.Settings) wasabicontrol.Settings {
		return s.WithSessions(10, 256<<10, time.Hour)
	})
	revision := c.mustApply("control-1", 0, "first", "1s")
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", "slow-1", 1), nil)
	defer pool.Close()
	link, err := pool.Get(t.Context(), c.links["control-1"])
	assert.NilError(t, err)
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_SESSION)
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Start{Start: &wasabistandv1.SessionStart{}}}))
	assert.NilError(t, stream.Send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Announce{Announce: wasabiwire.FromInstance(instance("slow-1", "reports", 1))}}))
	var frame wasabistandv1.ControlFrame
	assert.NilError(t, stream.Receive(&frame))
	assert.Equal(t, frame.GetConfiguration().GetRevision(), revision)

	other := c.node("reports-1", "reports", 1, "control-1")
	for k := range 12 {
		r := &wasabistandv1.ApplyRequest{Command: identity(fmt.Sprintf("large-%d", k)), ExpectedRevision: revision, Toml: document("1s") + "# " + incompressible(200<<10)}
		a, err := c.apply("control-1", r)
		assert.NilError(t, err)
		revision = a.GetRevision()
		other.await(t, "revision while another node does not read", atLeast(revision))
	}
	for err == nil {
		frame.Reset()
		if err = stream.Receive(&frame); err == nil {
			assert.Assert(t, frame.GetConfiguration().GetRevision() < revision, "the slow session got every revision")
		}
	}
}

// Guards against an API that serves requests without a token, allows changes with
// the right Read, or accepts an invalid or oversized document.
func TestOperatorRequestsAreValidated(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	c.mustApply("control-1", 0, "first", "1s")
	apply := func(token, toml string) error {
		_, err := c.operator("control-1", token).Apply(t.Context(), connect.NewRequest(&wasabistandv1.ApplyRequest{Command: identity("x"), ExpectedRevision: 1, Toml: toml}))
		return err
	}
	for _, k := range []struct {
		token, toml, message string
		code                 connect.Code
	}{
		{"another-token-123456", document("1s"), "token", connect.CodeUnauthenticated},
		{"", document("1s"), "token", connect.CodeUnauthenticated},
		{readToken, document("1s"), "Change", connect.CodePermissionDenied},
		{changeToken, document("-1s"), "Patience", connect.CodeInvalidArgument},
		{changeToken, document("1s") + "#" + strings.Repeat("x", 1<<20), "allowed", connect.CodeInvalidArgument},
		{changeToken, document("1s") + "#" + strings.Repeat("x", 2<<20), "", connect.CodeResourceExhausted},
	} {
		err := apply(k.token, k.toml)
		assert.Equal(t, connect.CodeOf(err), k.code, "%v", err)
		assert.ErrorContains(t, err, k.message)
	}
	response, err := c.operator("control-1", readToken).GetConfiguration(t.Context(), connect.NewRequest(&wasabistandv1.GetConfigurationRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetToml(), document("1s"))
	_, err = c.operator("control-1", readToken).GetConfiguration(t.Context(), connect.NewRequest(&wasabistandv1.GetConfigurationRequest{Revision: 99}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)
}
