package wasabiadmission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiadmission"
)

// newQueue returns a queue that has completed one call with the given service
// time.
func newQueue(o wasabiadmission.Options, service time.Duration) *wasabiadmission.Queue {
	q := wasabiadmission.New(o)
	q.Offer(start, ticket(1_000_000, wasabistand.Critical, longTimeout))
	q.Done(start, 1_000_000, service)
	return q
}

// Guards against one caller that floods the queue and thereby starves others
// of slots and queue places.
func TestCallersShareSlots(t *testing.T) {
	q := newQueue(wasabiadmission.NewOptions().WithLimit(2).WithQueueLimit(10), 10*ms)
	callers := map[wasabistand.TicketID]string{}
	served := map[string]int{}
	var running []wasabistand.TicketID
	record := func(list []wasabistand.Decision) {
		for _, d := range list {
			if d.Verdict == wasabistand.Admit {
				served[callers[d.ID]]++
				running = append(running, d.ID)
			}
		}
	}
	id := 0
	offer := func(now time.Time, caller string) {
		id++
		c := ticket(id, wasabistand.Normal, longTimeout)
		c.Caller = caller
		callers[c.ID] = caller
		record(q.Offer(now, c))
	}
	now := start
	for range 1000 {
		now = now.Add(10 * ms)
		for range 20 {
			offer(now, "greedy")
		}
		offer(now, "modest")
		ended := running
		running = nil
		for _, r := range ended {
			record(q.Done(now, r, 10*ms))
		}
	}
	// The modest caller requests half of the slots and must get them.
	assert.Assert(t, served["modest"] >= 950, "%v", served)
	assert.Assert(t, served["greedy"] >= 950, "%v", served)
}

// Guards against running calls that cannot meet their deadline, and against
// such a refusal raising the level when load is not the cause.
func TestDeadlineFeasibility(t *testing.T) {
	q := newQueue(wasabiadmission.NewOptions().WithLimit(1), 100*ms)
	assert.Equal(t, q.Offer(start, ticket(1, wasabistand.Low, longTimeout))[0].Verdict, wasabistand.Admit)
	d := q.Offer(start, ticket(2, wasabistand.High, 99*ms))
	assert.Equal(t, d[0].Reason, wasabistand.ReasonDeadline)
	assert.Equal(t, q.Load().Level, wasabistand.Low)

	// The remaining time covers the service time but not the wait, so load is
	// the cause.
	d = q.Offer(start, ticket(3, wasabistand.High, 150*ms))
	assert.Equal(t, d[0].Reason, wasabistand.ReasonDeadline)
	assert.Equal(t, q.Load().Level, wasabistand.High)

	// The remaining time covers the wait for one running call, but not for a
	// second call.
	assert.Equal(t, len(q.Offer(start, ticket(4, wasabistand.High, 250*ms))), 0)
	assert.Equal(t, q.Offer(start, ticket(5, wasabistand.High, 250*ms))[0].Reason, wasabistand.ReasonDeadline)
	// A call of higher importance does not wait for the queued one.
	assert.Equal(t, len(q.Offer(start, ticket(6, wasabistand.Critical, 250*ms))), 0)
}

// Guards against an estimate that is too high and so refuses every call that
// could correct it.
func TestEstimateRecovers(t *testing.T) {
	q := newQueue(wasabiadmission.NewOptions().WithLimit(2), time.Minute)
	// An idle upstream runs a call regardless of the estimate.
	assert.Equal(t, q.Offer(start, ticket(1, wasabistand.Low, time.Second))[0].Verdict, wasabistand.Admit)
	assert.Equal(t, q.Offer(start, ticket(2, wasabistand.Low, time.Second))[0].Verdict, wasabistand.Refuse)
	// Without completions the estimate decays, although a call still runs.
	late := start.Add(10 * time.Second)
	c := ticket(3, wasabistand.Low, 11*time.Second)
	assert.Equal(t, q.Offer(late, c)[0].Verdict, wasabistand.Admit)
}

// Guards against an upstream that became too slow for every caller while the
// estimate stays low because every call is cancelled before it completes.
func TestCancelledCallsRaiseEstimate(t *testing.T) {
	q := newQueue(wasabiadmission.NewOptions().WithLimit(2), 10*ms)
	for n := range 16 {
		now := start.Add(time.Duration(n) * 300 * ms)
		assert.Equal(t, q.Offer(now, ticket(n+1, wasabistand.Low, longTimeout))[0].Verdict, wasabistand.Admit)
		q.Cancel(now.Add(300*ms), wasabistand.TicketID(n+1))
	}
	now := start.Add(16 * 300 * ms)
	q.Offer(now, ticket(100, wasabistand.Low, longTimeout))
	d := q.Offer(now, ticket(101, wasabistand.Low, now.Sub(start)+100*ms))
	assert.Equal(t, d[0].Reason, wasabistand.ReasonDeadline)
}

// Guards against a RetryAfter that ignores the length of the queue.
func TestRetryAfterGrowsWithQueue(t *testing.T) {
	last := time.Duration(0)
	for _, length := range []int{1, 10, 40, 1000} {
		q := newQueue(wasabiadmission.NewOptions().WithLimit(1).WithQueueLimit(length), 20*ms)
		for n := range length + 1 {
			q.Offer(start, ticket(n+1, wasabistand.Normal, longTimeout))
		}
		d := q.Offer(start, ticket(length+2, wasabistand.Normal, longTimeout))
		assert.Equal(t, d[0].Reason, wasabistand.ReasonQueueFull)
		assert.Assert(t, d[0].RetryAfter > last, "%s at %d", d[0].RetryAfter, length)
		last = d[0].RetryAfter
	}
	assert.Equal(t, last, 5*time.Second)
}

// Guards against reusing a slot before the preempted call has ended, and
// against preempting more calls than needed.
func TestPreemption(t *testing.T) {
	q := newQueue(wasabiadmission.NewOptions().WithLimit(3).WithPreempt(true), 100*ms)
	for n := 1; n <= 3; n++ {
		c := ticket(n, wasabistand.Low, longTimeout)
		c.Cancellable = n != 3
		q.Offer(start.Add(time.Duration(n)*ms), c)
	}
	now := start.Add(10 * ms)
	d := q.Offer(now, ticket(4, wasabistand.Critical, 120*ms))
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].ID, wasabistand.TicketID(2), "the call that lost the least work")
	assert.Equal(t, d[0].Verdict, wasabistand.Preempt)
	assert.Equal(t, q.Load().Running, 3)
	d = q.Cancel(now.Add(ms), 2)
	assert.Equal(t, d[0].ID, wasabistand.TicketID(4))
	assert.Equal(t, d[0].Verdict, wasabistand.Admit)
	// A call whose deadline allows for the wait preempts nothing.
	assert.Equal(t, len(q.Offer(now.Add(ms), ticket(5, wasabistand.Critical, longTimeout))), 0)
}

// Guards against a level that falls while preemption still frees slots, which
// would admit calls only to preempt them.
func TestPreemptionHoldsLevel(t *testing.T) {
	q := newQueue(wasabiadmission.NewOptions().WithLimit(2).WithQueueLimit(1).WithPreempt(true), 100*ms)
	for id := 1; id <= 2; id++ {
		c := ticket(id, wasabistand.Low, longTimeout)
		c.Cancellable = id == 1
		q.Offer(start, c)
	}
	q.Offer(start, ticket(3, wasabistand.High, longTimeout))
	assert.Equal(t, q.Offer(start, ticket(4, wasabistand.High, longTimeout))[0].Reason, wasabistand.ReasonQueueFull)
	q.Cancel(start, 3)
	now := start.Add(110 * ms)
	assert.Equal(t, q.Offer(now, ticket(5, wasabistand.Critical, 230*ms))[0].Verdict, wasabistand.Preempt)
	q.Cancel(now, 1)
	q.Tick(now.Add(199 * ms))
	assert.Equal(t, q.Load().Level, wasabistand.High)
	q.Tick(now.Add(200 * ms))
	assert.Equal(t, q.Load().Level, wasabistand.Normal)
}

// completion is the scheduled end of a running call.
type completion struct {
	at      time.Time
	id      wasabistand.TicketID
	service time.Duration
}

// loadModel offers calls at a multiple of the capacity and counts the served
// calls per importance and the level changes.
type loadModel struct {
	q               *wasabiadmission.Queue
	random          *rand.Rand
	now             time.Time
	completions     []completion
	calls           []wasabistand.Importance
	offered, served [5]int
	// service and timeout are per importance.
	service, timeout   [5]time.Duration
	changes, preempted int
	level              wasabistand.Importance
}

func (o *loadModel) apply(list []wasabistand.Decision) {
	for _, d := range list {
		switch d.Verdict {
		case wasabistand.Admit:
			o.served[o.calls[d.ID]]++
			service := time.Duration(o.random.ExpFloat64() * float64(o.service[o.calls[d.ID]]))
			o.completions = append(o.completions, completion{at: o.now.Add(service), id: d.ID, service: service})
		case wasabistand.Preempt:
			o.preempted++
			o.served[o.calls[d.ID]]--
			n := slices.IndexFunc(o.completions, func(e completion) bool { return e.id == d.ID })
			o.completions[n].at = o.now.Add(ms)
		}
	}
	// Latest first, so that the next completion is the last entry.
	slices.SortFunc(o.completions, func(a, b completion) int { return b.at.Compare(a.at) })
	if l := o.q.Load().Level; l != o.level {
		o.level = l
		o.changes++
	}
}

// run offers calls for d at the given rate per second and importance.
func (o *loadModel) run(d time.Duration, rate [5]float64) {
	total := rate[1] + rate[2] + rate[3] + rate[4]
	until := o.now.Add(d)
	for arrival := o.now; arrival.Before(until); {
		arrival = arrival.Add(time.Duration(o.random.ExpFloat64() / total * float64(time.Second)))
		for n := len(o.completions) - 1; n >= 0 && o.completions[n].at.Before(arrival); n = len(o.completions) - 1 {
			e := o.completions[n]
			o.completions, o.now = o.completions[:n], e.at
			o.apply(o.q.Done(o.now, e.id, e.service))
		}
		for next := o.q.NextTick(); !next.IsZero() && next.Before(arrival); next = o.q.NextTick() {
			o.now = next
			o.apply(o.q.Tick(o.now))
		}
		o.now = arrival
		draw, i := o.random.Float64()*total, wasabistand.Low
		for ; draw > rate[i] && i < wasabistand.Critical; i++ {
			draw -= rate[i]
		}
		c := ticket(len(o.calls), i, o.now.Sub(start)+o.timeout[i])
		c.Cancellable = true
		o.calls = append(o.calls, i)
		o.offered[i]++
		o.apply(o.q.Offer(o.now, c))
	}
}

// Guards against a level that oscillates under steady overload, against calls
// of high importance being refused in favour of lower ones, and against a
// level that stays raised after the load ends.
func TestLevelDoesNotOscillate(t *testing.T) {
	// 20 slots of 20 ms run 1000 calls a second.
	cases := []struct {
		name string
		rate [5]float64
	}{
		{"twice the capacity, half Low", [5]float64{0, 1000, 600, 300, 100}},
		{"ten times the capacity, mostly Low", [5]float64{0, 9000, 500, 300, 100}},
		{"High and Critical alone exceed the capacity", [5]float64{0, 500, 500, 1200, 300}},
		{"slightly above the capacity", [5]float64{0, 500, 300, 200, 50}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &loadModel{
				q:      newQueue(wasabiadmission.NewOptions().WithLimit(20).WithQueueLimit(40), 20*ms),
				random: rand.New(rand.NewPCG(1, 2)), now: start, level: wasabistand.Low,
				calls:   make([]wasabistand.Importance, 1),
				service: [5]time.Duration{0, 20 * ms, 20 * ms, 20 * ms, 20 * ms}, timeout: [5]time.Duration{0, 500 * ms, 500 * ms, 500 * ms, 500 * ms},
			}
			o.run(10*time.Second, c.rate)
			t.Logf("offered %v served %v, %d level changes in 10 s", o.offered, o.served, o.changes)
			// A level that oscillates with its hold time of 200 ms changes 50
			// times.
			assert.Assert(t, o.changes <= 20)
			above := 0.0
			for i := wasabistand.Critical; i >= wasabistand.Low; i-- {
				above += c.rate[i]
				if above <= 950 {
					assert.Assert(t, float64(o.served[i]) >= 0.99*float64(o.offered[i]), "%s", i)
				}
			}
			served := o.served[1] + o.served[2] + o.served[3] + o.served[4]
			assert.Assert(t, float64(served) >= 0.95*10*min(1000, above), "goodput %d in 10 s", served)
			// Under light load the level must return to Low within a second.
			o.run(time.Second, [5]float64{0, 10, 10, 10, 10})
			assert.Equal(t, o.level, wasabistand.Low)
		})
	}
}

// Guards against a level that drops to Low at once when a queue that was full
// of calls of high importance for a long time becomes empty.
func TestLevelFallsByOneStepAfterLongQueue(t *testing.T) {
	q := newQueue(wasabiadmission.NewOptions().WithLimit(1).WithQueueLimit(1), 20*ms)
	for id := 1; id <= 3; id++ {
		q.Offer(start, ticket(id, wasabistand.Critical, longTimeout))
	}
	assert.Equal(t, q.Load().Level, wasabistand.Critical)
	now := start.Add(5 * time.Second)
	assert.Equal(t, q.Done(now, 1, 20*ms)[0].ID, wasabistand.TicketID(2))
	assert.Equal(t, q.Load().Level, wasabistand.Critical)
	for _, want := range []wasabistand.Importance{wasabistand.High, wasabistand.Normal, wasabistand.Low} {
		now = q.NextTick()
		q.Tick(now)
		assert.Equal(t, q.Load().Level, want)
	}
	assert.Equal(t, now, start.Add(5*time.Second+400*ms))
}

// Guards against refusing short calls of high importance although preemption
// is on, when long calls of lower importance hold all slots.
func TestPreemptionAmongLongCalls(t *testing.T) {
	for _, preempt := range []bool{false, true} {
		o := &loadModel{
			q:      wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(20).WithQueueLimit(40).WithPreempt(preempt)),
			random: rand.New(rand.NewPCG(1, 2)), now: start, level: wasabistand.Low,
			calls:   make([]wasabistand.Importance, 1),
			service: [5]time.Duration{1: 300 * ms, 3: 10 * ms},
			timeout: [5]time.Duration{1: 2 * time.Second, 3: 60 * ms},
		}
		o.run(20*time.Second, [5]float64{1: 200, 3: 500})
		t.Logf("preempt %t: offered %v served %v, %d preempted, %d level changes in 20 s",
			preempt, o.offered, o.served, o.preempted, o.changes)
		assert.Equal(t, o.preempted > 0, preempt)
		if preempt {
			assert.Assert(t, float64(o.served[3]) >= 0.99*float64(o.offered[3]))
		}
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("full/callers=%d", callers), func(b *testing.B) {
			q := wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(64).WithQueueLimit(128))
			names := make([]string, callers)
			for n := range names {
				names[n] = fmt.Sprint("caller-", n)
			}
			// Every second offer completes a call, in the order of admission.
			running := make(chan wasabistand.TicketID, 128)
			now := start
			record := func(list []wasabistand.Decision) {
				for _, d := range list {
					if d.Verdict == wasabistand.Admit {
						running <- d.ID
					}
				}
			}
			b.ReportAllocs()
			for id := 1; b.Loop(); id++ {
				now = now.Add(10 * time.Microsecond)
				c := ticket(id, wasabistand.Importance(1+id%4), now.Sub(start)+time.Second)
				c.Caller = names[id%callers]
				record(q.Offer(now, c))
				if id%2 == 0 {
					record(q.Done(now, <-running, 5*ms))
				}
			}
		})
	}
}
