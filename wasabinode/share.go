package wasabinode

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabistand/wasabistand"
)

// shares bounds the calls of each caller. Each call counts, so resends do too.
type shares struct {
	mu      sync.Mutex
	max     int
	buckets map[string]*share
}

type share struct {
	bucket *rate.Limiter
	used   time.Time
}

func newShares(limit int) *shares {
	return &shares{max: limit, buckets: map[string]*share{}}
}

// take counts one call of a caller. It returns when to send again when the
// share is used up, 0 otherwise.
func (s *shares) take(now time.Time, name string, c wasabistand.Caller) time.Duration {
	if c.CallsPerSecond <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, burst := rate.Limit(c.CallsPerSecond), max(c.Burst, 1)
	b := s.buckets[name]
	if b == nil && len(s.buckets) >= s.max && !s.evict(now) {
		// Too many callers at once: those that are not tracked share the
		// default caller's bucket.
		name = wasabistand.DefaultCaller
		b = s.buckets[name]
	}
	if b == nil {
		b = &share{bucket: rate.NewLimiter(limit, burst)}
		s.buckets[name] = b
	}
	if b.bucket.Limit() != limit {
		b.bucket.SetLimitAt(now, limit)
	}
	if b.bucket.Burst() != burst {
		b.bucket.SetBurstAt(now, burst)
	}
	b.used = now
	r := b.bucket.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		return d
	}
	return 0
}

// evict forgets callers whose bucket has filled up again: they lose nothing.
func (s *shares) evict(now time.Time) bool {
	before := len(s.buckets)
	for name, b := range s.buckets {
		if b.bucket.TokensAt(now) >= float64(b.bucket.Burst()) {
			delete(s.buckets, name)
		}
	}
	return len(s.buckets) < before
}
