package wasabimember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
)

const (
	benchControls = 7
	perService    = 14
)

// newSyncedRegistries returns registries of 7 control instances with size
// instances in services of 14, after an exchange of their lists.
func newSyncedRegistries(t testing.TB, size int) []*wasabimember.Registry {
	t.Helper()
	list := make([]*wasabimember.Registry, benchControls)
	for c := range list {
		list[c] = wasabimember.New(wasabimember.NewOptions(fmt.Sprint("control-", c), uint64(start.UnixNano())))
	}
	for i := range size {
		assert.NilError(t, list[i%benchControls].Announce(start, benchInstance(i)))
	}
	for c, from := range list {
		m := from.BuildSync(start, false)
		for d, to := range list {
			if c != d {
				assert.NilError(t, to.Merge(start, m))
			}
		}
	}
	return list
}

func benchInstance(i int) wasabistand.Instance {
	v := instance(i)
	v.Service = fmt.Sprintf("service-%03d", i/perService)
	v.Incarnation = uint64(start.UnixNano())
	return v
}

// BenchmarkRenew reports the CPU time of a renewal and of a Tick, idle and after
// all leases expired, and the memory of a registry per instance. A seventh of
// the instances are in its local list.
func BenchmarkRenew(b *testing.B) {
	for _, size := range []int{230, 1150, 2300} {
		b.Run(fmt.Sprint("instances=", size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			list := newSyncedRegistries(b, size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			memory := float64(after.HeapAlloc-before.HeapAlloc) / float64(size*benchControls)
			r, ids := list[0], make([]string, 0, size)
			for i := 0; i < size; i += benchControls {
				ids = append(ids, benchInstance(i).ID)
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if err := r.Renew(start.Add(time.Second), ids[n%len(ids)], uint64(start.UnixNano()), 1, 0); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(memory, "B/instance")
			runtime.KeepAlive(list)
			for _, c := range []struct {
				name  string
				after time.Duration
			}{{"ns/tick", time.Second}, {"ns/tick-all-suspect", 6 * time.Second}} {
				r.Tick(start.Add(c.after))
				started := time.Now()
				for range 100 {
					r.Tick(start.Add(c.after))
				}
				b.ReportMetric(float64(time.Since(started).Nanoseconds())/100, c.name)
			}
		})
	}
}

// TestBytes reports the size of deltas and of sync messages. It guards against
// idle sync messages and deltas that grow with the number of instances.
func TestBytes(t *testing.T) {
	for _, size := range []int{230, 1150, 2300} {
		r := newSyncedRegistries(t, size)[0]
		idle := proto.Size(r.BuildSync(start, false))
		full := proto.Size(r.Delta("service-000", 0))
		version := r.Version("service-000")
		assert.NilError(t, r.Announce(start, benchInstance(0).WithSequence(2).WithState(wasabistand.Leaving)))
		delta := r.Delta("service-000", version)
		assert.Assert(t, idle < 64 && proto.Size(delta) < 2*full/perService)
		whole := proto.Size(r.BuildSync(start, true))
		busy, changes := replaceInstances(t, r, size)
		t.Logf("%d instances: delta %d B, full list of 14 %d B; sync to one peer: at rest %d B/s, whole list %d B, with 7%% replaced in a minute (%d of this source) %.0f B/s",
			size, proto.Size(delta), full, idle, whole, changes, busy)
	}
}

// replaceInstances replaces 7% of a source's instances in a minute, one after
// another, and returns the bytes per second of its sync messages, each of which
// is sent at once.
func replaceInstances(t *testing.T, r *wasabimember.Registry, size int) (bytesPerSecond float64, count int) {
	var messages []*wasabistandv1.MemberSync
	count = size * 7 / 100 / benchControls
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for i := range size {
			if i%benchControls == 0 {
				_ = r.Renew(now, benchInstance(i).ID, uint64(start.UnixNano()), 1, 0)
			}
		}
		r.Tick(now)
		if k := second * count / 60; (second+1)*count/60 > k {
			old := benchInstance((k + 1) * benchControls)
			next := old.WithSequence(1).WithState(wasabistand.Cold)
			next.Incarnation, next.LinkAddress = uint64(now.UnixNano()), "10.1.1.1:7000"
			assert.NilError(t, r.Announce(now, old.WithSequence(2).WithState(wasabistand.Leaving)))
			messages = append(messages, r.BuildSync(now, false))
			r.Disconnect(now, old.ID, old.Incarnation, 2)
			messages = append(messages, r.BuildSync(now, false))
			assert.NilError(t, r.Announce(now, next))
			messages = append(messages, r.BuildSync(now, false))
			assert.NilError(t, r.Announce(now, next.WithSequence(2).WithState(wasabistand.Ready)))
		}
		messages = append(messages, r.BuildSync(now, false))
	}
	total := 0
	for _, m := range messages {
		total += proto.Size(m)
	}
	return float64(total) / 60, count
}
