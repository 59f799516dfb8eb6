package wasabiraft_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// newMemoryGroup starts a group of three members on in-memory disks with fault
// injection.
func newMemoryGroup(t testing.TB) (*group, map[string]*wasabifault.Memory) {
	g := &group{
		t: t, dir: "/data", settings: fastSettings(), nodes: map[string]*node{},
		isolated: map[string]bool{}, fs: map[string]wasabidisk.FS{},
	}
	disks := map[string]*wasabifault.Memory{}
	for _, id := range []string{"c1", "c2", "c3"} {
		g.members = append(g.members, &wasabistandv1.Member{Id: id, Address: "address-" + id})
		disks[id] = wasabifault.New()
		g.fs[id] = disks[id]
	}
	for id := range disks {
		g.start(id, false)
	}
	t.Cleanup(g.close)
	return g, disks
}

// TestFullDisk guards against a group that stops because of one full disk, and
// a member that does not recover once there is space again.
func TestFullDisk(t *testing.T) {
	g, disks := newMemoryGroup(t)
	ctx := testContext(t)
	l := g.leader(ctx)
	id := l.runner.Status().ID
	disks[id].SetCapacity(disks[id].Used())
	for range 10 {
		_, err := g.propose(ctx, []byte("x"))
		assert.NilError(t, err)
	}
	assert.Assert(t, wasabidisk.ErrFull.Has(l.runner.Status().Disk.Err))
	disks[id].SetCapacity(0)
	assert.NilError(t, l.runner.ReadBarrier(ctx))
	assert.Assert(t, l.state.values()[0] >= 10)
	assert.NilError(t, l.runner.Status().Disk.Err)
}

// waitForRefusal waits until a member's disk refuses a write that it needs.
func waitForRefusal(ctx context.Context, t *testing.T, n *node) {
	t.Helper()
	for n.runner.Status().Disk.Err == nil {
		assert.NilError(t, ctx.Err())
		assert.NilError(t, n.runner.Err())
		<-time.After(time.Millisecond)
	}
}

// TestFailedSync guards against a member that acknowledges, leads or ends after a
// failed sync, and against one that loses what it acknowledged once syncs succeed.
func TestFailedSync(t *testing.T) {
	for name, f := range map[string]wasabifault.Fault{
		"full":  {Err: syscall.ENOSPC, Operations: []wasabifault.Operation{wasabifault.Sync}},
		"quota": {Err: syscall.EDQUOT, Operations: []wasabifault.Operation{wasabifault.Sync, wasabifault.Close}},
		"error": {Err: syscall.EIO, Operations: []wasabifault.Operation{wasabifault.Sync}},
		"write": {Err: syscall.EIO, Operations: []wasabifault.Operation{wasabifault.Write}},
		"short": {Err: syscall.ENOSPC, Operations: []wasabifault.Operation{wasabifault.Write, wasabifault.Truncate}},
	} {
		t.Run(name, func(t *testing.T) {
			g, disks := newMemoryGroup(t)
			ctx := testContext(t)
			// From here on only the proposal is written, so the failed sync is its own.
			g.waitForStatus(ctx, "recorded", func(s wasabiraft.Status) bool { return voters(s) == 3 && s.Applied == s.Commit })
			l := g.leader(ctx)
			id := l.runner.Status().ID
			disks[id].Inject(f)
			_, err := l.runner.Propose(ctx, []byte("x"))
			assert.Assert(t, wasabistand.ErrUnknownOutcome.Has(err), "%v", err)
			waitForRefusal(ctx, t, l)
			assert.Assert(t, l.runner.Status().Role != wasabiraft.Leader)
			assert.NilError(t, l.runner.Transfer(ctx))
			_, err = l.runner.Propose(ctx, []byte("refused"))
			assert.Assert(t, wasabistand.ErrNotLeader.Has(err), "%v", err)
			_, err = g.propose(ctx, []byte("y"))
			assert.NilError(t, err)
			disks[id].Inject(wasabifault.Fault{})
			assert.NilError(t, l.runner.ReadBarrier(ctx))
			assert.NilError(t, l.runner.Err())
			assert.NilError(t, l.runner.Status().Disk.Err)
			assert.Assert(t, l.runner.Status().Disk.Errors[wasabiraft.DiskError{Class: class(f.Err), Operation: wasabidisk.Operation(f.Operations[0])}] > 0)
			want := l.state.values()
			for _, id := range g.ids() {
				disks[id].Crash(rand.New(rand.NewPCG(1, 1)))
			}
			for _, id := range g.ids() {
				g.stop(id)
			}
			for id := range disks {
				g.start(id, false)
			}
			assert.NilError(t, g.node(id).runner.ReadBarrier(ctx))
			assert.Equal(t, g.node(id).state.values(), want)
		})
	}
}

func class(err error) string {
	if errors.Is(err, syscall.EIO) {
		return "failed"
	}
	return "full"
}

// TestRefusingMemberNamesLeader guards against a member that leaves its callers
// without a leader, or names itself, as long as its disk refuses writes.
func TestRefusingMemberNamesLeader(t *testing.T) {
	g, disks := newMemoryGroup(t)
	ctx := testContext(t)
	l := g.leader(ctx)
	id := l.runner.Status().ID
	disks[id].Inject(wasabifault.Fault{Err: syscall.ENOSPC, Operations: []wasabifault.Operation{wasabifault.Sync}})
	_, _ = l.runner.Propose(ctx, []byte("x"))
	waitForRefusal(ctx, t, l)
	for leader := ""; leader == "" || leader == id; leader = l.runner.Status().Leader {
		assert.NilError(t, ctx.Err())
		<-time.After(time.Millisecond)
	}
	_, err := g.propose(ctx, []byte("y"))
	assert.NilError(t, err)
	for _, other := range g.ids() {
		if other != id {
			g.stop(other)
		}
	}
	for l.runner.Status().Leader != "" {
		assert.NilError(t, ctx.Err())
		<-time.After(time.Millisecond)
	}
}

// TestDisksRefusingInTurn guards against a group that loses its majority for good
// because the disks of its members refused writes one after another.
func TestDisksRefusingInTurn(t *testing.T) {
	for _, err := range []error{syscall.ENOSPC, syscall.EIO} {
		g, disks := newMemoryGroup(t)
		ctx := testContext(t)
		for range 2 {
			for _, id := range g.ids() {
				disks[id].Inject(wasabifault.Fault{Err: err, Operations: []wasabifault.Operation{wasabifault.Sync}})
				for n := g.node(id); n.runner.Status().Disk.Err == nil; {
					_, err := g.propose(ctx, []byte("x"))
					assert.NilError(t, err)
				}
				_, err := g.propose(ctx, []byte("y"))
				assert.NilError(t, err)
				disks[id].Inject(wasabifault.Fault{})
				assert.NilError(t, g.node(id).runner.ReadBarrier(ctx))
			}
		}
		g.close()
	}
}
