package wasabilevel_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabilevel"
)

var (
	start = time.Unix(1_700_000_000, 0)
	kind  = wasabistand.CallKind{Service: "archive", Call: "Browse"}
)

func ExampleTable() {
	t := wasabilevel.New(wasabilevel.NewOptions())
	t.Observe(start, kind, wasabistand.High)
	fmt.Println(t.Level(start, kind))
	fmt.Println(t.ShouldRefuse(start, kind, wasabistand.High))
	fmt.Println(t.ShouldRefuse(start, kind, wasabistand.Low), "(the probe)")
	fmt.Println(t.ShouldRefuse(start, kind, wasabistand.Low))
	// Output:
	// High
	// false
	// false (the probe)
	// true
}

// Guards against a level that never expires when no response arrives.
func TestLevelExpires(t *testing.T) {
	l := wasabilevel.New(wasabilevel.NewOptions())
	l.Observe(start, kind, wasabistand.Critical)
	assert.Equal(t, l.Level(start.Add(999*time.Millisecond), kind), wasabistand.Critical)
	assert.Equal(t, l.Level(start.Add(time.Second), kind), wasabistand.Low)
	assert.Assert(t, !l.ShouldRefuse(start.Add(time.Second), kind, wasabistand.Low))
}

// Guards against a kind that is refused forever, and against sending the
// downstream services more than one probe per interval.
func TestOneProbePerInterval(t *testing.T) {
	l := wasabilevel.New(wasabilevel.NewOptions())
	passed := 0
	for ms := range 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		l.Observe(now, kind, wasabistand.High)
		if !l.ShouldRefuse(now, kind, wasabistand.Normal) {
			passed++
		}
		assert.Assert(t, !l.ShouldRefuse(now, kind, wasabistand.High))
	}
	assert.Equal(t, passed, 10)
}

// Guards against one overloaded instance of 14 closing a whole service, and
// against a service that stays open although all its instances are overloaded.
func TestOneInstanceOfManyDoesNotDecide(t *testing.T) {
	l := wasabilevel.New(wasabilevel.NewOptions())
	refused := 0
	for n := range 10_000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		if l.ShouldRefuse(now, kind, wasabistand.Normal) {
			refused++
			continue
		}
		level := wasabistand.Low
		if n%14 == 0 {
			level = wasabistand.High
		}
		l.Observe(now, kind, level)
	}
	// The first response may set the level alone only until the second
	// arrives.
	assert.Assert(t, refused <= 200, "%d of 10000 refused", refused)

	for n := range 8 {
		l.Observe(start.Add(10*time.Second+time.Duration(n)*time.Millisecond), kind, wasabistand.High)
	}
	assert.Equal(t, l.Level(start.Add(10*time.Second+8*time.Millisecond), kind), wasabistand.High)
}

// Guards against memory that grows with the kinds that peers send, and against
// refusing a call when no response of its kind carried a higher level.
func TestAgainstOracle(t *testing.T) {
	const maxKinds = 8
	rapid.Check(t, func(t *rapid.T) {
		l := wasabilevel.New(wasabilevel.NewOptions().WithMaxKinds(maxKinds))
		now := start
		highest := map[wasabistand.CallKind]wasabistand.Importance{}
		last := map[wasabistand.CallKind]time.Time{}
		probe := map[wasabistand.CallKind]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			k := wasabistand.CallKind{Call: fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "kind"))}
			i := wasabistand.Importance(rapid.IntRange(1, 4).Draw(t, "importance"))
			if rapid.Bool().Draw(t, "learn") {
				l.Observe(now, k, i)
				highest[k] = max(highest[k], i)
				last[k] = now
			} else {
				level := l.Level(now, k)
				refused := l.ShouldRefuse(now, k, i)
				assert.Assert(t, !refused || level > i)
				assert.Assert(t, level <= max(highest[k], wasabistand.Low))
				if level > wasabistand.Low {
					assert.Assert(t, now.Sub(last[k]) < time.Second)
				}
				if level > i && !refused {
					assert.Assert(t, probe[k].IsZero() || now.Sub(probe[k]) >= 100*time.Millisecond ||
						l.Len() == maxKinds, "second probe after %s", now.Sub(probe[k]))
					probe[k] = now
				}
			}
			assert.Assert(t, l.Len() <= maxKinds)
		}
	})
}

func BenchmarkRefuse(b *testing.B) {
	b.ReportAllocs()
	l := wasabilevel.New(wasabilevel.NewOptions())
	var kinds [1024]wasabistand.CallKind
	for n := range kinds {
		kinds[n] = wasabistand.CallKind{Service: fmt.Sprint("service-", n%170), Call: fmt.Sprint(n)}
		l.Observe(start, kinds[n], wasabistand.High)
	}
	n := 0
	for b.Loop() {
		l.ShouldRefuse(start, kinds[n%len(kinds)], wasabistand.Low)
		n++
	}
}
