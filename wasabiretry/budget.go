package wasabiretry

import (
	"fmt"
	"time"

	"github.com/wasabistand/wasabistand"
)

// buckets divide the budget's window; the bound holds for every run of this
// many buckets.
const buckets = 10

// BudgetOptions are the settings of a Budget: an immutable value.
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

// WithMinPerSecond returns a copy that allows n retries per second at low
// rates too.
func (o BudgetOptions) WithMinPerSecond(n float64) BudgetOptions {
	o.minPerSecond = max(n, 0)
	return o
}

// WithWindow returns a copy that counts attempts and retries over d.
func (o BudgetOptions) WithWindow(d time.Duration) BudgetOptions {
	o.window = max(d, buckets*time.Millisecond)
	return o
}

// Budget bounds the retries of one instance over a sliding window. Its owner
// serializes calls.
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

// Retry reports whether the budget allows a retry, and spends it.
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

// String names the implementation.
func (b *Budget) String() string {
	return fmt.Sprintf("wasabiretry.Budget(attempts=%d retries=%d window=%s)",
		b.attemptSum, b.retrySum, b.options.window)
}

// advance empties the buckets that left the window. A time before the latest
// one counts as the latest, so a clock step back frees nothing.
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
