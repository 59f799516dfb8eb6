package wasabilimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabilimit"
)

var start = time.Unix(1_700_000_000, 0)

const (
	timeStep = 200 * time.Microsecond
	service  = 20 * time.Millisecond
	slots    = 55
)

func ExampleAdaptive() {
	l := wasabilimit.New(wasabilimit.NewOptions(55).WithCold(true))
	fmt.Println(l.Limit())
	fmt.Println(l.Report(start, 9), l.Report(start, 900))
	// Output:
	// 14
	// 9 14
}

// upstream models an upstream that shares its capacity equally among the
// running calls, each of which uses at most one unit. There are always more
// calls to run than the limit allows.
type upstream struct {
	limiter    wasabistand.Limiter
	random     *rand.Rand
	noise      bool
	capacity   float64
	slowdown   float64
	dependency time.Duration
	now        time.Time
	running    []*job
	// good counts calls that finished within four times their unloaded
	// latency.
	good int
	// late counts all other calls.
	late int
}

type job struct {
	started        time.Time
	downstreamLeft time.Duration // remaining time downstream
	downstreamTime time.Duration
	work           float64 // remaining, in seconds
	running        int
}

func newUpstream(l wasabistand.Limiter) *upstream {
	return &upstream{limiter: l, random: rand.New(rand.NewPCG(1, 2)), capacity: slots, slowdown: 1, now: start}
}

// run advances the model by d and calls each, if not nil, with the limit in
// every step.
func (u *upstream) run(d time.Duration, each func(limit int) (stop bool)) time.Duration {
	begin := u.now
	for u.now.Sub(begin) < d {
		for len(u.running) < u.limiter.Limit() {
			work := service.Seconds() * u.slowdown
			if u.noise {
				work *= u.random.ExpFloat64()
			} else {
				work *= 0.9 + 0.2*u.random.Float64()
			}
			u.running = append(u.running, &job{
				started: u.now, downstreamLeft: u.dependency, downstreamTime: u.dependency,
				work: work, running: len(u.running) + 1,
			})
		}
		active := 0
		for _, j := range u.running {
			if j.downstreamLeft <= 0 {
				active++
			}
		}
		speed := min(1, u.capacity/float64(max(active, 1))) * timeStep.Seconds()
		u.now = u.now.Add(timeStep)
		kept := u.running[:0]
		for _, j := range u.running {
			if j.downstreamLeft > 0 {
				j.downstreamLeft -= timeStep
			} else {
				j.work -= speed
			}
			if j.work > 0 {
				kept = append(kept, j)
				continue
			}
			total := u.now.Sub(j.started)
			if total <= 4*service+u.dependency {
				u.good++
			} else {
				u.late++
			}
			u.limiter.Observe(u.now, wasabistand.Sample{Started: j.started, OwnTime: total - j.downstreamTime, Running: j.running})
		}
		u.running = kept
		if each != nil && each(u.limiter.Limit()) {
			break
		}
	}
	return u.now.Sub(begin)
}

// Guards against slow convergence after a step in capacity in either
// direction.
func TestFollowsCapacityStep(t *testing.T) {
	for _, noise := range []bool{false, true} {
		u := newUpstream(wasabilimit.New(wasabilimit.NewOptions(slots)))
		u.noise = noise
		u.run(2*time.Second, nil)
		u.capacity = slots / 4.0
		down := u.run(10*time.Second, func(l int) bool { return l <= slots*3/8 })
		u.run(5*time.Second, nil)
		u.capacity = slots
		up := u.run(10*time.Second, func(l int) bool { return l >= slots*9/10 })
		t.Logf("noise %t: down in %.1f round trips, up in %.1f", noise,
			down.Seconds()/service.Seconds(), up.Seconds()/service.Seconds())
		// The bound is a few round trips, since the first calls that show the
		// step take up to four times as long as before.
		assert.Assert(t, down <= 8*service, "down in %s", down)
		assert.Assert(t, up <= 20*service, "up in %s", up)
	}
}

// Guards against a restart during overload that mistakes the queueing for the
// base latency, and against a normal start whose limit stays below the slots.
func TestStartUnderOverload(t *testing.T) {
	for _, noise := range []bool{false, true} {
		for _, capacity := range []float64{slots / 4.0, slots} {
			u := newUpstream(wasabilimit.New(wasabilimit.NewOptions(slots)))
			u.noise, u.capacity = noise, capacity
			u.run(150*service, nil)
			sum, steps := 0, 0
			u.run(50*service, func(l int) bool { sum, steps = sum+l, steps+1; return false })
			mean := float64(sum) / float64(steps)
			t.Logf("noise %t, capacity %.0f: mean limit %.1f", noise, capacity, mean)
			assert.Assert(t, mean >= 0.9*capacity && mean <= max(2*capacity, slots*1.0/2))
		}
	}
}

// Guards against mistaking idle time within a window for low throughput.
func TestSurgeAfterLull(t *testing.T) {
	l := wasabilimit.New(wasabilimit.NewOptions(slots))
	now := start
	observe := func(calls int, ownTime time.Duration, running int) {
		for n := range calls {
			now = now.Add(ownTime / slots)
			l.Observe(now, wasabistand.Sample{Started: now.Add(-ownTime), OwnTime: ownTime, Running: max(running, n+1)})
		}
	}
	observe(10*slots+10, service, slots)
	now = now.Add(time.Minute)
	observe(30, 4*service, 0)
	assert.Assert(t, l.Limit() >= slots/4, "limit %d", l.Limit())
}

// Guards against a limit that collapses because a downstream service, or every
// call alike, is slower, which no limit can fix.
func TestSlowDependencyDoesNotCollapse(t *testing.T) {
	u := newUpstream(wasabilimit.New(wasabilimit.NewOptions(slots)))
	u.dependency = 10 * time.Millisecond
	// Both tests of the base latency are over by then, so only the dependency
	// could change the limit.
	u.run(20*time.Second, nil)
	u.dependency = 200 * time.Millisecond
	lowest := slots
	u.run(10*time.Second, func(l int) bool { lowest = min(lowest, l); return false })
	assert.Equal(t, lowest, slots)

	// The same when the downstream time is not known: the base latency is
	// raised.
	u = newUpstream(wasabilimit.New(wasabilimit.NewOptions(slots)))
	u.run(2*time.Second, nil)
	u.slowdown = 10
	u.run(3*time.Second, nil)
	lowest = slots
	u.run(10*time.Second, func(l int) bool { lowest = min(lowest, l); return false })
	assert.Assert(t, lowest >= slots*3/4, "lowest %d", lowest)
}

// Guards against an upstream with few slots that loses most of its throughput
// for a whole window when each call takes longer. An ineffective reduction
// must end after a few calls.
func TestIneffectiveReductionEndsEarly(t *testing.T) {
	const few = 3
	u := newUpstream(wasabilimit.New(wasabilimit.NewOptions(few)))
	u.run(2*time.Second, nil)
	u.slowdown = 4
	reduced := u.run(5*time.Second, func(l int) bool { return l < few })
	assert.Assert(t, reduced < 5*time.Second, "no reduction, so the test is inconclusive")
	restored := u.run(5*time.Second, func(l int) bool { return l == few })
	assert.Assert(t, restored <= 10*4*service, "limit restored after %s", restored)
}

// Guards against a cold upstream that receives its full load at once, or
// never.
func TestColdStartRamps(t *testing.T) {
	u := newUpstream(wasabilimit.New(wasabilimit.NewOptions(slots).WithCold(true)))
	assert.Equal(t, u.limiter.Limit(), 14)
	u.run(service, nil)
	assert.Assert(t, u.limiter.Limit() < slots/2)
	u.run(time.Second, nil)
	assert.Equal(t, u.limiter.Limit(), slots)
}

// Guards against reductions for a rise in latency that only the scheduler
// causes.
func TestFastCallsKeepLimit(t *testing.T) {
	l := wasabilimit.New(wasabilimit.NewOptions(slots).WithCold(true))
	now := start
	for n := range 5000 {
		ownTime := 50 * time.Microsecond * time.Duration(1+n/2500*9)
		now = now.Add(ownTime / slots)
		l.Observe(now, wasabistand.Sample{Started: now.Add(-ownTime), OwnTime: ownTime, Running: l.Limit()})
		assert.Assert(t, n < 2500 || l.Limit() == slots, "limit %d", l.Limit())
	}
}

// Guards against failures unrelated to load driving the limit to 1, and
// against growth while the upstream sheds calls.
func TestFailures(t *testing.T) {
	l := wasabilimit.New(wasabilimit.NewOptions(slots))
	now := start
	for range 5000 {
		now = now.Add(time.Millisecond)
		l.Observe(now, wasabistand.Sample{Started: now.Add(-time.Millisecond), OwnTime: time.Millisecond, Running: l.Limit(), Failed: true})
	}
	assert.Equal(t, l.Limit(), 14)
}

// Guards against untrusted reports and samples that raise the limit above the
// declared slots or lower it below 1, and against a report that still applies
// after the upstream stopped sending any.
func TestUntrustedInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := rapid.IntRange(-3, 100).Draw(t, "slots")
		l := wasabilimit.New(wasabilimit.NewOptions(declared).WithCold(rapid.Bool().Draw(t, "cold")))
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "us")) * time.Microsecond)
			before := l.Limit()
			if rapid.IntRange(0, 9).Draw(t, "report") == 0 {
				reported := rapid.IntRange(-5, 1_000_000).Draw(t, "reported")
				got := l.Report(now, reported)
				assert.Assert(t, got <= max(reported, 1))
			} else {
				l.Observe(now, wasabistand.Sample{
					Started: now.Add(-time.Duration(rapid.Int64Range(-1e6, 1e9).Draw(t, "age"))),
					OwnTime: time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "own")),
					Running: rapid.IntRange(-1, 200).Draw(t, "running"),
					Failed:  rapid.Bool().Draw(t, "failed"),
				})
				assert.Assert(t, l.Limit() <= max(before*5/4+1, declared))
			}
			assert.Assert(t, l.Limit() >= 1 && l.Limit() <= max(declared, 1))
		}
	})

	u := newUpstream(wasabilimit.New(wasabilimit.NewOptions(slots)))
	u.limiter.Report(start, 5)
	u.run(4*time.Second, nil)
	assert.Equal(t, u.limiter.Limit(), 5)
	u.run(2*time.Second, nil)
	assert.Equal(t, u.limiter.Limit(), slots)
	assert.Equal(t, u.limiter.Report(u.now, 1_000_000), slots)
}

// fixedLimiter is a limiter whose limit never changes.
type fixedLimiter int

func (f fixedLimiter) Observe(time.Time, wasabistand.Sample) int { return int(f) }
func (f fixedLimiter) Report(time.Time, int) int                 { return int(f) }
func (f fixedLimiter) Limit() int                                { return int(f) }
func (f fixedLimiter) String() string                            { return "fixed" }

// aimdLimiter increases the limit by one slot per window and decreases it by a
// tenth when the latency exceeds 1.5 times the lowest window mean.
type aimdLimiter struct {
	fixedLimiter
	count  int
	sum    time.Duration
	lowest time.Duration
}

func (a *aimdLimiter) Observe(_ time.Time, s wasabistand.Sample) int {
	a.count++
	a.sum += s.OwnTime
	if a.count >= int(a.fixedLimiter) {
		mean := a.sum / time.Duration(a.count)
		if a.lowest == 0 || mean < a.lowest {
			a.lowest = mean
		}
		if mean*2 > a.lowest*3 {
			a.fixedLimiter = max(a.fixedLimiter*9/10, 1)
		} else {
			a.fixedLimiter = min(a.fixedLimiter+1, slots)
		}
		a.count, a.sum = 0, 0
	}
	return int(a.fixedLimiter)
}

// BenchmarkCapacityStep compares the limiters over 5 s at a quarter of the
// capacity and 5 s after it is restored.
func BenchmarkCapacityStep(b *testing.B) {
	for _, noise := range []bool{false, true} {
		for _, c := range []struct {
			name string
			make func() wasabistand.Limiter
		}{
			{"adaptive", func() wasabistand.Limiter { return wasabilimit.New(wasabilimit.NewOptions(slots)) }},
			{"aimd", func() wasabistand.Limiter { return &aimdLimiter{fixedLimiter: slots} }},
			{"fixed", func() wasabistand.Limiter { return fixedLimiter(slots) }},
		} {
			b.Run(fmt.Sprintf("%s/noise=%t", c.name, noise), func(b *testing.B) {
				for b.Loop() {
					u := newUpstream(c.make())
					u.noise = noise
					u.run(2*time.Second, nil)
					steady := u.good
					u.capacity = slots / 4.0
					down := u.run(5*time.Second, func(l int) bool { return l <= slots*3/8 })
					u.run(5*time.Second-down, nil)
					slow := u.good - steady
					u.capacity = slots
					up := u.run(5*time.Second, func(l int) bool { return l >= slots*9/10 })
					u.run(5*time.Second-up, nil)
					b.ReportMetric(float64(steady)/2, "steady/s")
					b.ReportMetric(float64(slow)/5, "quarter/s")
					b.ReportMetric(float64(u.good-steady-slow)/5, "return/s")
					b.ReportMetric(down.Seconds()/service.Seconds(), "rtt-down")
					b.ReportMetric(up.Seconds()/service.Seconds(), "rtt-up")
				}
			})
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	b.ReportAllocs()
	l := wasabilimit.New(wasabilimit.NewOptions(slots))
	now := start
	for b.Loop() {
		now = now.Add(400 * time.Microsecond)
		l.Observe(now, wasabistand.Sample{Started: now.Add(-service), OwnTime: service, Running: slots})
	}
}
