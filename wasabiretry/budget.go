package wasabiretry

import (
	"fmt"
	"time"

	"github.com/wasabistand/wasabistand"
)

// buckets is the number of buckets in the window; the limit applies to every
// span of this many buckets.
const buckets = 10

// BudgetOptions holds the immutable settings of a Budget.
type BudgetOptions struct {
	sharePercent float64
	minPerSecond float64
	window       time.Duration
}

// NewBudgetOptions returns the default settings: a tenth of the first
// attempts or 10 retries per second, whichever is more.
func NewBudgetOptions() BudgetOptions {
	return BudgetOptions{sharePercent: 10, minPerSecond: 10, window: time.Second}
}

// WithSharePercent returns a copy that allows retries up to p percent of the
// first attempts.
func (o BudgetOptions) WithSharePercent(p float64) BudgetOptions {
	o.sharePercent = max(p, 0)
	return o
}

// WithMinPerSecond returns a copy that allows n retries per second even at low
// call rates.
func (o BudgetOptions) WithMinPerSecond(n float64) BudgetOptions {
	o.minPerSecond = max(n, 0)
	return o
}

// WithWindow returns a copy that counts attempts and retries over d.
func (o BudgetOptions) WithWindow(d time.Duration) BudgetOptions {
	o.window = max(d, buckets*time.Millisecond)
	return o
}

// Budget limits the retries of one instance over a sliding window. It is not
// safe for concurrent use.
type Budget struct {
	options  BudgetOptions
	origin   time.Time
	bucket   int64
	attempts [buckets]int
	retries  [buckets]int
	// attemptSum and retrySum are the totals of the buckets.
	attemptSum, retrySum int
}

var _ wasabistand.RetryBudget = (*Budget)(nil)

// NewBudget returns a budget without any recorded attempt.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{options: o}
}

// Attempt records a first attempt.
func (b *Budget) Attempt(now time.Time) {
	b.advance(now)
	b.attempts[b.bucket%buckets]++
	b.attemptSum++
}

// Retry reports whether the budget allows a retry, and if so spends it.
func (b *Budget) Retry(now time.Time) bool {
	b.advance(now)
	allowed := max(
		float64(b.attemptSum)*b.options.sharePercent/100,
		b.options.minPerSecond*b.options.window.Seconds(),
	)
	if float64(b.retrySum+1) > allowed {
		return false
	}
	b.retries[b.bucket%buckets]++
	b.retrySum++
	return true
}

// String returns a summary of the budget.
func (b *Budget) String() string {
	return fmt.Sprintf("wasabiretry.Budget(attempts=%d retries=%d window=%s)",
		b.attemptSum, b.retrySum, b.options.window)
}

// advance clears the buckets that are no longer in the window. A time before
// the latest one counts as the latest, so a clock step backwards frees no
// budget.
func (b *Budget) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	bucket := int64(now.Sub(b.origin) / (b.options.window / buckets))
	if bucket <= b.bucket {
		return
	}
	for n := min(bucket-b.bucket, buckets); n > 0; n-- {
		i := (bucket - n + 1) % buckets
		b.attemptSum -= b.attempts[i]
		b.retrySum -= b.retries[i]
		b.attempts[i], b.retries[i] = 0, 0
	}
	b.bucket = bucket
}
