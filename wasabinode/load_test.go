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

// fixedLevel is an admission that admits all and reports a level.
type fixedLevel struct {
	wasabistand.Admission
	level wasabistand.Importance
}

func (f fixedLevel) Load() wasabistand.Load {
	l := f.Admission.Load()
	l.Level = f.level
	return l
}

// Guards against calls that enter although a service two hops further down
// would refuse them.
func TestLevelFromBelowRefusesAtTheEntry(t *testing.T) {
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
	m.add("c1", "c", noCall)
	up := &counter{h: func(w http.ResponseWriter, r *http.Request) { below(m, &b, "c", 0)(w, r) }}
	b = m.add("b1", "b", up.ServeHTTP)
	a := m.add("a1", "a", noCall)
	m.ready()
	assert.Equal(t, m.do(request(t, a, "GET", "b", "/read/x")).status, 200)
	// One call passes as a probe; then the level holds until the next is due.
	eventually(t, func() bool {
		before := up.n.Load()
		w := m.do(request(t, a, "GET", "b", "/read/x"))
		return w.status == 503 && strings.Contains(w.body, `"reason":"level"`) && up.n.Load() == before
	})
	assert.Equal(t, m.do(request(t, a, "POST", "b", "/approve", "Idempotency-Key", "k")).status, 200)
}

// samples is a limiter that keeps what it observes.
type samples struct {
	wasabistand.Limiter
	seen chan wasabistand.Sample
}

func (s samples) Observe(now time.Time, x wasabistand.Sample) int {
	s.seen <- x
	return s.Limiter.Observe(now, x)
}

// Guards against a slow dependency that is taken for a slow upstream: its time
// counts once although two calls to it overlap.
func TestOwnTimeIsWithoutOutgoingCalls(t *testing.T) {
	m := newMesh(t)
	var mu sync.Mutex
	now := time.Now()
	advance := func(d time.Duration) { mu.Lock(); defer mu.Unlock(); now = now.Add(d) }
	seen := samples{seen: make(chan wasabistand.Sample, 10)}
	m.parts = func(id string, p wasabinode.Parts) wasabinode.Parts {
		if inner := p.Limiter; id == "a1" {
			p.Limiter = func(slots int) wasabistand.Limiter { return samples{inner(slots), seen.seen} }
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
		wait.Go(func() { below(m, &a, "c", 0)(w, r) })
		wait.Go(func() { below(m, &a, "c", 0)(w, r) })
		<-started
		<-started
		advance(10 * time.Second)
		close(release)
		wait.Wait()
		advance(time.Second)
	})
	m.ready()
	assert.Equal(t, m.do(request(t, a, "GET", "a", "/read/x")).status, 200)
	assert.Equal(t, (<-seen.seen).OwnTime, 3*time.Second)
}

// preempting is an admission that cancels the first call for the second.
type preempting struct{ wasabistand.Admission }

func (p preempting) Offer(now time.Time, t wasabistand.Ticket) []wasabistand.Decision {
	list := p.Admission.Offer(now, t)
	if t.ID == 2 {
		list = append(list, wasabistand.Decision{ID: 1, Verdict: wasabistand.Preempt, Reason: wasabistand.ReasonPreempted})
	}
	return list
}

// Guards against a preempted call that keeps its slot or is reported as not
// run.
func TestPreemptedCallGivesItsSlotUp(t *testing.T) {
	m := newMesh(t)
	m.settings = func(s wasabinode.Settings) wasabinode.Settings { return s.WithCapacity(1, 2) }
	m.parts = func(_ string, p wasabinode.Parts) wasabinode.Parts {
		inner := p.Admission
		p.Admission = func(limit int, s wasabistand.Service) wasabistand.Admission { return preempting{inner(limit, s)} }
		return p
	}
	started := make(chan struct{})
	a := m.add("a1", "a", func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			started <- struct{}{}
			<-r.Context().Done()
		}
	})
	m.ready()
	lesser := make(chan whole)
	go func() { lesser <- m.do(request(t, a, "GET", "a", "/read/x")) }()
	<-started
	assert.Equal(t, m.do(request(t, a, "POST", "a", "/approve", "Idempotency-Key", "k")).status, 200)
	w := <-lesser
	assert.Equal(t, w.status, 502)
	assert.Assert(t, strings.Contains(w.body, "preempted"), w.body)
}

// Guards against bodies above the contract's bound, declared or not.
func TestTooLargeBodyIsRefused(t *testing.T) {
	m := newMesh(t)
	a := m.add("a1", "a", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	m.ready()
	r := request(t, a, "POST", "a", "/small")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 101))), 101
	m.refused(r, 413, "not-run", "too-large")
	r = request(t, a, "POST", "a", "/small")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 101))), -1
	m.refused(r, 413, "unknown", "too-large")
}
