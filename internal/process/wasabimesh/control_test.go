package wasabimesh_test

import (
	"sync"
	"syscall"
	"testing"

	"github.com/wasabistand/wasabistand/internal/wasabifault"
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
