// Package wasabiretry limits retries: per call tree by a request retry budget
// that is split among branches, and per instance by a retry budget that is a
// share of its first attempts. It decides whether a retry may be made, not
// whether a call is safe to retry.
package wasabiretry

import (
	"fmt"
	"sync"

	"github.com/wasabistand/wasabistand"
)

// MaxTokens is the largest request retry budget of one call tree, whatever a
// peer sends.
const MaxTokens = 1 << 10

// RequestBudget is the request retry budget of one call: the number of retries
// left for its subtree. It is safe for concurrent use.
type RequestBudget struct {
	mu        sync.Mutex
	remaining int
	// sent is the number of tokens granted to calls that have not returned
	// them yet.
	sent int
}

var _ wasabistand.RequestRetryBudget = (*RequestBudget)(nil)

// NewRequestBudget returns a budget with the given tokens, limited to the
// range from 0 to MaxTokens.
func NewRequestBudget(tokens int) *RequestBudget {
	return &RequestBudget{remaining: min(max(tokens, 0), MaxTokens)}
}

// Split takes half of the remaining tokens, rounded up, for a downstream call.
// Thus the first branch of a deep tree passes a token on to its leaf.
func (b *RequestBudget) Split() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (b.remaining + 1) / 2
	b.remaining -= n
	b.sent += n
	return n
}

// Return gives back the tokens that a completed call did not use. A callee
// cannot return more than it was granted, and all callees together cannot
// return more than was sent, so an incorrect response never increases the
// total of the tree.
func (b *RequestBudget) Return(granted, unused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted = min(max(granted, 0), b.sent)
	b.sent -= granted
	b.remaining += min(max(unused, 0), granted)
}

// Take spends one token and reports whether one was left.
func (b *RequestBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Remaining returns the remaining tokens, without those granted to downstream
// calls.
func (b *RequestBudget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}

// String returns a summary of the budget.
func (b *RequestBudget) String() string {
	return fmt.Sprintf("wasabiretry.Allowance(left=%d)", b.Remaining())
}
