package wasabinode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// leavingRetryAfter is the Retry-After of a node that is shutting down: by then
// callers have been routed to other nodes.
const leavingRetryAfter = time.Second

// openCalls counts and limits the open calls, and refuses new ones after close.
type openCalls struct {
	mu     sync.Mutex
	max    int
	open   int
	closed bool
	idle   chan struct{} // closed when the last call ends, nil unless awaited
}

// add counts a new call, or refuses it. A nested call belongs to one that is
// already open and is accepted even after close.
func (c *openCalls) add(nested bool) *wasabistand.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && !nested {
		return wasabistand.NewRefusal(wasabistand.ReasonLeaving, "the node is leaving").WithRetryAfter(leavingRetryAfter)
	}
	if c.open >= c.max {
		return wasabistand.NewRefusal(wasabistand.ReasonQueueFull, fmt.Sprintf("%d calls are open, at most %d are allowed", c.open, c.max))
	}
	c.open++
	return nil
}

func (c *openCalls) remove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open--; c.open == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *openCalls) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *openCalls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// wait returns nil once no call is open, or the context's error.
func (c *openCalls) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.open == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
