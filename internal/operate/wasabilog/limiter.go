// Package wasabilog bounds the number of log lines. It decides which lines are
// written; it neither formats nor writes them.
package wasabilog

import (
	"sync"
	"time"
)

// Limiter bounds the log lines of each kind in a second. It is safe for concurrent use.
type Limiter struct {
	now    func() time.Time
	report func(kind string, omitted int)

	mu     sync.Mutex
	second int64
	kinds  map[string]*lineCount
}

type lineCount struct{ written, omitted int }

// NewLimiter returns a limiter that tells report, which must not block, how many lines
// of a kind were omitted in a second.
func NewLimiter(now func() time.Time, report func(kind string, omitted int)) *Limiter {
	return &Limiter{now: now, report: report, kinds: map[string]*lineCount{}}
}

// Allow reports whether a line of a kind may be written, of which limit are allowed in
// a second.
func (l *Limiter) Allow(kind string, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endSecond()
	c := l.kinds[kind]
	if c == nil {
		c = &lineCount{}
		l.kinds[kind] = c
	}
	if c.written >= limit {
		c.omitted++
		return false
	}
	c.written++
	return true
}

// Flush reports the lines that were omitted until now.
func (l *Limiter) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportAll()
}

// Tick reports the lines that were omitted in earlier seconds.
func (l *Limiter) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endSecond()
}

func (l *Limiter) endSecond() {
	if second := l.now().Unix(); second != l.second {
		l.reportAll()
		l.second = second
	}
}

func (l *Limiter) reportAll() {
	for kind, c := range l.kinds {
		if c.omitted > 0 {
			l.report(kind, c.omitted)
		}
		*c = lineCount{}
	}
}
