package wasabinode_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabinode"
)

// Guards against a planned stop that interrupts a call or takes new work: a
// call from a caller, one from another node, and the outgoing call that a
// served call makes after its node began to refuse.
func TestLeavingNodeFinishesWhatIsInFlight(t *testing.T) {
	m := newMesh(t)
	started, release := make(chan struct{}, 10), make(chan struct{})
	m.add("c1", "c", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "c") })
	var b *wasabinode.Node
	b = m.add("b1", "b", func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		below(m, &b, "c", 0)(w, r)
		_, _ = io.WriteString(w, strings.Repeat("whole", 1000))
	})
	a := m.add("a1", "a", noCall)
	m.ready()
	done := make(chan whole, 2)
	go func() { done <- m.do(request(t, a, "GET", "b", "/read/x")) }()
	go func() { done <- m.do(request(t, b, "GET", "b", "/read/x")) }()
	<-started
	<-started
	left := make(chan error, 1)
	go func() { left <- b.Shutdown(context.Background()) }()
	eventually(t, func() bool { return b.Announcement().State == wasabistand.Leaving })
	ready, _ := b.Ready()
	assert.Assert(t, !ready)
	eventually(t, func() bool { return m.do(request(t, b, "GET", "c", "/read/x")).status == 503 })
	m.refused(request(t, b, "GET", "c", "/read/x"), 503, "not-run", "leaving")
	w := m.refused(request(t, a, "GET", "b", "/read/x"), 503, "not-run", "leaving")
	assert.Assert(t, w.header.Get("Retry-After") != "")
	assert.Equal(t, len(started), 0)
	close(release)
	for range 2 {
		w := <-done
		assert.Equal(t, w.status, 200)
		assert.Equal(t, w.body, strings.Repeat("whole", 1000))
	}
	assert.NilError(t, <-left)
}

// Guards against a stop that waits for ever for a call that does not end.
func TestDrainTimeBoundsTheStop(t *testing.T) {
	m := newMesh(t)
	m.settings = func(s wasabinode.Settings) wasabinode.Settings { return s.WithDrainTime(10 * time.Millisecond) }
	started := make(chan struct{})
	a := m.add("a1", "a", func(_ http.ResponseWriter, r *http.Request) { started <- struct{}{}; <-r.Context().Done() })
	m.ready()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if answer, err := m.client.Do(request(t, a, "GET", "a", "/read/x")); err == nil {
			assert.Check(t, answer.StatusCode != http.StatusOK)
			_ = answer.Body.Close()
		}
	}()
	<-started
	assert.ErrorIs(t, a.Shutdown(context.Background()), context.DeadlineExceeded)
	<-ended
}

// Guards against a node that stays in the routes while its upstream is dead,
// or stays out of them when it is back.
func TestDeadUpstreamIsAnnounced(t *testing.T) {
	m := newMesh(t)
	m.settings = func(s wasabinode.Settings) wasabinode.Settings { return s.WithWatchInterval(time.Millisecond) }
	up := &http.Server{Handler: http.HandlerFunc(noCall)}
	ln := listen(t, "127.0.0.1:0")
	go func() { _ = up.Serve(ln) }()
	a := m.beside("a1", "a", "http://"+ln.Addr().String())
	m.ready()
	assert.Equal(t, m.do(request(t, a, "GET", "a", "/read/x")).status, 200)
	before := a.Announcement()
	assert.NilError(t, up.Close())
	connects := 0
	eventually(t, func() bool {
		// A connection that was kept may be found closed only after the
		// request was written: then the outcome is unknown.
		w := m.do(request(t, a, "GET", "a", "/read/x"))
		assert.Assert(t, w.header.Get("Wasabi-Outcome") != "answered", w.body)
		if strings.Contains(w.body, `"reason":"connect"`) {
			assert.Equal(t, w.header.Get("Wasabi-Outcome"), "not-run")
			connects++
		}
		return a.Announcement().State == wasabistand.Leaving
	})
	assert.Assert(t, connects >= 3, "announced after %d refused connections", connects)
	up = &http.Server{Handler: http.HandlerFunc(noCall)}
	ln = listen(t, ln.Addr().String())
	go func() { _ = up.Serve(ln) }()
	defer up.Close()
	eventually(t, func() bool { return a.Announcement().State == wasabistand.Cold })
	assert.Assert(t, a.Announcement().Sequence > before.Sequence)
	// Control tells of the instance's new announcement, as it did of the first.
	m.lists = map[string][]wasabistand.Instance{"a": {a.Announcement()}}
	m.ready()
	eventually(t, func() bool { return m.do(request(t, a, "GET", "a", "/read/x")).status == http.StatusOK })
}

// Guards against a planned stop under load that cuts a call, reports one as
// unknown, or loses or doubles the run of one.
func TestStopUnderLoadLosesNothing(t *testing.T) {
	m := newMesh(t)
	m.settings = func(s wasabinode.Settings) wasabinode.Settings { return s.WithGoAwayTime(2 * time.Second) }
	var mu sync.Mutex
	runs := map[string]int{}
	serve := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs[r.Header.Get("Idempotency-Key")]++
		mu.Unlock()
		_, _ = io.Copy(w, r.Body)
	}
	b1 := m.add("b1", "b", serve)
	m.add("b2", "b", serve)
	a := m.add("a1", "a", noCall)
	m.claims.settled = make(chan wasabistand.Settlement, 100_000)
	m.ready()
	var wait sync.WaitGroup
	stop := make(chan struct{})
	var answered, refused atomic.Int64
	for worker := range 8 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("%d-%d", worker, i)
				r := request(t, a, "POST", "b", "/approve", "Idempotency-Key", key)
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(key)), int64(len(key))
				w := m.do(r)
				mu.Lock()
				n := runs[key]
				mu.Unlock()
				switch outcome := w.header.Get("Wasabi-Outcome"); {
				case outcome == "answered" && w.body == key && n == 1:
					answered.Add(1)
				case outcome == "not-run" && n == 0:
					refused.Add(1)
				default:
					t.Errorf("%s: outcome %q, ran %d times: %s", key, outcome, n, w.body)
					return
				}
			}
		})
	}
	eventually(t, func() bool { return answered.Load() > 100 })
	assert.Check(t, b1.Shutdown(context.Background()))
	before := answered.Load()
	eventually(t, func() bool { return answered.Load() > before+100 })
	close(stop)
	wait.Wait()
	t.Logf("%d answered, %d refused as not run", answered.Load(), refused.Load())
}
