package wasabicontrol_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabidisk"
)

// refusalTime is how long each disk refuses: longer than two election timeouts.
const refusalTime = time.Second

// changes makes changes one after another, each sent to one instance after another
// until it is acknowledged.
type changes struct {
	c    *cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu           sync.Mutex
	acknowledged []*wasabistandv1.GetConfigurationResponse
}

func (k *changes) run(ctx context.Context) {
	latest := uint64(0)
	for n := 0; ; n++ {
		r := &wasabistandv1.ApplyRequest{Command: identity(fmt.Sprintf("change-%d", n)), ExpectedRevision: latest, Toml: document(fmt.Sprintf("%dms", n+1))}
		for attempt := 0; ; attempt++ {
			select {
			case <-k.stop:
				return
			case <-ctx.Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
			response, err := k.c.operator(k.c.ids[(n+attempt)%len(k.c.ids)], changeToken).Apply(ctx, connect.NewRequest(r))
			if err != nil {
				continue
			}
			latest = response.Msg.GetRevision()
			k.mu.Lock()
			k.acknowledged = append(k.acknowledged, &wasabistandv1.GetConfigurationResponse{Revision: latest, Toml: r.GetToml()})
			k.mu.Unlock()
			break
		}
	}
}

func (k *changes) list() []*wasabistandv1.GetConfigurationResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.acknowledged
}

// awaitNext waits until another change is acknowledged.
func (k *changes) awaitNext(ctx context.Context, t *testing.T, when string) {
	t.Helper()
	for n := len(k.list()); len(k.list()) == n; {
		if ctx.Err() != nil {
			t.Fatalf("no change is acknowledged %s", when)
		}
		<-time.After(time.Millisecond)
	}
}

// requireAt requires that an instance holds all acknowledged changes.
func (k *changes) requireAt(ctx context.Context, t *testing.T, id string) {
	t.Helper()
	for _, want := range k.list() {
		for {
			got, err := k.c.operator(id, readToken).GetConfiguration(ctx, connect.NewRequest(&wasabistandv1.GetConfigurationRequest{Revision: want.GetRevision()}))
			if connect.CodeOf(err) == connect.CodeUnavailable && ctx.Err() == nil {
				continue // as during an election
			}
			assert.NilError(t, err, "%s at %s", want, id)
			assert.Equal(t, got.Msg.GetToml(), want.GetToml())
			break
		}
	}
}

// memoryDisks are in-memory disks by instance.
type memoryDisks map[string]*wasabifault.Memory

func (d memoryDisks) get(id string) wasabidisk.FS {
	if d[id] == nil {
		d[id] = wasabifault.New()
	}
	return d[id]
}

// TestDisksFullInTurnKeepAcceptingChanges guards against a group that refuses changes for good after its disks refused syncs one after another.
func TestDisksFullInTurnKeepAcceptingChanges(t *testing.T) {
	for name, f := range map[string]wasabifault.Fault{
		"full":  {Err: syscall.ENOSPC, Operations: []wasabifault.Operation{wasabifault.Sync, wasabifault.Close, wasabifault.Create, wasabifault.Rename, wasabifault.SyncDir}},
		"error": {Err: syscall.EIO, Operations: []wasabifault.Operation{wasabifault.Sync}},
	} {
		t.Run(name, func(t *testing.T) {
			disks := memoryDisks{}
			c := newClusterOnDisks(t, 5, 0, nil, disks.get)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			k := &changes{c: c, stop: make(chan struct{})}
			k.wait.Go(func() { k.run(ctx) })
			k.awaitNext(ctx, t, "at first")
			for _, id := range c.ids {
				before := disks[id].Refusals()
				disks[id].Inject(f)
				end := time.After(refusalTime)
				for disks[id].Refusals() == before {
					k.awaitNext(ctx, t, "until the disk of "+id+" refuses")
				}
				<-end
				k.awaitNext(ctx, t, "while the disk of "+id+" refuses")
				disks[id].Inject(wasabifault.Fault{})
			}
			k.awaitNext(ctx, t, "after the last disk accepts writes")
			close(k.stop)
			k.wait.Wait()
			for _, id := range c.ids {
				k.requireAt(ctx, t, id)
			}
			for _, id := range c.ids {
				disks[id].Crash(rand.New(rand.NewPCG(1, 1)))
				c.kill(id)
			}
			for _, id := range c.ids {
				c.restart(id)
			}
			for _, id := range c.ids {
				k.requireAt(ctx, t, id)
			}
		})
	}
}

// TestMemberOnFullDiskLearnsOfItsRemoval guards against a member that stays out of the group, or needs a restart or another disk, because its disk was full when it was replaced.
func TestMemberOnFullDiskLearnsOfItsRemoval(t *testing.T) {
	disks := memoryDisks{}
	c := newFormedClusterOnDisks(t, disks.get)
	c.awaitVoters(t, c.ids...)
	full := c.leader(t)
	var others []string
	for _, id := range c.ids {
		if id != full {
			others = append(others, id)
		}
	}
	disks[full].Inject(wasabifault.Fault{Err: syscall.ENOSPC, Operations: []wasabifault.Operation{wasabifault.Sync}})
	a, err := c.applyNumbered(full, 0, 1, "1s")
	assert.NilError(t, err)
	c.startJoining("control-6")
	c.awaitVoters(t, append(others, "control-6")...)
	disks[full].Inject(wasabifault.Fault{})
	c.awaitVoters(t, append(others, full, "control-6")...)
	for {
		got, err := c.operator(full, readToken).GetConfiguration(t.Context(), connect.NewRequest(&wasabistandv1.GetConfigurationRequest{}))
		if err == nil && got.Msg.GetRevision() == a.GetRevision() {
			break
		}
		assert.Assert(t, err == nil || connect.CodeOf(err) == connect.CodeUnavailable, "%v", err)
	}
}
