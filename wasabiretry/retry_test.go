package wasabiretry_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiretry"
)

var start = time.Unix(1_700_000_000, 0)

func ExampleRequestBudget() {
	entry := wasabiretry.NewRequestBudget(3)
	granted := entry.Split()
	downstream := wasabiretry.NewRequestBudget(granted)
	fmt.Println(granted, downstream.Take(), entry.Remaining())
	entry.Return(granted, downstream.Remaining())
	fmt.Println(entry.Remaining())
	// Output:
	// 2 true 1
	// 2
}

func ExampleBudget() {
	b := wasabiretry.NewBudget(wasabiretry.NewBudgetOptions().WithMinPerSecond(1))
	for range 20 {
		b.Attempt(start)
	}
	fmt.Println(b.Retry(start), b.Retry(start), b.Retry(start))
	// Output: true true false
}

// callNode is one call of a generated tree. Its faults are drawn in advance,
// so that they do not depend on the scheduling of goroutines.
type callNode struct {
	downstream []*callNode
	// faults holds one entry per attempt; the last one applies to all further
	// attempts.
	faults []fault
}

type fault struct{ failed, responseLost, misreports bool }

func drawTree(t *rapid.T, honest bool) *callNode {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	failing := rapid.Float64Range(0, 1).Draw(t, "failing")
	nodes := 0
	var grow func(left int) *callNode
	grow = func(left int) *callNode {
		nodes++
		c := &callNode{}
		for range 4 {
			c.faults = append(c.faults, fault{
				random.Float64() < failing, random.IntN(4) == 0, !honest && random.IntN(8) == 0,
			})
		}
		if left > 1 {
			c.downstream = append(c.downstream, grow(left-1))
			for nodes < 60 && random.IntN(2) == 0 {
				c.downstream = append(c.downstream, grow(1+random.IntN(left-1)))
			}
		}
		return c
	}
	return grow(rapid.IntRange(1, 23).Draw(t, "depth"))
}

// run makes the downstream calls of c with their retries and counts the
// retries.
func (c *callNode) run(a *wasabiretry.RequestBudget, retries *atomic.Int64) {
	var branches sync.WaitGroup
	for _, b := range c.downstream {
		branches.Go(func() {
			for attempt := 0; ; attempt++ {
				f := b.faults[min(attempt, len(b.faults)-1)]
				granted := a.Split()
				downstream := wasabiretry.NewRequestBudget(granted)
				b.run(downstream, retries)
				switch {
				case f.responseLost:
				case f.misreports:
					a.Return(granted+5, 1000)
				default:
					a.Return(granted, downstream.Remaining())
				}
				if !f.failed || !a.Take() {
					return
				}
				retries.Add(1)
			}
		})
	}
	branches.Wait()
}

// Guards against retries that multiply along a deep tree or across branches,
// even when responses are lost or return more tokens than were granted.
func TestTreeRetriesStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, 8).Draw(t, "tokens")
		honest := rapid.Bool().Draw(t, "honest")
		a := wasabiretry.NewRequestBudget(tokens)
		var retries atomic.Int64
		drawTree(t, honest).run(a, &retries)
		// A callee that misreports hides the retries made downstream of it,
		// but each budget still grants no more than it holds.
		assert.Assert(t, a.Remaining() <= tokens, "%d left of %d", a.Remaining(), tokens)
		assert.Assert(t, !honest || int(retries.Load())+a.Remaining() <= tokens,
			"%d retries and %d left of %d", retries.Load(), a.Remaining(), tokens)
	})
}

// Guards against a deep call chain whose leaf cannot retry at all.
func TestLeafAtDepth23GetsToken(t *testing.T) {
	n := 3
	for range 23 {
		n = wasabiretry.NewRequestBudget(n).Split()
	}
	assert.Equal(t, n, 1)
}

// Guards against tokens created by invalid values from peers.
func TestRequestBudgetRejectsFalseReturns(t *testing.T) {
	a := wasabiretry.NewRequestBudget(3)
	a.Return(5, 5)
	assert.Equal(t, a.Remaining(), 3)
	n := a.Split()
	a.Return(n, -4)
	assert.Equal(t, a.Remaining(), 1)
	a.Return(n, n)
	assert.Equal(t, a.Remaining(), 1)
	assert.Equal(t, wasabiretry.NewRequestBudget(-1).Remaining(), 0)
	assert.Equal(t, wasabiretry.NewRequestBudget(1<<40).Remaining(), wasabiretry.MaxTokens)
}

// Guards against a budget that allows more retries in a window than its share
// of first attempts or its minimum, whatever the arrival pattern.
func TestBudgetBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := wasabiretry.NewBudget(wasabiretry.NewBudgetOptions().WithMinPerSecond(2))
		var attempts, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 12).Draw(t, "gap")) * time.Millisecond
			if rapid.IntRange(0, 3).Draw(t, "retry") > 0 {
				b.Attempt(start.Add(now))
				attempts = append(attempts, now)
			} else if b.Retry(start.Add(now)) {
				retries = append(retries, now)
				// Ten buckets cover at least the last 0.9 s.
				made, first := since(retries, now-900*time.Millisecond), since(attempts, now-time.Second)
				assert.Assert(t, float64(made) <= max(2, float64(first)/10), "%d retries for %d attempts", made, first)
			}
		}
	})
}

// since returns the number of times after bound.
func since(times []time.Duration, bound time.Duration) (n int) {
	for _, at := range times {
		if at > bound {
			n++
		}
	}
	return n
}

// Guards against a clock step backwards that would free the budget.
func TestBudgetIgnoresStepBack(t *testing.T) {
	b := wasabiretry.NewBudget(wasabiretry.NewBudgetOptions())
	for range 10 {
		assert.Assert(t, b.Retry(start.Add(time.Minute)))
	}
	assert.Assert(t, !b.Retry(start))
	assert.Assert(t, !b.Retry(start.Add(time.Minute)))
	assert.Assert(t, b.Retry(start.Add(time.Hour)))
}

func BenchmarkRequestBudget(b *testing.B) {
	b.ReportAllocs()
	a := wasabiretry.NewRequestBudget(3)
	for b.Loop() {
		a.Return(a.Split(), 1)
		a.Remaining()
	}
}

func BenchmarkBudget(b *testing.B) {
	b.ReportAllocs()
	budget := wasabiretry.NewBudget(wasabiretry.NewBudgetOptions())
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		budget.Attempt(now)
		budget.Retry(now)
	}
}
