package wasabievent_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabievent"
)

func ExampleMerge() {
	at := func(wall int64) func() time.Time { return func() time.Time { return time.Unix(0, wall) } }
	behind, ahead := wasabievent.NewClock(at(100)), wasabievent.NewClock(at(200))
	a, b := wasabievent.NewRing("a", 8, ahead), wasabievent.NewRing("b", 8, behind)
	a.Record(wasabistand.Event{Kind: wasabistand.EventCallAdmitted})
	behind.Observe(ahead.Now()) // A message from a to b carries the time.
	b.Record(wasabistand.Event{Kind: wasabistand.EventCallAnswered})
	first, _ := a.List(wasabievent.Filter{})
	second, _ := b.List(wasabievent.Filter{})
	for _, e := range wasabievent.Merge(second, first) {
		fmt.Println(e.Instance, e.Kind)
	}
	// Output:
	// a call.admitted
	// b call.answered
}

// Guards against merging an effect before its cause when the clocks of processes
// differ by seconds.
func TestMergePreservesCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := int64(time.Hour)
		const processes = 4
		clocks := make([]*wasabievent.Clock, processes)
		rings := make([]*wasabievent.Ring, processes)
		for i := range clocks {
			skew := rapid.Int64Range(-4e9, 4e9).Draw(t, "skew")
			clocks[i] = wasabievent.NewClock(func() time.Time { return time.Unix(0, wall+skew) })
			rings[i] = wasabievent.NewRing(fmt.Sprint(i), 1000, clocks[i])
		}
		at := 0
		steps := rapid.IntRange(1, 50).Draw(t, "steps")
		for n := range steps {
			wall += rapid.Int64Range(0, 1e9).Draw(t, "elapsed")
			rings[at].Record(wasabistand.Event{RequestID: fmt.Sprint(n)})
			to := rapid.IntRange(0, processes-1).Draw(t, "to")
			clocks[to].Observe(clocks[at].Now())
			at = to
		}
		var lists [][]wasabistand.Event
		for _, r := range rings {
			l, _ := r.List(wasabievent.Filter{})
			lists = append(lists, l)
		}
		for n, e := range wasabievent.Merge(lists...) {
			assert.Equal(t, e.RequestID, fmt.Sprint(n))
		}
	})
}

// Guards against unbounded memory use and against a wrong count of dropped
// events.
func TestRingKeepsLatestEvents(t *testing.T) {
	r := wasabievent.NewRing("a", 3, wasabievent.NewClock(time.Now))
	for n := range 10 {
		r.Record(wasabistand.Event{RequestID: fmt.Sprint(n)})
	}
	list, dropped := r.List(wasabievent.Filter{Limit: 2})
	assert.Equal(t, dropped, uint64(7))
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].RequestID, "8")
	assert.Equal(t, list[1].RequestID, "9")
}

// Guards against one process with a fast clock advancing the clocks of all
// others.
func TestClockIgnoresTimesBeyondMaxSkew(t *testing.T) {
	now := time.Unix(1000, 0)
	c := wasabievent.NewClock(func() time.Time { return now })
	c.Observe(wasabistand.HybridTime{WallUnixNano: now.Add(time.Hour).UnixNano()})
	assert.Equal(t, c.Now().Time().UnixNano(), now.UnixNano())
}

// Guards against an age that is too low because the wall clock was set back, or because
// the monotonic clock stopped.
func TestElapsedIsNeverTooLow(t *testing.T) {
	since := time.Now()
	later := since.Add(time.Minute)
	assert.Equal(t, wasabievent.Elapsed(later, since), time.Minute)
	// Times without a reading of the monotonic clock: the wall clock was set back.
	assert.Equal(t, wasabievent.Elapsed(since.Round(0), later.Round(0)), -time.Minute)
	assert.Equal(t, wasabievent.Elapsed(later.Round(0), since), time.Minute)
}
