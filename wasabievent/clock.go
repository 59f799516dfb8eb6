// Package wasabievent provides a hybrid logical clock, a bounded ring buffer that
// keeps the latest events of one process, and a function that merges the events
// of several processes. Its callers decide which events to record.
package wasabievent

import (
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// MaxSkew bounds how far a received time may move the clock ahead of this
// process's physical clock, so that one process with a wrong clock does not
// advance the clocks of all others.
const MaxSkew = 10 * time.Second

// Elapsed returns the time from since to now, both read from the clock of this machine,
// by its monotonic clock or by the wall clock, whichever says more: the monotonic clock stops
// while the machine is suspended, and the wall clock can be set back. So an age is
// never taken for less than it is because of one of them.
func Elapsed(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last wasabistand.HybridTime
}

// NewClock returns a clock based on the physical clock now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a time later than all times returned or observed before.
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

// Observe advances the clock to a received time. It ignores a time that is more
// than MaxSkew ahead of the physical clock.
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

// String returns the name of the implementation.
func (c *Clock) String() string { return "hybrid" }
