package wasabinode_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
)

// scriptedUpstream is an upstream that executes one action of the request's script
// for each attempt, and counts attempts and runs.
type scriptedUpstream struct {
	mu       sync.Mutex
	attempts map[string]int
	runs     map[string]int
}

func (s *scriptedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	script := strings.Split(r.Header.Get("X-Script"), ",")
	id := r.Header.Get("Wasabi-Request")
	s.mu.Lock()
	action := script[min(s.attempts[id], len(script)-1)]
	s.attempts[id]++
	if action != "shed" {
		s.runs[id]++
	}
	s.mu.Unlock()
	switch action {
	case "ok":
		_, _ = w.Write(body)
	case "503":
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(body)
	case "shed":
		shedHandler(w, r)
	case "cut":
		panic(http.ErrAbortHandler)
	case "half":
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+1))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// expectedOutcome is the oracle. It returns the outcome of a call with a script
// over n instances, its number of attempts, and how many of them run.
func expectedOutcome(script []string, idempotent bool, n int) (outcome string, attempts, runs int) {
	uncertain := false
	for attempts < n {
		action := script[min(attempts, len(script)-1)]
		attempts++
		if action != "shed" {
			runs++
		}
		switch action {
		case "ok", "503":
			return "answered", attempts, runs
		case "half":
			return "cut", attempts, runs
		case "cut":
			uncertain = true
			if !idempotent {
				return "unknown", attempts, runs
			}
		}
	}
	if uncertain {
		return "unknown", attempts, runs
	}
	return "not-run", attempts, runs
}

// Guards against wrong outcomes. For random scripts of faults, an oracle
// determines how each call must end, how often it must reach an upstream and run
// there, and which response a retry with the same key must get.
func TestOutcomesAgainstOracle(t *testing.T) {
	m := newMesh(t)
	m.configuration.Retry = wasabistand.RetryPolicy{PerRequest: 3, SharePercent: 10, MinPerSecond: 1e6}
	s := &scriptedUpstream{attempts: map[string]int{}, runs: map[string]int{}}
	const instances = 3
	for i := range instances {
		m.add(fmt.Sprint("b", i), "b", s.ServeHTTP)
	}
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	calls := 0
	rapid.Check(t, func(rt *rapid.T) {
		calls++
		id := fmt.Sprint("call-", calls)
		script := rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "503", "shed", "shed", "cut", "cut", "half"}), 1, 4).Draw(rt, "script")
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		body := strings.Repeat(id+" ", rapid.IntRange(0, 6000).Draw(rt, "body"))
		chunked := rapid.Bool().Draw(rt, "chunked")
		send := func() (string, http.Header, string) {
			r := request(t, a, "PUT", "b", "/put", "Wasabi-Request", id, "X-Script", strings.Join(script, ","))
			if !idempotent {
				r.Method, r.URL.Path = "POST", "/approve"
				r.Header.Set("Idempotency-Key", id)
			}
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
			if chunked {
				r.ContentLength = -1
			}
			resp, err := m.client.Do(r)
			if err != nil {
				return "cut", nil, ""
			}
			got, err := io.ReadAll(resp.Body)
			if err = errors.Join(err, resp.Body.Close()); err != nil {
				return "cut", nil, ""
			}
			return resp.Header.Get("Wasabi-Outcome"), resp.Header, string(got)
		}
		outcome, attempts, runs := expectedOutcome(script, idempotent, instances)
		got, _, responseBody := send()
		if got != outcome || outcome == "answered" && responseBody != body {
			rt.Fatalf("script %v: outcome %q, want %q: %.300s", script, got, outcome, responseBody)
		}
		check := func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.attempts[id] != attempts || s.runs[id] != runs {
				rt.Fatalf("script %v: %d attempts, %d runs, want %d and %d", script, s.attempts[id], s.runs[id], attempts, runs)
			}
		}
		check()
		if idempotent {
			return
		}
		<-m.claims.settled
		if outcome == "not-run" {
			return
		}
		got, header, responseBody := send()
		if outcome == "answered" {
			if got != "answered" || header.Get("Wasabi-Replayed") != "true" || responseBody != body {
				rt.Fatalf("retry: outcome %q, %v, %.100s", got, header, responseBody)
			}
		} else if got != "unknown" {
			rt.Fatalf("retry: outcome %q, want unknown", got)
		}
		check()
	})
}
