package wasabimesh_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/process/wasabimesh"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabicontrol"
)

// TestStartOnFullDisk guards against a process that ends, or stays without a control instance, because its disk was full when it started.
func TestStartOnFullDisk(t *testing.T) {
	for _, after := range []int{0, 2, 5, 9} {
		disk := wasabifault.New()
		disk.Inject(wasabifault.Fault{Err: syscall.ENOSPC, Operations: wasabifault.Operations, After: after, Count: 3})
		c, _ := newControl(t, disk)
		applyFirst(t, c)
	}
}

// TestEndedReplicaIsOpenedAgain guards against a process that goes on without a replica after an error of the disk that the replica does not outlast.
func TestEndedReplicaIsOpenedAgain(t *testing.T) {
	disk := wasabifault.New()
	c, _ := newControl(t, disk)
	first := c.Instance()
	disk.Inject(wasabifault.Fault{Err: syscall.EROFS, Operations: []wasabifault.Operation{wasabifault.Sync}, Count: 3})
	var change sync.WaitGroup
	change.Go(func() {
		_, _ = first.Apply(t.Context(), "test", firstChange())
	})
	<-first.Failed()
	change.Wait()
	applyFirst(t, c)
}

// TestReadAgainAddressesAreAsked guards against a control instance that joins no group, because all addresses that it was started with are gone and those of settings that were read again are dropped.
func TestReadAgainAddressesAreAsked(t *testing.T) {
	first, address := newControl(t, nil)
	applyFirst(t, first)
	gone := freeAddress(t)
	link := freeAddress(t)
	c := wasabimesh.NewControl(wasabimesh.ControlSettings{
		Cluster: "test", Instance: "late", Location: location, Folder: t.TempDir(), Link: link, API: freeAddress(t), Operators: freeAddress(t),
		InitialMembers: []wasabicontrol.Member{{ID: "gone", Address: gone}}, Join: true, ToleratedDiskLosses: 1,
	}, zerolog.Nop(), func(*wasabimesh.ControlDaemon) http.Handler { return http.NotFoundHandler() })
	assert.NilError(t, c.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	assert.DeepEqual(t, c.Instance().KnownAddresses(), []string{gone})
	c.SetControlAddresses(address, gone)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for {
		if revision, _, err := c.Instance().Configuration(ctx); err == nil && revision > 0 {
			break
		}
		assert.NilError(t, ctx.Err(), "the instance has not joined")
		<-time.After(time.Millisecond)
	}
	// An instance that is opened again in this process is told them.
	assert.Assert(t, slices.Contains(c.Instance().KnownAddresses(), address))
}
