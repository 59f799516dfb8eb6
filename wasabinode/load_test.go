package wasabinode_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabinode"
)

// fixedLevel is an Admission that reports a fixed level without enforcing it.
type fixedLevel struct {
	wasabistand.Admission
	level wasabistand.Importance
}

func (f fixedLevel) Load() wasabistand.Load {
	l := f.Admission.Load()
	l.Level = f.level
	return l
}

// Guards against calls that are dispatched although a service two hops
// downstream would refuse them.
func TestDownstreamLevelRefusesAtIngress(t *testing.T) {
	m := newMesh(t)
	m.parts = func(id string, p wasabinode.Parts) wasabinode.Parts {
		if inner := p.Admission; id == "c1" {
			p.Admission = func(limit int, s wasabistand.Service) wasabistand.Admission {
				return fixedLevel{inner(limit, s), wasabistand.High}
			}
		}
		return p
	}
	var b *wasabinode.Node
	m.add("c1", "c", emptyHandler)
	up := &countingHandler{h: func(w http.ResponseWriter, r *http.Request) { callDownstream(m, &b, "c", 0)(w, r) }}
	b = m.add("b1", "b", up.ServeHTTP)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	assert.Equal(t, m.do(request(t, a, "GET", "b", "/read/x")).status, 200)
	// One call passes as a probe. Then the level applies until the next probe is
	// due.
	eventually(t, func() bool {
		before := up.n.Load()
		w := m.do(request(t, a, "GET", "b", "/read/x"))
		return w.status == 503 && strings.Contains(w.body, `"reason":"level"`) && up.n.Load() == before
	})
	assert.Equal(t, m.do(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k")).status, 200)
}

// recordingLimiter is a Limiter that sends the samples it observes to seen.
type recordingLimiter struct {
	wasabistand.Limiter
	seen chan wasabistand.Sample
}

func (s recordingLimiter) Observe(now time.Time, x wasabistand.Sample) int {
	s.seen <- x
	return s.Limiter.Observe(now, x)
}

// Guards against a slow dependency that is mistaken for a slow upstream. The time
// of two overlapping calls to the dependency must be subtracted only once.
func TestOwnTimeExcludesOutgoingCalls(t *testing.T) {
	m := newMesh(t)
	var mu sync.Mutex
	now := time.Now()
	advance := func(d time.Duration) { mu.Lock(); defer mu.Unlock(); now = now.Add(d) }
	seen := recordingLimiter{seen: make(chan wasabistand.Sample, 10)}
	m.parts = func(id string, p wasabinode.Parts) wasabinode.Parts {
		if inner := p.Limiter; id == "a1" {
			p.Limiter = func(slots int) wasabistand.Limiter { return recordingLimiter{inner(slots), seen.seen} }
			p.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
		}
		return p
	}
	started, release := make(chan struct{}), make(chan struct{})
	m.add("c1", "c", func(http.ResponseWriter, *http.Request) { started <- struct{}{}; <-release })
	var a *wasabinode.Node
	a = m.add("a1", "a", func(w http.ResponseWriter, r *http.Request) {
		advance(2 * time.Second)
		var wait sync.WaitGroup
		wait.Go(func() { callDownstream(m, &a, "c", 0)(w, r) })
		wait.Go(func() { callDownstream(m, &a, "c", 0)(w, r) })
		<-started
		<-started
		advance(10 * time.Second)
		close(release)
		wait.Wait()
		advance(time.Second)
	})
	m.awaitReady()
	assert.Equal(t, m.do(request(t, a, "GET", "a", "/read/x")).status, 200)
	assert.Equal(t, (<-seen.seen).OwnTime, 3*time.Second)
}

// preemptingAdmission is an Admission that preempts the first call in favour of
// the second.
type preemptingAdmission struct{ wasabistand.Admission }

func (p preemptingAdmission) Offer(now time.Time, t wasabistand.Ticket) []wasabistand.Decision {
	list := p.Admission.Offer(now, t)
	if t.ID == 2 {
		list = append(list, wasabistand.Decision{ID: 1, Verdict: wasabistand.Preempt, Reason: wasabistand.ReasonPreempted})
	}
	return list
}

// Guards against a preempted call that keeps its slot or is reported as not run.
func TestPreemptedCallReleasesSlot(t *testing.T) {
	m := newMesh(t)
	m.settings = func(s wasabinode.Settings) wasabinode.Settings { return s.WithCapacity(1, 2) }
	m.parts = func(_ string, p wasabinode.Parts) wasabinode.Parts {
		inner := p.Admission
		p.Admission = func(limit int, s wasabistand.Service) wasabistand.Admission {
			return preemptingAdmission{inner(limit, s)}
		}
		return p
	}
	started := make(chan struct{})
	a := m.add("a1", "a", func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			started <- struct{}{}
			<-r.Context().Done()
		}
	})
	m.awaitReady()
	preempted := make(chan clientResponse)
	go func() { preempted <- m.do(request(t, a, "GET", "a", "/read/x")) }()
	<-started
	assert.Equal(t, m.do(request(t, a, "POST", "a", "/approve", "Idempotency-Key", "k")).status, 200)
	w := <-preempted
	assert.Equal(t, w.status, 502)
	assert.Assert(t, strings.Contains(w.body, "preempted"), w.body)
}

// Guards against bodies larger than the call policy allows, with and without a
// Content-Length.
func TestTooLargeBodyIsRefused(t *testing.T) {
	m := newMesh(t)
	a := m.add("a1", "a", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	m.awaitReady()
	r := request(t, a, "POST", "a", "/small")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 101))), 101
	m.expectRefusal(r, 413, "not-run", "too-large")
	r = request(t, a, "POST", "a", "/small")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 101))), -1
	m.expectRefusal(r, 413, "unknown", "too-large")
}
