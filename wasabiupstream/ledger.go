package wasabiupstream

import (
	"sync"
	"time"
)

// Ledger records the work of upstreams by request, so that the work wasted on
// failed requests can be separated from useful work. It is safe for concurrent
// use.
type Ledger struct {
	mu       sync.Mutex
	work     map[string]time.Duration
	attempts map[string]int
	runs     map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{work: map[string]time.Duration{}, attempts: map[string]int{}, runs: map[string]int{}}
}

func (l *Ledger) recordStart(request, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[request]++
	if key != "" {
		l.runs[key]++
	}
}

func (l *Ledger) addWork(request string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work[request] += d
}

// Totals holds the sums of a ledger.
type Totals struct {
	// Work is the total time spent by upstreams, Wasted the part of it spent on
	// requests that failed.
	Work, Wasted time.Duration
	// Attempts is how many calls reached an upstream.
	Attempts int
	// DuplicateRuns is how many idempotency keys ran more than once.
	DuplicateRuns int
}

// Totals returns the sums of the ledger. succeeded reports whether a request
// succeeded.
func (l *Ledger) Totals(succeeded func(request string) bool) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t Totals
	for r, d := range l.work {
		t.Work += d
		if !succeeded(r) {
			t.Wasted += d
		}
	}
	for _, n := range l.attempts {
		t.Attempts += n
	}
	for _, n := range l.runs {
		if n > 1 {
			t.DuplicateRuns++
		}
	}
	return t
}

// Attempts returns how many calls of a request reached an upstream.
func (l *Ledger) Attempts(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[request]
}

// Runs returns how often calls with an idempotency key were run.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}
