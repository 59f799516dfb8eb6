package wasabiraft_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// leader waits until a member leads that all members follow.
func (g *group) leader(ctx context.Context) *node {
	for {
		for _, id := range g.ids() {
			leads := true
			for _, other := range g.ids() {
				l, _ := g.node(other).runner.Leader()
				leads = leads && (l == id || g.silent[other])
			}
			if leads {
				return g.node(id)
			}
		}
		select {
		case <-ctx.Done():
			g.t.Fatal("no leader")
		case <-time.After(time.Millisecond):
		}
	}
}

// until waits for a condition of the leader's status.
func (g *group) until(ctx context.Context, what string, f func(s wasabiraft.Status) bool) {
	for !f(g.leader(ctx).runner.Status()) {
		if ctx.Err() != nil {
			g.t.Fatalf("%s: %+v", what, g.leader(ctx).runner.Status())
		}
		<-time.After(time.Millisecond)
	}
}

func voters(s wasabiraft.Status) (n int) {
	for _, m := range s.Members {
		if m.Voter && m.Storage != "" {
			n++
		}
	}
	return n
}

// TestFollowerRefuses guards against a command that is reported as certainly
// not accepted and yet runs, and one that is accepted by a member that does
// not lead.
func TestFollowerRefuses(t *testing.T) {
	g := newGroup(t, 3, quick())
	ctx := within(t)
	l := g.leader(ctx)
	for _, id := range g.ids() {
		if n := g.node(id); n != l {
			_, err := n.runner.Propose(ctx, []byte("x"))
			assert.Assert(t, wasabistand.ErrNotLeader.Has(err), "%v", err)
		}
	}
	_, err := l.runner.Propose(ctx, make([]byte, 2<<20))
	assert.Assert(t, wasabistand.ErrInvalid.Has(err), "%v", err)
	assert.NilError(t, l.runner.Confirm(ctx))
	assert.Equal(t, l.state.values()[0], uint64(0))
}

// TestIsolatedLeader guards against a leader that is cut off and still answers
// reads, keeps leading, or calls a proposal refused that it may have accepted.
func TestIsolatedLeader(t *testing.T) {
	g := newGroup(t, 3, quick())
	ctx := within(t)
	l := g.leader(ctx)
	// Status waits for the runner's loop, which takes the lock when it sends.
	self := l.runner.Status().ID
	g.mu.Lock()
	g.silent[self] = true
	g.mu.Unlock()
	_, err := l.runner.Propose(ctx, []byte("x"))
	assert.Assert(t, wasabistand.ErrUnknownOutcome.Has(err), "%v", err)
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	assert.Assert(t, wasabistand.ErrNotConfirmed.Has(l.runner.Confirm(short)))
	id, _ := l.runner.Leader()
	assert.Equal(t, id, "")
}

// TestReplacedDisk guards against a member that never comes back after its
// disk was replaced, or counts before it has caught up.
func TestReplacedDisk(t *testing.T) {
	g := newGroup(t, 3, quick().WithSnapshots(20, 5))
	ctx := within(t)
	g.until(ctx, "recorded", func(s wasabiraft.Status) bool { return voters(s) == 3 })
	for range 50 {
		_, err := g.propose(ctx, []byte("x"))
		assert.NilError(t, err)
	}
	for _, id := range []string{"c1", "c2"} {
		g.stop(id)
		assert.NilError(t, os.RemoveAll(filepath.Join(g.dir, id)))
		n := g.start(id, true)
		storage := n.folder.Identity().Storage
		g.until(ctx, "readmitted", func(s wasabiraft.Status) bool {
			for _, m := range s.Members {
				if m.ID == id && m.Storage == storage && m.Voter {
					return voters(s) == 3
				}
			}
			return false
		})
		assert.NilError(t, n.runner.Confirm(ctx))
		assert.Equal(t, n.state.values()[0], uint64(50))
	}
}

// TestMembersChange guards against an added member that gets no vote, a
// removed one that keeps it, and a removed leader that goes on leading.
func TestMembersChange(t *testing.T) {
	g := newGroup(t, 3, quick())
	ctx := within(t)
	g.until(ctx, "recorded", func(s wasabiraft.Status) bool { return voters(s) == 3 })
	g.start("c4", true)
	assert.NilError(t, g.leader4(ctx).runner.ChangeMembers(ctx, wasabiraft.MemberChange{
		Add: &wasabistandv1.Member{Id: "c4", Address: "address-c4"},
	}))
	g.until(ctx, "added", func(s wasabiraft.Status) bool { return voters(s) == 4 })
	l := g.leader(ctx)
	id := l.runner.Status().ID
	assert.NilError(t, l.runner.ChangeMembers(ctx, wasabiraft.MemberChange{Remove: id}))
	g.stop(id)
	g.until(ctx, "removed", func(s wasabiraft.Status) bool { return voters(s) == 3 })
	_, err := g.propose(ctx, []byte("x"))
	assert.NilError(t, err)
}

// leader4 returns the leader while the fourth member follows nobody yet.
func (g *group) leader4(ctx context.Context) *node {
	for ctx.Err() == nil {
		for _, id := range []string{"c1", "c2", "c3"} {
			if l, _ := g.node(id).runner.Leader(); l == id {
				return g.node(id)
			}
		}
		<-time.After(time.Millisecond)
	}
	g.t.Fatal("no leader")
	return nil
}

// TestTransfer guards against a planned stop that costs an election timeout.
func TestTransfer(t *testing.T) {
	g := newGroup(t, 3, quick())
	ctx := within(t)
	l := g.leader(ctx)
	_, err := l.runner.Propose(ctx, []byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, l.runner.Transfer(ctx))
	assert.Assert(t, g.leader(ctx) != l)
}

// memory gives all members disks that fail on demand.
func memory(t testing.TB) (*group, map[string]*wasabifault.Memory) {
	g := &group{
		t: t, dir: "/data", settings: quick(), nodes: map[string]*node{},
		silent: map[string]bool{}, fs: map[string]wasabidisk.FS{},
	}
	disks := map[string]*wasabifault.Memory{}
	for _, id := range []string{"c1", "c2", "c3"} {
		g.list = append(g.list, &wasabistandv1.Member{Id: id, Address: "address-" + id})
		disks[id] = wasabifault.New()
		g.fs[id] = disks[id]
	}
	for id := range disks {
		g.start(id, false)
	}
	t.Cleanup(g.close)
	return g, disks
}

// TestFailedSync guards against a member that answers after a failed sync:
// it must end, and the group must go on.
func TestFailedSync(t *testing.T) {
	g, disks := memory(t)
	ctx := within(t)
	// Nothing but the proposal is written from then on.
	g.until(ctx, "recorded", func(s wasabiraft.Status) bool { return voters(s) == 3 && s.Applied == s.Commit })
	l := g.leader(ctx)
	id := l.runner.Status().ID
	disks[id].FailSyncs(0, 1)
	_, err := l.runner.Propose(ctx, []byte("x"))
	assert.Assert(t, wasabistand.ErrUnknownOutcome.Has(err), "%v", err)
	<-l.runner.Done()
	assert.Assert(t, wasabidisk.ErrFailed.Has(l.runner.Err()), "%v", l.runner.Err())
	g.stop(id)
	_, err = g.propose(ctx, []byte("y"))
	assert.NilError(t, err)
}

// TestFullDisk guards against a group that stops with one full disk, and a
// member that does not come back when there is room again.
func TestFullDisk(t *testing.T) {
	g, disks := memory(t)
	ctx := within(t)
	l := g.leader(ctx)
	id := l.runner.Status().ID
	disks[id].SetCapacity(disks[id].Used())
	for range 10 {
		_, err := g.propose(ctx, []byte("x"))
		assert.NilError(t, err)
	}
	assert.Assert(t, l.runner.Status().Full)
	disks[id].SetCapacity(0)
	assert.NilError(t, l.runner.Confirm(ctx))
	assert.Assert(t, l.state.values()[0] >= 10)
	assert.Assert(t, !l.runner.Status().Full)
}
