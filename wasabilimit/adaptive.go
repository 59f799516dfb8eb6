package wasabilimit

import (
	"fmt"
	"math"
	"time"

	"github.com/wasabistand/wasabistand"
)

const (
	// overloadRatio is the ratio of latency to base latency above which calls
	// are assumed to queue inside the upstream.
	overloadRatio = 1.5
	// minLatencyRise is the least rise in latency that counts as overload.
	// Otherwise scheduling delays would count as overload of fast calls.
	minLatencyRise = time.Millisecond
	// growthDivisor lets the limit grow by a quarter per window, so that it
	// quadruples in seven windows.
	growthDivisor = 4
	// failedDivisor stops the limit from growing when more than a tenth of the
	// calls fail. If the limit is in use, it is lowered.
	failedDivisor = 10
)

// ineffectiveDivisor lets a reduction that clearly did not help end after a
// quarter of a minimal window. A whole window takes seconds at a slow upstream
// with a low limit.
const ineffectiveDivisor = 4

// initialWindows is the number of windows that replace the base latency
// instead of being averaged into it. The shortest of the first calls finish
// first, so the first windows underestimate it.
const initialWindows = 4

// A base latency that was measured while the limit was in use may include
// queueing, as after a restart during overload. It is tested by halving the
// limit for one window, first soon after the initial windows, later so rarely
// that the tests cost less than a hundredth of the throughput.
const (
	testInterval   = 10 * time.Second
	testRoundTrips = 200
	// testSettleRoundTrips is the number of round trips before a test counts
	// samples, since the shortest calls finish first; testSamples is the
	// number of samples per test.
	testDelayRoundTrips  = 10
	requiredTests        = 2
	testSettleRoundTrips = 3
	testSamples          = 48
)

// Weights of one window in the moving average of the base latency. It falls
// quickly when a window is clearly faster, since only an unloaded upstream
// responds faster. Otherwise it follows slowly, and most slowly while the
// limit is in use, or queueing would be included in the base. Differences
// within the noise of a window have the same weight in both directions, or the
// base would drift to its minimum.
const (
	baseFallWeight        = 0.3
	baseFollowWeight      = 0.05
	baseFollowWeightInUse = 0.02
)

// Adaptive implements wasabistand.Limiter by Little's law. It is not safe for
// concurrent use.
type Adaptive struct {
	options Options
	limit   int
	// reported is the capacity that the upstream reported, 0 for none.
	reported   int
	reportedAt time.Time
	// baseLatency is the latency of the upstream without queueing and without
	// its outgoing calls, 0 before the first window.
	baseLatency time.Duration
	baseWindows int
	// testsRemaining is the number of tests still required to confirm that the
	// base latency includes no queueing; nextTestAt is the earliest start of
	// the next one.
	testsRemaining int
	nextTestAt     time.Time
	// downstreamTime is the mean time that the calls of the last window spent
	// downstream.
	downstreamTime time.Duration
	window         window
	reduction      reduction
}

// window aggregates the calls that finished since it was opened.
type window struct {
	opened time.Time
	// fullSince is the time since which every call found the limit in use, and
	// completed counts the successful calls since then. Throughput is measured
	// over this time only, so that idle time is not mistaken for a lack of
	// capacity.
	fullSince time.Time
	completed int
	// samples counts the successful calls that started under the current
	// limit.
	samples   int
	failed    int
	atLimit   int
	ownTime   time.Duration
	totalTime time.Duration
	// sumSquares is the sum of the squared own times, in square seconds.
	sumSquares float64
}

// mean returns the mean own time and its standard error.
func (w *window) mean() (ownTime, noise time.Duration) {
	if w.samples == 0 {
		return 0, 0
	}
	n := float64(w.samples)
	ownTime = w.ownTime / time.Duration(w.samples)
	variance := max(w.sumSquares/n-ownTime.Seconds()*ownTime.Seconds(), 0)
	return ownTime, time.Duration(math.Sqrt(variance/n) * float64(time.Second))
}

// reduction describes the latest reduction of the limit.
type reduction struct {
	at time.Time
	// pending is set until a window shows whether the reduction was effective.
	pending bool
	// isTest marks a reduction that only tests the base latency.
	isTest  bool
	latency time.Duration
	before  int
	after   int
}

var _ wasabistand.Limiter = (*Adaptive)(nil)

// New returns a limiter that starts with the declared slots, or with a quarter
// of them if cold.
func New(o Options) *Adaptive {
	a := &Adaptive{options: o, limit: o.slots}
	if o.cold {
		a.limit = a.quarterOfSlots()
	}
	return a
}

// Observe records one finished call and returns the limit to apply.
func (a *Adaptive) Observe(now time.Time, s wasabistand.Sample) int {
	if a.reported > 0 && now.Sub(a.reportedAt) >= a.options.reportHold {
		a.reported = 0
	}
	w := &a.window
	if w.opened.IsZero() {
		w.opened, w.fullSince = now, now
	} else if !s.Failed {
		w.completed++
	}
	atLimit := s.Running*4 >= a.Limit()*3
	if !atLimit {
		w.fullSince, w.completed = now, 0
	}
	// Calls that started before a reduction ran under the old limit.
	current := !s.Started.Before(a.reduction.at)
	if a.reduction.isTest && now.Sub(a.reduction.at) < testSettleRoundTrips*(a.baseLatency+a.downstreamTime) {
		current = false
	}
	if current || s.Failed {
		if atLimit {
			w.atLimit++
		}
		if s.Failed {
			w.failed++
		} else {
			total := max(now.Sub(s.Started), 0)
			w.samples++
			w.totalTime += total
			ownTime := min(max(s.OwnTime, 0), total)
			w.ownTime += ownTime
			w.sumSquares += ownTime.Seconds() * ownTime.Seconds()
		}
	}
	n, elapsed := w.samples+w.failed, now.Sub(w.opened)
	target := min(max(a.limit, a.options.minSamples), a.options.maxSamples)
	if a.reduction.isTest {
		target = max(target, testSamples)
	}
	// A slow upstream fills windows slowly although overload requires a quick
	// decision, so the window may end early once it has the minimum number of
	// samples.
	overdue := a.baseLatency > 0 && !a.reduction.isTest && n >= a.options.minSamples && elapsed >= 2*(a.baseLatency+a.downstreamTime)
	// The shortest calls started after a reduction finish first, so the window
	// that evaluates the reduction lasts at least two round trips, and it
	// never lowers the base latency.
	tooEarly := a.reduction.pending && elapsed < 2*(a.baseLatency+a.downstreamTime)
	ineffective := a.reduction.pending && w.samples*ineffectiveDivisor >= a.options.minSamples && a.reduction.isIneffective(w.mean())
	if elapsed > 0 && !tooEarly && (n >= target || overdue || ineffective) {
		a.processWindow(now)
		a.window = window{opened: now, fullSince: now}
	}
	return a.Limit()
}

// Report records the capacity in slots that the upstream reports. It can only
// lower the limit, and only for the hold time.
func (a *Adaptive) Report(now time.Time, slots int) int {
	a.reported, a.reportedAt = max(slots, 1), now
	return a.Limit()
}

// Limit returns the current limit in slots, at least 1.
func (a *Adaptive) Limit() int {
	if a.reported > 0 {
		return min(a.limit, a.reported)
	}
	return a.limit
}

// String returns a summary of the limiter.
func (a *Adaptive) String() string {
	return fmt.Sprintf("wasabilimit.Adaptive(limit=%d slots=%d base=%s)", a.Limit(), a.options.slots, a.baseLatency)
}

// processWindow updates the base latency and the limit from a complete window.
func (a *Adaptive) processWindow(now time.Time) {
	w := &a.window
	inUse := w.atLimit*2 >= w.samples+w.failed
	rate, measured := 0.0, false
	if full := now.Sub(w.fullSince).Seconds(); full > 0 {
		rate = float64(w.completed) / full
		// A rate measured from fewer calls is too imprecise for a reduction.
		measured = w.completed*2 >= a.options.minSamples
	}
	ownTime, noise := w.mean()
	if w.samples > 0 {
		a.downstreamTime = (w.totalTime - w.ownTime) / time.Duration(w.samples)
	}
	if w.failed*failedDivisor > w.samples+w.failed {
		if inUse {
			a.reduceForFailures(now, rate, ownTime)
		}
		return
	}
	if a.baseWindows < initialWindows {
		a.baseWindows++
		a.baseLatency = ownTime
		if inUse && !a.options.cold {
			a.testsRemaining = requiredTests
		}
		a.nextTestAt = now.Add(testDelayRoundTrips * (a.baseLatency + a.downstreamTime))
	}
	if a.reduction.isTest {
		a.finishTest(now, ownTime, noise, inUse)
		return
	}
	overloaded := float64(ownTime-noise) > overloadRatio*float64(a.baseLatency) && ownTime-a.baseLatency > minLatencyRise
	switch {
	case overloaded && inUse && a.reduction.pending && !a.reduction.isEffective(ownTime):
		// The latency does not depend on the limit, so it becomes the new
		// base. Further reductions would only lose throughput.
		a.baseLatency = ownTime
		a.limit = max(a.limit, a.reduction.before)
		a.reduction.pending = false
		a.testsRemaining = requiredTests
		a.nextTestAt = a.nextTestTime(now)
	case overloaded && inUse && !measured:
		// Wait for a window with enough calls to measure the rate.
	case overloaded && inUse:
		// Slots are also held by calls that wait for downstream services.
		limit := max(int(math.Round(rate*(a.baseLatency+a.downstreamTime).Seconds())), 1)
		if limit < a.limit {
			a.reduction = reduction{at: now, pending: true, latency: ownTime, before: a.limit, after: limit}
			a.limit = limit
		}
	default:
		if !a.reduction.pending {
			a.adjustBaseLatency(ownTime, noise, inUse)
		}
		a.reduction.pending = false
		// No test while a report lowers the limit, since that would hide the
		// effect of the test.
		if a.testsRemaining > 0 && inUse && a.Limit() == a.limit && a.baseWindows == initialWindows && !now.Before(a.nextTestAt) {
			a.startTest(now, ownTime)
			return
		}
		if inUse && !overloaded && a.Limit() == a.limit {
			a.limit = min(a.limit+(a.limit+growthDivisor-1)/growthDivisor, a.options.slots)
		}
	}
}

// startTest halves the limit for one window to test the base latency.
func (a *Adaptive) startTest(now time.Time, ownTime time.Duration) {
	a.reduction = reduction{at: now, pending: true, isTest: true, latency: ownTime, before: a.limit, after: (a.limit + 1) / 2}
	a.limit = a.reduction.after
}

// finishTest evaluates a test of the base latency. If calls were faster at
// half the limit, they were queueing before: the halved limit is kept and
// tested again. Otherwise the previous limit is restored.
func (a *Adaptive) finishTest(now time.Time, ownTime, noise time.Duration, inUse bool) {
	if inUse && a.limit > 1 && a.reduction.isEffective(ownTime+noise) {
		a.baseLatency = min(a.baseLatency, ownTime)
		a.startTest(now, ownTime)
		return
	}
	a.limit = max(a.limit, a.reduction.before)
	if inUse {
		a.testsRemaining--
	}
	a.nextTestAt = a.nextTestTime(now)
	a.reduction = reduction{}
}

func (a *Adaptive) nextTestTime(now time.Time) time.Time {
	return now.Add(max(testInterval, testRoundTrips*(a.baseLatency+a.downstreamTime)))
}

// reduceForFailures lowers the limit to the slots that successful calls used,
// by at most half and to no less than a quarter of the slots, since calls also
// fail for reasons that a lower limit cannot fix.
func (a *Adaptive) reduceForFailures(now time.Time, rate float64, ownTime time.Duration) {
	good := int(math.Round(rate * (ownTime + a.downstreamTime).Seconds()))
	limit := max(good, a.limit/2, a.quarterOfSlots())
	if limit < a.limit {
		a.limit = limit
		a.reduction = reduction{at: now}
	}
}

func (a *Adaptive) adjustBaseLatency(ownTime, noise time.Duration, inUse bool) {
	weight := baseFollowWeight
	switch {
	case ownTime+2*noise < a.baseLatency:
		weight = baseFallWeight
	case inUse:
		weight = baseFollowWeightInUse
	}
	a.baseLatency += time.Duration(weight * float64(ownTime-a.baseLatency))
}

func (a *Adaptive) quarterOfSlots() int { return (a.options.slots + 3) / 4 }

// isIneffective reports whether the latency clearly did not fall enough for an
// effective reduction.
func (r reduction) isIneffective(latency, noise time.Duration) bool {
	return !r.isEffective(latency - 2*noise)
}

// isEffective reports whether the latency fell at least half as much as the
// limit, both in relative terms.
func (r reduction) isEffective(latency time.Duration) bool {
	share := (1 + float64(r.after)/float64(r.before)) / 2
	return float64(latency) <= share*float64(r.latency)
}
