// Package wasabievent keeps the time line of one process: a bounded ring of
// typed events, stamped by a hybrid logical clock, and the merge of several
// processes' events. It does not decide which events are recorded.
package wasabievent

import (
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// MaxSkew bounds how far a received time may move the clock ahead of this
// process's own, so that one process with a wrong clock does not carry all
// others along.
const MaxSkew = 10 * time.Second

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last wasabistand.HybridTime
}

// NewClock returns a clock over a physical one.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a time above all that were returned or observed before.
func (c *Clock) Now() wasabistand.HybridTime {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixNano()
	if wall > c.last.WallUnixNano {
		c.last = wasabistand.HybridTime{WallUnixNano: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe takes note of a received time.
func (c *Clock) Observe(t wasabistand.HybridTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.WallUnixNano > c.now().Add(MaxSkew).UnixNano() {
		return
	}
	if t.Compare(c.last) > 0 {
		c.last = t
	}
}

// String names the implementation.
func (c *Clock) String() string { return "hybrid" }
