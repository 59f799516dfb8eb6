package wasabistate_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabistate"
)

const benchStart = int64(1_800_000_000_000)

func claimCommands(i int, now int64, response *wasabistandv1.RecordedAnswer) (take, settle []byte) {
	k := &wasabistandv1.ClaimKey{Caller: "office", Service: "reports", Key: fmt.Sprintf("7f9c2ba4-e88f-827d-6160-%012d", i)}
	o := &wasabistandv1.ClaimOwner{Instance: fmt.Sprintf("reports-%04d", i%2300), Incarnation: 1, Call: uint64(i)}
	take = encode(now, &wasabistandv1.ClaimTake{Key: k, Owner: o, Fingerprint: make([]byte, 32), ExpiresUnixMs: now + 250, DeadlineUnixMs: now + 5000})
	settle = encode(now, &wasabistandv1.ClaimSettle{Key: k, Owner: o, Result: &wasabistandv1.ClaimSettle_Answer{Answer: response}})
	return take, settle
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkClaimMemory reports the heap growth per claim from an empty table to
// each size, with recorded responses of the given size. The key maps grow in
// steps, so the growth per claim differs between sizes.
func BenchmarkClaimMemory(b *testing.B) {
	for _, body := range []int{0, 256} {
		for _, size := range []int{10_000, 100_000, 500_000} {
			b.Run(fmt.Sprintf("body=%d/claims=%d", body, size), func(b *testing.B) {
				response := &wasabistandv1.RecordedAnswer{Status: 200, Body: []byte(strings.Repeat("x", body))}
				for b.Loop() {
					b.StopTimer()
					before := heap()
					m := wasabistate.New(wasabistate.NewOptions())
					b.StartTimer()
					for i := range size {
						take, settle := claimCommands(i, benchStart, response)
						m.Apply(0, take)
						if body > 0 {
							m.Apply(0, settle)
						}
					}
					b.StopTimer()
					b.ReportMetric(float64(heap()-before)/float64(size), "B/claim")
					started := time.Now()
					snapshot, err := m.Snapshot()
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(time.Since(started).Seconds()*1000, "snapshot-ms")
					b.ReportMetric(float64(len(snapshot))/float64(size), "snapshot-B/claim")
					started = time.Now()
					if err := wasabistate.New(wasabistate.NewOptions()).Restore(snapshot); err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(time.Since(started).Seconds()*1000, "restore-ms")
					runtime.KeepAlive(m)
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkClaim measures 1,000 claims and their settlements in a table in
// steady state: for each new claim, an expired one is removed.
func BenchmarkClaim(b *testing.B) {
	const retention, batch = 100 * time.Second, 1000
	m := wasabistate.New(wasabistate.NewOptions().WithLimits(wasabistate.Limits{ClaimRetention: retention, ClaimEntries: 500_000, AnswerBytes: 256 << 20}))
	response := &wasabistandv1.RecordedAnswer{Status: 200, Body: make([]byte, 256)}
	i, commands := 0, make([][]byte, 0, 2*batch)
	prepare := func() {
		commands = commands[:0]
		for range batch {
			i++
			take, settle := claimCommands(i, benchStart+int64(i)/3, response) // 3,000 claims/s
			commands = append(commands, take, settle)
		}
	}
	run := func() {
		for _, c := range commands {
			m.Apply(0, c)
		}
	}
	for range 300 {
		prepare()
		run()
	}
	for b.Loop() {
		b.StopTimer()
		prepare()
		b.StartTimer()
		run()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/claim")
	b.ReportMetric(float64(m.Claims().Total()), "claims")
}
