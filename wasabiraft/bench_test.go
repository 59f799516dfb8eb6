package wasabiraft_test

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// BenchmarkPropose measures commits of 100-byte commands with real syncs from
// 256 concurrent callers. All members write to the same disk.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, batch := range []int{1, wasabiraft.NewSettings().MaxBatch} {
			b.Run(fmt.Sprintf("members=%d/batch=%d", size, batch), func(b *testing.B) {
				g := newGroup(b, size, wasabiraft.NewSettings().WithMaxBatch(batch))
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				l := g.leader(ctx)
				var remaining atomic.Int64
				remaining.Store(int64(b.N))
				var mu sync.Mutex
				var latencies []time.Duration
				var callers sync.WaitGroup
				b.ResetTimer()
				for range 256 {
					callers.Go(func() {
						var callerLatencies []time.Duration
						for remaining.Add(-1) >= 0 {
							start := time.Now()
							if _, err := l.runner.Propose(ctx, make([]byte, 100)); err != nil {
								b.Error(err)
								return
							}
							callerLatencies = append(callerLatencies, time.Since(start))
						}
						mu.Lock()
						latencies = append(latencies, callerLatencies...)
						mu.Unlock()
					})
				}
				callers.Wait()
				b.StopTimer()
				slices.Sort(latencies)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
			})
		}
	}
}

// BenchmarkRecover measures the start of a member with an existing log until the
// whole log is applied.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "data")
			open := func() (*wasabidisk.Folder, *wasabidisk.Store) {
				f, err := wasabidisk.Open(wasabidisk.OS{}, dir, "test")
				assert.NilError(b, err)
				s, err := f.Group("root", wasabidisk.Options{})
				assert.NilError(b, err)
				return f, s
			}
			f, s := open()
			first, err := wasabiraft.Bootstrap([]*wasabistandv1.Member{{Id: "c1", Address: "a"}})
			assert.NilError(b, err)
			list := first.Entries
			for i := 2; i <= n; i++ {
				list = append(list, &wasabistandv1.LogEntry{
					Index: uint64(i), Term: 1, Kind: wasabistandv1.LogEntry_KIND_COMMAND, Data: make([]byte, 100),
				})
			}
			first.HardState.CommitIndex = uint64(n)
			assert.NilError(b, s.Save(first.HardState, list))
			assert.NilError(b, f.Close())
			for b.Loop() {
				f, s := open()
				state := new(counter)
				r, err := wasabiraft.Start(wasabiraft.RunnerConfig{
					Self:     wasabiraft.Self{ID: "c1", Address: "a", Storage: f.Identity().Storage},
					Settings: wasabiraft.NewSettings().WithSnapshots(1_000_000, 0), Store: s,
					Transport: &group{}, StateMachine: state,
				})
				assert.NilError(b, err)
				for state.values()[0] < uint64(n-1) {
					time.Sleep(100 * time.Microsecond)
				}
				b.StopTimer()
				assert.NilError(b, r.Close())
				assert.NilError(b, f.Close())
				b.StartTimer()
			}
		})
	}
}

// BenchmarkLeaderLoss isolates the leader and measures the time until another
// member commits a proposal.
func BenchmarkLeaderLoss(b *testing.B) {
	g := newGroup(b, 3, wasabiraft.NewSettings())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var worst time.Duration
	for b.Loop() {
		b.StopTimer()
		l := g.leader(ctx)
		_, err := g.propose(ctx, []byte("x"))
		assert.NilError(b, err)
		id := l.runner.Status().ID
		b.StartTimer()
		start := time.Now()
		g.mu.Lock()
		g.isolated[id] = true
		delete(g.nodes, id)
		g.mu.Unlock()
		_, err = g.propose(ctx, []byte("x"))
		assert.NilError(b, err)
		worst = max(worst, time.Since(start))
		b.StopTimer()
		g.mu.Lock()
		delete(g.isolated, id)
		g.nodes[id] = l
		g.mu.Unlock()
		b.StartTimer()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}
