package wasabilimit

import (
	"fmt"
	"math"
	"time"

	"github.com/wasabistand/wasabistand"
)

const (
	// overloadRatio is the latency, in multiples of the base, above which
	// calls are taken to wait for each other inside the upstream.
	overloadRatio = 1.5
	// minRise is a rise in latency that no caller notices; below it the
	// scheduling of the processes would count as overload of fast calls.
	minRise = time.Millisecond
	// growthDivisor lets the limit grow by a quarter per window, so that it
	// regains four times its value in seven windows.
	growthDivisor = 4
	// failedDivisor: above a tenth of failed calls the limit does not grow.
	failedDivisor = 10
)

// vainDivisor: a quarter of a window is enough to end a cut that clearly did
// not help. A whole one takes seconds at an upstream that is slow and held to
// a low limit.
const vainDivisor = 4

// learningWindows is how many windows set the base outright. Of the first
// calls the shortest finish first, so the first windows show too little.
const learningWindows = 4

// A base that was taken while the limit was in use may include queueing, as
// after a restart during overload. It is tested by halving the limit for one
// window, soon after the first windows and later so seldom that the tests
// cost less than a hundredth of the throughput.
const (
	testEvery      = 10 * time.Second
	testRoundTrips = 200
	// testSettle is how many round trips pass before a test counts calls,
	// since the shortest finish first, and testSamples how many it counts.
	testDelay   = 10
	testsNeeded = 2
	testSettle  = 3
	testSamples = 48
)

// Weights of a window in the base latency. It falls quickly when the window
// is clearly faster, since nothing but an unloaded upstream answers faster. It
// follows slowly otherwise, and most slowly while the limit is in use, or
// queueing would be taken for the base. Differences within the window's noise
// count alike in both directions, or the base would drift to its minimum.
const (
	baseFall        = 0.3
	baseFollow      = 0.05
	baseFollowInUse = 0.02
)

// Adaptive implements wasabistand.Limiter by Little's law. Its owner
// serializes calls.
type Adaptive struct {
	options Options
	limit   int
	// reported is the upstream's own figure, 0 for none.
	reported   int
	reportedAt time.Time
	// base is the upstream's own latency without queueing, 0 before the first
	// window.
	base    time.Duration
	learned int
	// suspect is how many tests must still show that the base includes no
	// queueing; testAt is when the next one starts.
	suspect int
	testAt  time.Time
	// dependency is the latest mean time that calls spent further down.
	dependency time.Duration
	window     window
	cut        cut
}

// window sums up the calls that finished since it was opened.
type window struct {
	opened time.Time
	// full is since when every call found the limit in use, and completed
	// counts the good calls from then on. Throughput is measured over this
	// time only, so that a lull does not look like a lack of capacity.
	full      time.Time
	completed int
	// samples counts the good calls that started under the present limit.
	samples int
	failed  int
	used    int
	own     time.Duration
	total   time.Duration
	// squares is the sum of the squared own times, in seconds.
	squares float64
}

// mean returns the mean own time and its standard error.
func (w *window) mean() (own, noise time.Duration) {
	if w.samples == 0 {
		return 0, 0
	}
	n := float64(w.samples)
	own = w.own / time.Duration(w.samples)
	variance := max(w.squares/n-own.Seconds()*own.Seconds(), 0)
	return own, time.Duration(math.Sqrt(variance/n) * float64(time.Second))
}

// cut is the latest reduction for latency.
type cut struct {
	at time.Time
	// pending says that no window has shown yet whether it helped.
	pending bool
	// test says that the cut only tests the base.
	test    bool
	latency time.Duration
	before  int
	after   int
}

var _ wasabistand.Limiter = (*Adaptive)(nil)

// New returns a limiter that starts from the declared slots, or from a
// quarter of them when cold.
func New(o Options) *Adaptive {
	a := &Adaptive{options: o, limit: o.slots}
	if o.cold {
		a.limit = a.quarter()
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
		w.opened, w.full = now, now
	} else if !s.Failed {
		w.completed++
	}
	used := s.Running*4 >= a.Limit()*3
	if !used {
		w.full, w.completed = now, 0
	}
	// Calls that started before a cut still suffered from the old limit.
	current := !s.Started.Before(a.cut.at)
	if a.cut.test && now.Sub(a.cut.at) < testSettle*(a.base+a.dependency) {
		current = false
	}
	if current || s.Failed {
		if used {
			w.used++
		}
		if s.Failed {
			w.failed++
		} else {
			total := max(now.Sub(s.Started), 0)
			w.samples++
			w.total += total
			own := min(max(s.Own, 0), total)
			w.own += own
			w.squares += own.Seconds() * own.Seconds()
		}
	}
	n, elapsed := w.samples+w.failed, now.Sub(w.opened)
	target := min(max(a.limit, a.options.minSamples), a.options.maxSamples)
	if a.cut.test {
		target = max(target, testSamples)
	}
	// A slow upstream fills windows slowly, just when a decision is urgent.
	late := a.base > 0 && !a.cut.test && n >= a.options.minSamples && elapsed >= 2*(a.base+a.dependency)
	// Of the calls that started after a cut the shortest finish first, so the
	// window that judges the cut lasts for two round trips, and it never
	// lowers the base.
	early := a.cut.pending && elapsed < 2*(a.base+a.dependency)
	vain := a.cut.pending && w.samples*vainDivisor >= a.options.minSamples && a.cut.vain(w.mean())
	if elapsed > 0 && !early && (n >= target || late || vain) {
		a.decide(now)
		a.window = window{opened: now, full: now}
	}
	return a.Limit()
}

// Report records what the upstream says of its own capacity in slots. It can
// only lower the limit, and for the hold time only.
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

// String names the implementation.
func (a *Adaptive) String() string {
	return fmt.Sprintf("wasabilimit.Adaptive(limit=%d slots=%d base=%s)", a.Limit(), a.options.slots, a.base)
}

// decide draws the consequence of a full window.
func (a *Adaptive) decide(now time.Time) {
	w := &a.window
	inUse := w.used*2 >= w.samples+w.failed
	rate, measured := 0.0, false
	if full := now.Sub(w.full).Seconds(); full > 0 {
		rate = float64(w.completed) / full
		// A rate of fewer calls is too coarse for a cut.
		measured = w.completed*2 >= a.options.minSamples
	}
	own, noise := w.mean()
	if w.samples > 0 {
		a.dependency = (w.total - w.own) / time.Duration(w.samples)
	}
	if w.failed*failedDivisor > w.samples+w.failed {
		if inUse {
			a.cutForFailures(now, rate, own)
		}
		return
	}
	if a.learned < learningWindows {
		a.learned++
		a.base = own
		if inUse && !a.options.cold {
			a.suspect = testsNeeded
		}
		a.testAt = now.Add(testDelay * (a.base + a.dependency))
	}
	if a.cut.test {
		a.judgeTest(now, own, noise, inUse)
		return
	}
	over := float64(own-noise) > overloadRatio*float64(a.base) && own-a.base > minRise
	switch {
	case over && inUse && a.cut.pending && !a.cut.helped(own):
		// The latency does not depend on the limit, so it is the new base.
		// Further cuts would only lose throughput.
		a.base = own
		a.limit = max(a.limit, a.cut.before)
		a.cut.pending = false
		a.suspect = testsNeeded
		a.testAt = a.testLater(now)
	case over && inUse && !measured:
		// The next window shows it.
	case over && inUse:
		// The slots also hold the calls that wait for services further down.
		limit := max(int(math.Round(rate*(a.base+a.dependency).Seconds())), 1)
		if limit < a.limit {
			a.cut = cut{at: now, pending: true, latency: own, before: a.limit, after: limit}
			a.limit = limit
		}
	default:
		if !a.cut.pending {
			a.adjustBase(own, noise, inUse)
		}
		a.cut.pending = false
		// A report that holds the limit down would hide the effect of a test.
		if a.suspect > 0 && inUse && a.Limit() == a.limit && a.learned == learningWindows && !now.Before(a.testAt) {
			a.startTest(now, own)
			return
		}
		if inUse && !over && a.Limit() == a.limit {
			a.limit = min(a.limit+(a.limit+growthDivisor-1)/growthDivisor, a.options.slots)
		}
	}
}

// startTest halves the limit for one window.
func (a *Adaptive) startTest(now time.Time, own time.Duration) {
	a.cut = cut{at: now, pending: true, test: true, latency: own, before: a.limit, after: (a.limit + 1) / 2}
	a.limit = a.cut.after
}

// judgeTest ends a test of the base. As long as half of the limit answers
// faster, calls were waiting for each other, and the half is kept.
func (a *Adaptive) judgeTest(now time.Time, own, noise time.Duration, inUse bool) {
	if inUse && a.limit > 1 && a.cut.helped(own+noise) {
		a.base = min(a.base, own)
		a.startTest(now, own)
		return
	}
	a.limit = max(a.limit, a.cut.before)
	if inUse {
		a.suspect--
	}
	a.testAt = a.testLater(now)
	a.cut = cut{}
}

func (a *Adaptive) testLater(now time.Time) time.Time {
	return now.Add(max(testEvery, testRoundTrips*(a.base+a.dependency)))
}

// cutForFailures lowers the limit to what good calls used, at most by half
// and not below a quarter of the slots, since calls also fail for reasons that
// no limit cures.
func (a *Adaptive) cutForFailures(now time.Time, rate float64, own time.Duration) {
	good := int(math.Round(rate * (own + a.dependency).Seconds()))
	limit := max(good, a.limit/2, a.quarter())
	if limit < a.limit {
		a.limit = limit
		a.cut = cut{at: now}
	}
}

func (a *Adaptive) adjustBase(own, noise time.Duration, inUse bool) {
	weight := baseFollow
	switch {
	case own+2*noise < a.base:
		weight = baseFall
	case inUse:
		weight = baseFollowInUse
	}
	a.base += time.Duration(weight * float64(own-a.base))
}

func (a *Adaptive) quarter() int { return (a.options.slots + 3) / 4 }

// vain reports whether the latency is clearly the same as before the cut.
func (c cut) vain(latency, noise time.Duration) bool {
	return !c.helped(latency - 2*noise)
}

// helped reports whether the latency fell at least half as much as the limit.
func (c cut) helped(latency time.Duration) bool {
	share := (1 + float64(c.after)/float64(c.before)) / 2
	return float64(latency) <= share*float64(c.latency)
}
