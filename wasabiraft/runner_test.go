package wasabiraft_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// counter is a state machine that counts commands and keeps a rolling hash, so
// that two state machines are equal only if they applied the same sequence.
type counter struct {
	mu      sync.Mutex
	n, hash uint64
}

func (c *counter) Apply(_ uint64, b []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	for _, x := range b {
		c.hash = c.hash*1099511628211 + uint64(x) + 1
	}
	return c.n
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, c.n), c.hash), nil
}

func (c *counter) Restore(b []byte) error {
	if len(b) != 16 {
		return fmt.Errorf("state of %d bytes", len(b))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n, c.hash = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	return nil
}

func (c *counter) values() [2]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return [2]uint64{c.n, c.hash}
}

func (c *counter) String() string { return "counter" }

// group runs the members of a group in one process, with files on disk unless
// fs is set.
type group struct {
	t        testing.TB
	dir      string
	settings wasabiraft.Settings
	members  []*wasabistandv1.Member
	mu       sync.Mutex
	nodes    map[string]*node
	isolated map[string]bool          // members whose messages are dropped in both directions
	fs       map[string]wasabidisk.FS // used instead of files on disk
	delay    time.Duration            // of each message
}

type node struct {
	runner *wasabiraft.Runner
	folder *wasabidisk.Folder
	state  *counter
}

func newGroup(t testing.TB, size int, s wasabiraft.Settings) *group {
	g := &group{t: t, dir: t.TempDir(), settings: s, nodes: map[string]*node{}, isolated: map[string]bool{}, fs: map[string]wasabidisk.FS{}}
	for i := range size {
		id := fmt.Sprintf("c%d", i+1)
		g.members = append(g.members, &wasabistandv1.Member{Id: id, Address: "address-" + id})
	}
	for _, m := range g.members {
		g.start(m.GetId(), false)
	}
	t.Cleanup(g.close)
	return g
}

// Send implements wasabiraft.Transport.
func (g *group) Send(to, _ string, list []*wasabistandv1.GroupMessage) {
	g.mu.Lock()
	n := g.nodes[to]
	dropped := g.isolated[to] || len(list) > 0 && g.isolated[list[0].GetFrom()]
	delay := g.delay
	g.mu.Unlock()
	if n == nil || dropped {
		return
	}
	deliver := func() {
		for _, m := range list {
			n.runner.Step(m)
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, deliver)
		return
	}
	deliver()
}

func (g *group) start(id string, join bool) *node {
	var fs wasabidisk.FS = wasabidisk.OS{}
	if f := g.fs[id]; f != nil {
		fs = f
	}
	folder, err := wasabidisk.Open(fs, filepath.Join(g.dir, id), "test")
	assert.NilError(g.t, err)
	store, err := folder.Group("root", wasabidisk.Options{})
	assert.NilError(g.t, err)
	n := &node{folder: folder, state: new(counter)}
	n.runner, err = wasabiraft.Start(wasabiraft.RunnerConfig{
		Self:     wasabiraft.Self{ID: id, Address: "address-" + id, Storage: folder.Identity().Storage},
		Settings: g.settings, Store: store, Transport: g, StateMachine: n.state, Members: g.members, Join: join,
	})
	assert.NilError(g.t, err)
	g.mu.Lock()
	g.nodes[id] = n
	g.mu.Unlock()
	return n
}

func (g *group) stop(id string) {
	g.mu.Lock()
	n := g.nodes[id]
	delete(g.nodes, id)
	g.mu.Unlock()
	assert.Check(g.t, n.runner.Close())
	assert.Check(g.t, n.folder.Close())
}

func (g *group) ids() (list []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.nodes {
		list = append(list, id)
	}
	return list
}

func (g *group) close() {
	for _, id := range g.ids() {
		g.stop(id)
	}
}

func (g *group) node(id string) *node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[id]
}

// propose commits a command on the current leader. A command that is retried
// after an unknown outcome may be committed twice.
func (g *group) propose(ctx context.Context, b []byte) (any, error) {
	for {
		for _, id := range g.ids() {
			if leader, _ := g.node(id).runner.Leader(); leader != id {
				continue
			}
			v, err := g.node(id).runner.Propose(ctx, b)
			if err == nil {
				return v, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func fastSettings() wasabiraft.Settings {
	return wasabiraft.NewSettings().WithElection(150*time.Millisecond, 20*time.Millisecond)
}

// TestSlowReadIsConfirmed guards against reads that are never confirmed when their
// responses take longer than the pause between two requests.
func TestSlowReadIsConfirmed(t *testing.T) {
	s := fastSettings().WithElection(time.Second, 20*time.Millisecond)
	g := newGroup(t, 3, s)
	ctx := testContext(t)
	_, err := g.propose(ctx, []byte("x"))
	assert.NilError(t, err)
	g.mu.Lock()
	g.delay = s.HeartbeatInterval
	g.mu.Unlock()
	for _, id := range g.ids() {
		assert.NilError(t, g.node(id).runner.ReadBarrier(ctx), "at %s", id)
	}
}

// TestGroupCommits guards against commands that are lost or reordered between
// three members with files on disk, and against a restart that loses them.
func TestGroupCommits(t *testing.T) {
	g := newGroup(t, 3, fastSettings().WithSnapshots(40, 10))
	ctx := testContext(t)
	for i := range 100 {
		_, err := g.propose(ctx, fmt.Append(nil, i))
		assert.NilError(t, err)
	}
	var want [2]uint64
	for i, id := range []string{"c1", "c2", "c3"} {
		assert.NilError(t, g.node(id).runner.ReadBarrier(ctx))
		if got := g.node(id).state.values(); i == 0 {
			want = got
		} else {
			assert.Equal(t, got, want)
		}
	}
	g.close()
	for _, id := range []string{"c1", "c2", "c3"} {
		g.start(id, false)
	}
	for _, id := range g.ids() {
		assert.NilError(t, g.node(id).runner.ReadBarrier(ctx))
		assert.Equal(t, g.node(id).state.values(), want)
	}
	var _ wasabistand.ReplicatedLog = g.node("c1").runner
}
