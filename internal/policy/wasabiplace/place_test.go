package wasabiplace_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"

	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
)

var here = wasabistand.Location{Region: "r1", FailureDomain: "a"}

func instance(id, region, domain string, slots int) wasabistand.Instance {
	return wasabistand.Instance{ID: id, Incarnation: 1, Service: "s", Location: wasabistand.Location{Region: region, FailureDomain: domain}, Slots: slots, State: wasabistand.Ready}
}

func placer(list ...wasabistand.Instance) *wasabiplace.Placer {
	p := wasabiplace.New(wasabiplace.NewOptions(), here, rand.New(rand.NewPCG(1, 2)))
	p.SetInstances("s", list)
	return p
}

func pick(t *testing.T, p *wasabiplace.Placer, now time.Time, q wasabiplace.Query) string {
	t.Helper()
	q.Service = "s"
	c, err := p.Pick(now, q)
	assert.NilError(t, err)
	return c.Instance.ID
}

// countPicks places n requests that end immediately and counts them by instance.
func countPicks(t *testing.T, p *wasabiplace.Placer, now time.Time, n int, q wasabiplace.Query, result func(id string) wasabiplace.Result) map[string]int {
	t.Helper()
	count := map[string]int{}
	for range n {
		id := pick(t, p, now, q)
		count[id]++
		r := result(id)
		r.Kind = q.Kind
		p.Done(now, "s", id, r)
		now = now.Add(10 * time.Millisecond)
	}
	return count
}

func answered(took time.Duration) func(string) wasabiplace.Result {
	return func(string) wasabiplace.Result { return wasabiplace.Result{ServiceTime: took} }
}

// Guards against traffic that leaves the failure domain although the local instance
// has capacity.
func TestLocalInstancePreferredWhileItHasCapacity(t *testing.T) {
	p := placer(instance("near", "r1", "a", 10), instance("beside", "r1", "b", 10), instance("far", "r2", "c", 10))
	count := countPicks(t, p, time.Unix(1000, 0), 200, wasabiplace.Query{Kind: "k"}, answered(20*time.Millisecond))
	assert.DeepEqual(t, count, map[string]int{"near": 200})
}

// Guards against traffic that leaves the failure domain for a difference in service
// time that callers do not notice: instances of one service differ by a factor of
// three.
func TestModeratelySlowerLocalInstanceKeepsItsTraffic(t *testing.T) {
	p := placer(instance("near", "r1", "a", 10), instance("beside", "r1", "b", 10))
	now := time.Unix(1000, 0)
	// Measure the service time of each instance first.
	for _, id := range []string{"near", "beside", "near", "beside", "near", "beside"} {
		other := "near"
		if id == "near" {
			other = "beside"
		}
		assert.Equal(t, pick(t, p, now, wasabiplace.Query{Kind: "k", Exclude: []string{other}}), id)
		p.Done(now, "s", id, wasabiplace.Result{Kind: "k", ServiceTime: map[string]time.Duration{"near": 144 * time.Millisecond, "beside": 48 * time.Millisecond}[id]})
	}
	count := countPicks(t, p, now, 100, wasabiplace.Query{Kind: "k"}, func(id string) wasabiplace.Result {
		return wasabiplace.Result{ServiceTime: map[string]time.Duration{"near": 144 * time.Millisecond, "beside": 48 * time.Millisecond}[id]}
	})
	assert.DeepEqual(t, count, map[string]int{"near": 100})
}

// Guards against an instance that fails some of its requests and keeps its traffic,
// and against one that never gets traffic again after it recovered.
func TestFailingInstanceIsAvoidedAndRetriedLater(t *testing.T) {
	p := placer(instance("near", "r1", "a", 10), instance("far", "r2", "c", 10))
	now := time.Unix(1000, 0)
	n := 0
	count := countPicks(t, p, now, 500, wasabiplace.Query{Kind: "k"}, func(id string) wasabiplace.Result {
		n++
		return wasabiplace.Result{Failed: id == "near" && n%3 == 0, ServiceTime: 20 * time.Millisecond}
	})
	assert.Assert(t, count["near"] < 100, "%v", count)
	count = countPicks(t, p, now.Add(time.Minute), 200, wasabiplace.Query{Kind: "k"}, answered(20*time.Millisecond))
	assert.Assert(t, count["near"] > 150, "%v", count)
}

// Guards against overloading the few instances that never fail while the retry budget
// has room for retrying the requests that fail at the others.
func TestFailurePenaltyIsLowWhileRetryBudgetRemains(t *testing.T) {
	now := time.Unix(1000, 0)
	lossyPicks := func(budgetShare float64) int {
		p := placer(instance("good", "r1", "a", 12), instance("lossy", "r1", "b", 12))
		for n := range 60 {
			id := pick(t, p, now, wasabiplace.Query{Kind: "k", RetryBudgetShare: budgetShare})
			p.Done(now, "s", id, wasabiplace.Result{Kind: "k", ServiceTime: 20 * time.Millisecond, Failed: id == "lossy" && n%3 == 0})
		}
		count := 0
		overloaded := &wasabistand.Load{Running: 12, Waiting: 40, Limit: 12, ServiceTime: 20 * time.Millisecond}
		p.Done(now, "s", "good", wasabiplace.Result{Kind: "k", ServiceTime: 20 * time.Millisecond, Load: overloaded})
		p.Done(now, "s", "lossy", wasabiplace.Result{Kind: "k", Failed: true})
		for range 40 {
			if pick(t, p, now, wasabiplace.Query{Kind: "k", RetryBudgetShare: budgetShare}) == "lossy" {
				count++
			}
		}
		return count
	}
	assert.Assert(t, lossyPicks(1) >= 20, "%d of 40", lossyPicks(1))
	assert.Equal(t, lossyPicks(0), 0)
}

// Guards against a slow instance that keeps its traffic because it is in the same
// failure domain, and against one that is never tried again.
func TestSlowInstanceIsAvoidedAndRetriedLater(t *testing.T) {
	p := placer(instance("near", "r1", "a", 10), instance("beside", "r1", "b", 10))
	now := time.Unix(1000, 0)
	slow := func(id string) wasabiplace.Result {
		if id == "near" {
			return wasabiplace.Result{ServiceTime: 800 * time.Millisecond}
		}
		return wasabiplace.Result{ServiceTime: 80 * time.Millisecond}
	}
	countPicks(t, p, now, 20, wasabiplace.Query{Kind: "k"}, answered(80*time.Millisecond))
	count := countPicks(t, p, now.Add(time.Second), 500, wasabiplace.Query{Kind: "k"}, slow)
	assert.Assert(t, count["near"] < 50, "%v", count)
	count = countPicks(t, p, now.Add(time.Minute), 200, wasabiplace.Query{Kind: "k"}, answered(80*time.Millisecond))
	assert.Assert(t, count["near"] > 100, "%v", count)
}

// Guards against long requests that stay at an overloaded instance and delay the
// short ones, for which the round trip to another region is too long.
func TestLongRequestsLeaveOverloadedInstance(t *testing.T) {
	p := placer(instance("near", "r1", "a", 12), instance("far", "r2", "c", 12))
	now := time.Unix(1000, 0)
	overloaded := &wasabistand.Load{Running: 12, Waiting: 8, Limit: 12, ServiceTime: 20 * time.Millisecond}
	for range 30 {
		id := pick(t, p, now, wasabiplace.Query{Kind: "long"})
		p.Done(now, "s", id, wasabiplace.Result{Kind: "long", ServiceTime: 360 * time.Millisecond})
		id = pick(t, p, now, wasabiplace.Query{Kind: "short"})
		p.Done(now, "s", id, wasabiplace.Result{Kind: "short", ServiceTime: 20 * time.Millisecond, Load: overloaded})
	}
	assert.Equal(t, pick(t, p, now, wasabiplace.Query{Kind: "long"}), "far")
	assert.Equal(t, pick(t, p, now, wasabiplace.Query{Kind: "short"}), "near")
}

// Guards against choosing an instance that is leaving, was tried or does not exist,
// against choosing an unreachable one while another is available, and against counts
// that drift.
func TestPickChoosesOnlyAllowedInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []wasabistand.Instance
		unreachable, allowed := map[string]bool{}, map[string]bool{}
		now := time.Unix(1000, 0)
		for n := range rapid.IntRange(0, 30).Draw(t, "instances") {
			i := instance(fmt.Sprint(n), rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "region"), "a", rapid.IntRange(1, 5).Draw(t, "slots"))
			i.State = rapid.SampledFrom([]wasabistand.InstanceState{wasabistand.Ready, wasabistand.Cold, wasabistand.Leaving}).Draw(t, "state")
			list = append(list, i)
			allowed[i.ID] = i.State != wasabistand.Leaving
		}
		p := placer(list...)
		var exclude []string
		for _, i := range list {
			id := i.ID
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				exclude = append(exclude, id)
				allowed[id] = false
			case 1:
				unreachable[id] = true
			}
		}
		for id := range unreachable {
			if allowed[id] {
				p.Done(now, "s", id, wasabiplace.Result{Unreachable: true, Failed: true})
			}
		}
		reachable := false
		for id, ok := range allowed {
			reachable = reachable || ok && !unreachable[id]
		}
		c, err := p.Pick(now, wasabiplace.Query{Service: "s", Exclude: exclude})
		if err != nil {
			var r *wasabistand.Refusal
			assert.Assert(t, errors.As(err, &r))
			assert.Equal(t, r.Outcome, wasabistand.NotRun)
			for id, ok := range allowed {
				assert.Assert(t, !ok, "%s was allowed", id)
			}
			return
		}
		assert.Assert(t, allowed[c.Instance.ID])
		if reachable && len(list) <= 16 {
			assert.Assert(t, !unreachable[c.Instance.ID])
		}
	})
}
