package wasabiroute_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiroute"
)

var (
	start          = time.Unix(1_700_000_000, 0)
	callerLocation = wasabistand.Location{Region: "lagos", FailureDomain: "lagos-1"}
	links          = []wasabistand.RegionLink{
		{A: "lagos", B: "harcourt", RoundTrip: 40 * time.Millisecond, BytesPerSecond: 500e6},
		{A: "lagos", B: "abuja", RoundTrip: 40 * time.Millisecond, BytesPerSecond: 500e6},
	}
)

// instances returns n instances in three regions with two failure domains each.
func instances(service string, n int) []wasabistand.Instance {
	var list []wasabistand.Instance
	for k := range n {
		region := []string{"lagos", "harcourt", "abuja"}[k%3]
		list = append(list, wasabistand.Instance{
			ID: fmt.Sprintf("%s-%d", service, k), Incarnation: 1, Service: service, Slots: 10,
			State:    wasabistand.Ready,
			Location: wasabistand.Location{Region: region, FailureDomain: fmt.Sprintf("%s-%d", region, 1+k/3%2)},
		})
	}
	return list
}

func newRouter(o wasabiroute.Options) *wasabiroute.Router {
	return wasabiroute.New(rand.New(rand.NewPCG(1, 2)), o)
}

func query(exclude ...string) wasabistand.Query {
	return wasabistand.Query{
		Service: "archive", Importance: wasabistand.Normal, From: callerLocation,
		Remaining: time.Second, Bytes: 1000, Exclude: exclude,
	}
}

var answered = wasabistand.Result{Outcome: wasabistand.Answered, Bytes: 1000}

func ExampleRouter() {
	r := newRouter(wasabiroute.NewOptions().WithRegionLinks(links))
	r.SetInstances(start, "archive", instances("archive", 6))
	near, _ := r.Pick(start, query())
	next, _ := r.Pick(start, query(near.ID))
	far, _ := r.Pick(start, query(near.ID, next.ID))
	fmt.Println(near.Location.FailureDomain, next.Location.FailureDomain, far.Location.Region != "lagos")
	// Output: lagos-1 lagos-2 true
}

// Guards against calls to an instance that is leaving, is drained or was already
// tried, against calls to a region whose round trip exceeds the remaining time, and
// against more ejections than the bound.
func TestPickNeverChoosesIneligibleInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRouter(wasabiroute.NewOptions().WithRegionLinks(links))
		now, list := start, instances("archive", rapid.IntRange(1, 14).Draw(t, "instances"))
		r.SetInstances(now, "archive", list)
		var outstanding []string
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, len(list)-1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				list[k].State = wasabistand.InstanceState(rapid.IntRange(1, 3).Draw(t, "state"))
				list[k].Drained = rapid.IntRange(0, 3).Draw(t, "drained") == 0
				list[k].Sequence++
				r.SetInstances(now, "archive", list)
			case 1:
				list[k].Incarnation++
				r.SetInstances(now, "archive", list)
			case 2, 3, 4, 5:
				q := query(list[k].ID)
				q.Remaining = time.Duration(rapid.IntRange(0, 200).Draw(t, "remaining")) * time.Millisecond
				i, err := r.Pick(now, q)
				if err != nil {
					var refusal *wasabistand.Refusal
					assert.Assert(t, errors.As(err, &refusal) && refusal.Outcome == wasabistand.NotRun)
					for _, j := range list {
						assert.Assert(t, j.ID == list[k].ID || !j.AcceptsCalls() || j.Location.Region != "lagos",
							"%s accepts calls in the caller's region", j.ID)
					}
					continue
				}
				n := slices.IndexFunc(list, func(j wasabistand.Instance) bool { return j.ID == i.ID })
				assert.Assert(t, i.ID != list[k].ID && list[n].AcceptsCalls())
				assert.Assert(t, i.Location.Region == "lagos" || q.Remaining >= 80*time.Millisecond)
				outstanding = append(outstanding, i.ID)
			default:
				if len(outstanding) > 0 {
					n := rapid.IntRange(0, len(outstanding)-1).Draw(t, "done")
					r.Done(now, "archive", outstanding[n], wasabistand.Result{
						Outcome: wasabistand.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
						Failed:  rapid.Bool().Draw(t, "failed"),
						Bytes:   rapid.Int64Range(-1, 1e6).Draw(t, "bytes"),
					})
					outstanding = slices.Delete(outstanding, n, n+1)
				}
			}
			working := 0
			for _, i := range list {
				if i.AcceptsCalls() {
					working++
				}
			}
			assert.Assert(t, len(r.Ejected(now, "archive"))*10 <= working*3)
		}
	})
}

// sendCalls sends calls one after another and counts them by instance. fails
// reports whether an instance fails its calls.
func sendCalls(r *wasabiroute.Router, from time.Time, calls int, fails func(id string) bool) map[string]int {
	got := map[string]int{}
	for n := range calls {
		now := from.Add(time.Duration(n) * time.Millisecond)
		i, err := r.Pick(now, query())
		if err != nil {
			continue
		}
		got[i.ID]++
		if fails(i.ID) {
			r.Done(now, "archive", i.ID, wasabistand.Result{Failed: true})
		} else {
			r.Done(now, "archive", i.ID, answered)
		}
	}
	return got
}

// localInstances returns n instances in the caller's region and failure domain.
func localInstances(n int) []wasabistand.Instance {
	list := instances("archive", n)
	for k := range list {
		list[k].Location = callerLocation
	}
	return list
}

func noneFail(string) bool { return false }

// Guards against a dead instance that keeps its share of the calls, and against an
// ejection that never ends after the instance recovered.
func TestDeadInstanceIsEjectedAndReturns(t *testing.T) {
	r := newRouter(wasabiroute.NewOptions())
	r.SetInstances(start, "archive", localInstances(10))
	dead := func(id string) bool { return id == "archive-4" }
	got := sendCalls(r, start, 10_000, dead)
	// Five failures, then one after each ejection of 1, 2 and 4 s.
	assert.Assert(t, got["archive-4"] <= 5+4, "%d calls to the dead instance", got["archive-4"])
	got = sendCalls(r, start.Add(30*time.Second), 2000, noneFail)
	assert.Assert(t, got["archive-4"] >= 100, "%d calls after its return", got["archive-4"])
}

// Guards against ejecting healthy instances when the caller's own link fails, and
// against failing instances that keep their traffic when the bound on ejections is
// reached.
func TestEjectionBounds(t *testing.T) {
	r := newRouter(wasabiroute.NewOptions())
	r.SetInstances(start, "archive", localInstances(10))
	sendCalls(r, start, 500, noneFail)
	got := sendCalls(r, start.Add(time.Second), 2000, func(string) bool { return true })
	assert.Equal(t, len(r.Ejected(start.Add(3*time.Second), "archive")), 0)
	assert.Equal(t, len(got), 10)

	// Half of the instances fail: three are ejected, and the other two fail less
	// than a twentieth of the calls.
	r = newRouter(wasabiroute.NewOptions())
	r.SetInstances(start, "archive", localInstances(10))
	bad := func(id string) bool { return id < "archive-5" }
	got = sendCalls(r, start, 10_000, bad)
	failed := 0
	for id, n := range got {
		if bad(id) {
			failed += n
		}
	}
	assert.Assert(t, len(r.Ejected(start.Add(9*time.Second), "archive")) <= 3)
	assert.Assert(t, failed < 500, "%d of 10000 failed", failed)

	// One of ten fails every second call, never two consecutive ones: it is
	// ejected for its failure rate.
	r = newRouter(wasabiroute.NewOptions())
	r.SetInstances(start, "archive", localInstances(10))
	n := 0
	got = sendCalls(r, start, 10_000, func(id string) bool {
		if id == "archive-7" {
			n++
		}
		return id == "archive-7" && n%2 == 0
	})
	assert.Assert(t, got["archive-7"] < 100, "%d calls to an instance that fails half of them", got["archive-7"])
}

// Guards against sending calls to an instance immediately after it refused one for
// load, against ejecting it for that, and against avoiding it for calls of higher
// importance.
func TestRefusingInstanceIsAvoidedBriefly(t *testing.T) {
	r := newRouter(wasabiroute.NewOptions())
	r.SetInstances(start, "archive", localInstances(2))
	i, err := r.Pick(start, query())
	assert.NilError(t, err)
	r.Done(start, "archive", i.ID, wasabistand.Result{
		Outcome: wasabistand.NotRun, Load: &wasabistand.Load{Level: wasabistand.Normal},
	})
	assert.Equal(t, sendCalls(r, start, 90, noneFail)[i.ID], 0)
	assert.Equal(t, len(r.Ejected(start, "archive")), 0)
	high := query()
	high.Importance = wasabistand.High
	seen := false
	for range 20 {
		j, err := r.Pick(start, high)
		assert.NilError(t, err)
		seen = seen || j.ID == i.ID
		r.Done(start, "archive", j.ID, wasabistand.Result{})
	}
	assert.Assert(t, seen)
	assert.Assert(t, sendCalls(r, start.Add(100*time.Millisecond), 100, noneFail)[i.ID] > 20)
}

// Guards against calls to an instance that reported in a response that it is
// leaving, while control still lists it as ready.
func TestLeavingReportedByResponse(t *testing.T) {
	r := newRouter(wasabiroute.NewOptions())
	list := localInstances(2)
	r.SetInstances(start, "archive", list)
	i, err := r.Pick(start, query())
	assert.NilError(t, err)
	r.Done(start, "archive", i.ID, wasabistand.Result{Outcome: wasabistand.Answered, Load: &wasabistand.Load{Leaving: true}})
	r.SetInstances(start, "archive", list)
	assert.Equal(t, sendCalls(r, start, 100, noneFail)[i.ID], 0)
	// As the only instance it is tried: it refuses the call itself, or it has
	// recovered.
	r.SetInstances(start, "archive", []wasabistand.Instance{i})
	assert.Equal(t, sendCalls(r, start, 1, noneFail)[i.ID], 1)
	// Once control lists it as leaving, it gets no calls.
	r.SetInstances(start, "archive", []wasabistand.Instance{i.WithState(wasabistand.Leaving)})
	_, err = r.Pick(start, query())
	assert.ErrorContains(t, err, "no-instance")
}

// Guards against a cold instance that gets its full share immediately, or no calls.
func TestColdInstanceGetsGrowingShare(t *testing.T) {
	r := newRouter(wasabiroute.NewOptions().WithWarmup(30 * time.Second))
	list := localInstances(4)
	list[2] = list[2].WithState(wasabistand.Cold)
	r.SetInstances(start, "archive", list)
	last := 0
	for _, second := range []int{0, 10, 20, 30} {
		n := sendCalls(r, start.Add(time.Duration(second)*time.Second), 4000, noneFail)["archive-2"]
		t.Logf("after %d s: %d of 4000", second, n)
		assert.Assert(t, n > last)
		last = n
	}
	assert.Assert(t, last > 900)
}

// Guards against overdrawing the budget of a region link, and against calls of lower
// importance that leave no budget for those of higher importance.
func TestLinkBudget(t *testing.T) {
	r := newRouter(wasabiroute.NewOptions().WithRegionLinks([]wasabistand.RegionLink{
		{A: "lagos", B: "harcourt", RoundTrip: 40 * time.Millisecond, BytesPerSecond: 100_000},
	}))
	list := localInstances(1)
	list[0].Location = wasabistand.Location{Region: "harcourt", FailureDomain: "harcourt-1"}
	r.SetInstances(start, "archive", list)
	spent := func(i wasabistand.Importance, now time.Time) (n int) {
		q := query()
		q.Importance = i
		for range 200 {
			if _, err := r.Pick(now, q); err != nil {
				break
			}
			r.Done(now, "archive", "archive-0", answered)
			n++
		}
		return n
	}
	assert.Equal(t, spent(wasabistand.Low, start), 50)
	assert.Equal(t, spent(wasabistand.Critical, start), 50)
	assert.Equal(t, spent(wasabistand.Critical, start.Add(500*time.Millisecond)), 50)
}

// crossRegionBytes returns the bytes that cross regions for calls in flight
// concurrently, and those that a random choice would send.
func crossRegionBytes(r *wasabiroute.Router, list []wasabistand.Instance, inFlight, calls int) (routed, randomChoice int64) {
	random := rand.New(rand.NewPCG(3, 4))
	var flight []string
	for n := range calls {
		now := start.Add(time.Duration(n) * 100 * time.Microsecond)
		if i, err := r.Pick(now, query()); err == nil {
			flight = append(flight, i.ID)
			if i.Location.Region != callerLocation.Region {
				routed += 1000
			}
		}
		if list[random.IntN(len(list))].Location.Region != callerLocation.Region {
			randomChoice += 1000
		}
		if len(flight) > inFlight {
			r.Done(now, "archive", flight[0], answered)
			flight = flight[1:]
		}
	}
	return routed, randomChoice
}

// Guards against paid traffic between regions while the caller's region has capacity.
func TestCrossRegionBytes(t *testing.T) {
	list := instances("archive", 14)
	for _, inFlight := range []int{10, 30, 45} {
		r := newRouter(wasabiroute.NewOptions().WithRegionLinks(links))
		r.SetInstances(start, "archive", list)
		routed, randomChoice := crossRegionBytes(r, list, inFlight, 20_000)
		t.Logf("%d in flight, 50 slots in the region: %d bytes, random choice %d", inFlight, routed, randomChoice)
		assert.Assert(t, routed*5 <= randomChoice)
	}
}

func BenchmarkPick(b *testing.B) {
	r := newRouter(wasabiroute.NewOptions().WithRegionLinks(links))
	var names [170]string
	for n := range names {
		names[n] = fmt.Sprint("service-", n)
		r.SetInstances(start, names[n], instances(names[n], 14))
	}
	for _, remote := range []bool{false, true} {
		b.Run(fmt.Sprintf("remote=%t", remote), func(b *testing.B) {
			b.ReportAllocs()
			q, now, n := query(), start, 0
			if remote {
				for k := 0; k < 14; k += 3 {
					q.Exclude = append(q.Exclude, fmt.Sprint("service-0-", k))
				}
			}
			for b.Loop() {
				now = now.Add(5 * time.Microsecond)
				q.Service = names[n%len(names)]
				if remote {
					q.Service = names[0]
				}
				n++
				i, err := r.Pick(now, q)
				if err != nil {
					b.Fatal(err)
				}
				r.Done(now, q.Service, i.ID, answered)
			}
		})
	}
}
