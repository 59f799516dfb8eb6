package wasabicontrol_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabisession"
)

// Dimensions of a cluster of the target size: 14 instances per service, and each
// node calls a few services.
const (
	instancesPerService = 14
	servicesPerNode     = 6
)

// countingConn counts the bytes of a node's connections in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fleet is a set of nodes with sessions in one process.
type fleet struct {
	c        *cluster
	services int
	nodes    []*node
	bytes    atomic.Int64
}

func newFleet(b *testing.B, size int) *fleet {
	f := &fleet{c: newCluster(b, 3, 0, nil), services: max(size/instancesPerService, 1)}
	f.c.mustApply("control-1", 0, "first", "1s")
	for k := range size {
		f.nodes = append(f.nodes, f.start(k, 1))
	}
	f.await(b, 1)
	return f
}

func (f *fleet) start(k int, incarnation uint64) *node {
	id := fmt.Sprintf("node-%d", k)
	var d net.Dialer
	o := wasabilink.NewOptions("test", id, incarnation).WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, bytes: &f.bytes}, nil
	})
	var controlAddresses []string
	for _, a := range f.c.links {
		controlAddresses = append(controlAddresses, a)
	}
	n := &node{pool: wasabilink.NewPool(o, nil), sessionEnds: make(chan wasabistand.Reason, 64)}
	n.Session = wasabisession.New(wasabisession.NewOptions(controlAddresses...), n.pool, instance(id, fmt.Sprintf("service-%d", k%f.services), incarnation), n)
	for s := range min(servicesPerNode, f.services) {
		n.Subscribe(fmt.Sprintf("service-%d", (k+s)%f.services))
	}
	f.c.t.Cleanup(n.close)
	return n
}

// await waits until all nodes have applied a revision and have the complete
// instance lists of the services that they call.
func (f *fleet) await(b *testing.B, revision uint64) {
	b.Helper()
	for _, n := range f.nodes {
		n.await(b, "complete lists", func(v *wasabistand.View) bool {
			if v.Revision < revision || len(v.Instances) < min(servicesPerNode, f.services) {
				return false
			}
			for _, list := range v.Instances {
				if len(list) < len(f.nodes)/f.services {
					return false
				}
			}
			return true
		})
	}
}

// BenchmarkApplyToInForce measures the time from the response to the operator
// until all nodes have applied the revision.
func BenchmarkApplyToInForce(b *testing.B) {
	for _, size := range []int{100, 300, 900} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(b, size)
			revision := uint64(1)
			var committed, applied []time.Duration
			b.ResetTimer()
			for k := range b.N {
				start := time.Now()
				revision = f.c.mustApply(f.c.ids[k%3], revision, fmt.Sprintf("change-%d", k), "1s")
				responded := time.Now()
				for _, n := range f.nodes {
					n.await(b, "revision", atLeast(revision))
				}
				committed = append(committed, responded.Sub(start))
				applied = append(applied, time.Since(responded))
			}
			slices.Sort(committed)
			slices.Sort(applied)
			report := func(list []time.Duration, name string) {
				b.ReportMetric(float64(list[len(list)/2].Microseconds())/1000, name+"-median-ms")
				b.ReportMetric(float64(list[len(list)-1].Microseconds())/1000, name+"-max-ms")
			}
			report(committed, "accepted")
			report(applied, "inforce")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRest measures the cost per session in bytes in both directions and in
// CPU time of nodes and control instances together, while idle and while 7% of
// the instances are replaced within the measured time.
func BenchmarkRest(b *testing.B) {
	const span = 10 * time.Second
	for _, size := range []int{100, 300, 900} {
		for _, replaced := range []int{0, 7} {
			b.Run(fmt.Sprintf("%d/replaced-%d%%", size, replaced), func(b *testing.B) {
				f := newFleet(b, size)
				for range b.N {
					bytes, processor := f.bytes.Load(), processorTime(b)
					end := time.NewTimer(span)
					count := size * replaced / 100
					for k := range count {
						time.Sleep(span / time.Duration(2*count))
						x := k * size / count
						f.nodes[x].close()
						f.nodes[x] = f.start(x, uint64(b.N+k+2))
					}
					<-end.C
					seconds := span.Seconds() * float64(size)
					b.ReportMetric(float64(f.bytes.Load()-bytes)/seconds, "B/session/s")
					b.ReportMetric(float64((processorTime(b)-processor).Microseconds())/seconds, "cpu-us/session/s")
				}
				f.await(b, 1)
			})
		}
	}
}

// BenchmarkClaims measures taking and settling claims, with each command synced
// to three disks.
func BenchmarkClaims(b *testing.B) {
	for _, workers := range []int{16, 256, 1024} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(b, 16)
			var next atomic.Uint64
			var mu sync.Mutex
			h := hdrhistogram.New(1, 10_000_000, 3)
			var refused int
			var wait sync.WaitGroup
			b.ResetTimer()
			start := time.Now()
			for w := range workers {
				wait.Go(func() {
					n := f.nodes[w%len(f.nodes)]
					for call := next.Add(1); call <= uint64(b.N); call = next.Add(1) {
						k := claim(fmt.Sprintf("key-%d", call), call)
						at := time.Now()
						s, err := n.Take(b.Context(), k)
						took := time.Since(at)
						mu.Lock()
						if err != nil {
							refused++
						} else {
							_ = h.RecordValue(took.Microseconds())
						}
						mu.Unlock()
						if err == nil && s.Status == wasabistand.ClaimGranted {
							assert.Check(b, n.Settle(b.Context(), k, wasabistand.Settlement{Outcome: wasabistand.Answered, Response: &wasabistand.RecordedResponse{Status: 200, Body: []byte("ok")}}))
						}
					}
				})
			}
			wait.Wait()
			elapsed := time.Since(start).Seconds()
			b.ReportMetric(float64(b.N)/elapsed, "claims/s")
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "median-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(refused), "refused")
		})
	}
}

// BenchmarkLeaderLoss measures the time from the loss of root's leader until a
// claim is granted, until a change is committed and until all nodes have applied
// it. A leader that is partitioned from the others stays reachable for nodes.
func BenchmarkLeaderLoss(b *testing.B) {
	const size = 300
	for _, kind := range []string{"killed", "cut-off"} {
		b.Run(kind, func(b *testing.B) {
			var claimed, committed, applied []time.Duration
			for k := range b.N {
				f := newFleet(b, size)
				id := f.c.leader(b)
				start := time.Now()
				if kind == "killed" {
					f.c.kill(id)
				} else {
					f.c.sides[id].Store(1)
				}
				var wait sync.WaitGroup
				wait.Go(func() {
					f.nodes[k%size].take(b, claim("key", 1))
					claimed = append(claimed, time.Since(start))
				})
				operator := f.c.ids[0]
				if operator == id {
					operator = f.c.ids[1]
				}
				revision := f.c.mustApply(operator, 1, "change", "2s")
				committed = append(committed, time.Since(start))
				for _, n := range f.nodes {
					n.await(b, "revision", atLeast(revision))
				}
				applied = append(applied, time.Since(start))
				wait.Wait()
				for _, n := range f.nodes {
					n.close()
				}
				f.c.close()
			}
			for name, list := range map[string][]time.Duration{"claim": claimed, "accepted": committed, "inforce": applied} {
				b.ReportMetric(float64(slices.Max(list).Milliseconds()), name+"-max-ms")
			}
		})
	}
}
