package wasabinode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// leavingRetry is when a call refused by a leaving node may come again: by
// then callers have learned of other nodes.
const leavingRetry = time.Second

// inflight counts open calls, bounds them and refuses new ones of a leaving node.
type inflight struct {
	mu     sync.Mutex
	max    int
	open   int
	closed bool
	empty  chan struct{} // closed when the last call ends, nil unless awaited
}

// enter lets a call in. inside says that the call belongs to one that is
// already open; such calls are let in until the end.
func (d *inflight) enter(inside bool) *wasabistand.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed && !inside {
		return wasabistand.NewRefusal(wasabistand.ReasonLeaving, "the node is leaving").WithRetryAfter(leavingRetry)
	}
	if d.open >= d.max {
		return wasabistand.NewRefusal(wasabistand.ReasonQueueFull, fmt.Sprintf("%d calls are open, at most %d are allowed", d.open, d.max))
	}
	d.open++
	return nil
}

func (d *inflight) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open--; d.open == 0 && d.empty != nil {
		close(d.empty)
		d.empty = nil
	}
}

func (d *inflight) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

func (d *inflight) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// wait returns once no call is open, or with the context's error.
func (d *inflight) wait(ctx context.Context) error {
	d.mu.Lock()
	if d.open == 0 {
		d.mu.Unlock()
		return nil
	}
	if d.empty == nil {
		d.empty = make(chan struct{})
	}
	empty := d.empty
	d.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
