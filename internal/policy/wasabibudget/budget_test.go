package wasabibudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"

	"github.com/wasabistand/wasabistand/internal/policy/wasabibudget"
)

type event struct {
	at    time.Duration
	retry bool
}

// Guards against any window, at any position, in which all nodes together retry
// more than the service's bound. Some nodes restart and lose their counts.
func TestBudgetHoldsOverNodesAndWindows(t *testing.T) {
	const (
		window = 10 * time.Second
		ratio  = 0.2
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 24).Draw(t, "nodes")
		budgets := make([]*wasabibudget.Budget, nodes)
		restart := func(i int) { budgets[i] = wasabibudget.New(wasabibudget.NewOptions(window, ratio)) }
		for i := range budgets {
			restart(i)
		}
		start := time.Unix(1_000_000, 0)
		var list []event
		restarts := 0
		at := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				if restarts < 20 {
					restarts++
					restart(i)
				}
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
				budgets[i].RecordRequest(start.Add(at), "s")
				list = append(list, event{at, false})
			default:
				if budgets[i].TakeRetry(start.Add(at), "s") {
					list = append(list, event{at, true})
				}
			}
		}
		for _, first := range list {
			requests, retries := 0, 0
			for _, e := range list {
				if e.at < first.at-window || e.at > first.at+window {
					continue
				}
				if !e.retry {
					requests++
				} else if e.at >= first.at && e.at < first.at+window {
					retries++
				}
			}
			assert.Assert(t, float64(retries) <= ratio*float64(requests)+float64(nodes+restarts), "%d retries of %d requests over %d nodes", retries, requests, nodes)
		}
	})
}

// Guards against a budget that stays within the bound by never allowing a retry.
func TestBudgetIsUsed(t *testing.T) {
	b := wasabibudget.New(wasabibudget.NewOptions(10*time.Second, 0.2))
	now := time.Unix(1000, 0)
	for range 100 {
		b.RecordRequest(now, "s")
	}
	n := 0
	for b.TakeRetry(now, "s") {
		n++
	}
	assert.Equal(t, n, 11)
	assert.Equal(t, b.RemainingRetries(now, "s"), 0)
	assert.Assert(t, b.TakeRetry(now.Add(11*time.Second), "s"))
}
