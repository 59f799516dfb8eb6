// Package wasabiretry bounds retries: per call tree by an allowance that is
// split among branches, and per instance by a share of its first attempts. It
// decides whether a retry may be made, not whether a call is safe to repeat.
package wasabiretry

import (
	"fmt"
	"sync"

	"github.com/wasabistand/wasabistand"
)

// MaxTokens bounds the allowance of one call tree, whatever a peer sends.
const MaxTokens = 1 << 10

// Allowance is what one call may still spend on retries in its subtree. It is
// safe for concurrent use.
type Allowance struct {
	mu   sync.Mutex
	left int
	// sent is what was given to calls whose answers have not returned it.
	sent int
}

var _ wasabistand.Allowance = (*Allowance)(nil)

// NewAllowance returns an allowance of tokens, from 0 to MaxTokens.
func NewAllowance(tokens int) *Allowance {
	return &Allowance{left: min(max(tokens, 0), MaxTokens)}
}

// Split takes half of what is left, rounded up, for a call that is sent down.
// The first branch of a deep tree thus carries a token to its leaf.
func (a *Allowance) Split() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := (a.left + 1) / 2
	a.left -= n
	a.sent += n
	return n
}

// Return gives back what an answered call did not use. A callee cannot return
// more than it was granted, and all callees together not more than was sent,
// so a wrong answer never makes the tree's total grow.
func (a *Allowance) Return(granted, unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	granted = min(max(granted, 0), a.sent)
	a.sent -= granted
	a.left += min(max(unused, 0), granted)
}

// Take uses one retry and reports whether one was left.
func (a *Allowance) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Left returns what is left here, without what was sent down.
func (a *Allowance) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// String names the implementation.
func (a *Allowance) String() string {
	return fmt.Sprintf("wasabiretry.Allowance(left=%d)", a.Left())
}
