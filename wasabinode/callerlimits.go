package wasabinode

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabistand/wasabistand"
)

// callerLimits limits the rate of calls of each caller. Each call counts, so
// retries by the caller count too.
type callerLimits struct {
	mu      sync.Mutex
	max     int
	buckets map[string]*callerLimit
}

type callerLimit struct {
	bucket *rate.Limiter
}

func newCallerLimits(limit int) *callerLimits {
	return &callerLimits{max: limit, buckets: map[string]*callerLimit{}}
}

// take counts one call of a caller. It returns 0, or the time after which to
// retry when the caller's rate limit is exceeded.
func (l *callerLimits) take(now time.Time, name string, c wasabistand.Caller) time.Duration {
	if c.CallsPerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, burst := rate.Limit(c.CallsPerSecond), max(c.Burst, 1)
	b := l.buckets[name]
	if b == nil && len(l.buckets) >= l.max && !l.evict(now) {
		// Too many callers are active: those that are not tracked share the
		// default caller's bucket.
		name = wasabistand.DefaultCaller
		b = l.buckets[name]
	}
	if b == nil {
		b = &callerLimit{bucket: rate.NewLimiter(limit, burst)}
		l.buckets[name] = b
	}
	if b.bucket.Limit() != limit {
		b.bucket.SetLimitAt(now, limit)
	}
	if b.bucket.Burst() != burst {
		b.bucket.SetBurstAt(now, burst)
	}
	r := b.bucket.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		return d
	}
	return 0
}

// evict removes callers whose bucket is full again, which has no effect on their
// limit.
func (l *callerLimits) evict(now time.Time) bool {
	before := len(l.buckets)
	for name, b := range l.buckets {
		if b.bucket.TokensAt(now) >= float64(b.bucket.Burst()) {
			delete(l.buckets, name)
		}
	}
	return len(l.buckets) < before
}
