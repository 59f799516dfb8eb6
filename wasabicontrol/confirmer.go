package wasabicontrol

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabievent"
)

// confirmer confirms the state of one group with its quorum and coalesces
// concurrent requests: callers that arrive during a round share the next one,
// since a round must start after the calls that it serves.
type confirmer struct {
	log           wasabistand.ReplicatedLog
	timeout       time.Duration
	lastConfirmed atomic.Pointer[time.Time] // start of the latest successful round

	mu      sync.Mutex
	next    *round
	running bool
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// round is one read barrier that several callers wait for.
type round struct {
	done chan struct{}
	err  error
}

func newConfirmer(l wasabistand.ReplicatedLog, timeout time.Duration) *confirmer {
	c := &confirmer{log: l, timeout: timeout}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// confirm waits until the local state includes everything that was committed
// before the call. Errors are of the class wasabistand.ErrNotConfirmed.
func (c *confirmer) confirm(ctx context.Context) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return wasabistand.ErrNotConfirmed.New("stopping")
	}
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	r := c.next
	if !c.running {
		c.running = true
		c.wait.Go(c.run)
	}
	c.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return wasabistand.ErrNotConfirmed.Wrap(ctx.Err())
	}
}

func (c *confirmer) run() {
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		if r == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		start := time.Now()
		if err := c.log.ReadBarrier(ctx); err != nil {
			r.err = wasabistand.ErrNotConfirmed.Wrap(err)
		} else {
			c.lastConfirmed.Store(&start)
		}
		cancel()
		close(r.done)
	}
}

// sinceConfirmed returns the time since the start of the latest round in which
// the quorum confirmed the state, by the monotonic clock, so that a step of the wall clock
// neither ends sessions nor keeps them open. It is the longest duration before the first
// such round.
func (c *confirmer) sinceConfirmed(now time.Time) time.Duration {
	if at := c.lastConfirmed.Load(); at != nil {
		return now.Sub(*at)
	}
	return math.MaxInt64
}

// age is like sinceConfirmed, but includes the time for which the machine was suspended.
func (c *confirmer) age(now time.Time) time.Duration {
	if at := c.lastConfirmed.Load(); at != nil {
		return wasabievent.Elapsed(now, *at)
	}
	return math.MaxInt64
}

// firstRoundPause is the pause between the rounds before the first confirmation. Rounds
// take their timeout, but end at once when the replica has ended.
const firstRoundPause = 50 * time.Millisecond

// confirmFirst is like confirm, but repeats failed rounds until the context ends while
// the quorum has never confirmed the state.
func (c *confirmer) confirmFirst(ctx context.Context) error {
	for {
		err := c.confirm(ctx)
		if err == nil || c.lastConfirmed.Load() != nil {
			return err
		}
		pause := time.NewTimer(firstRoundPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
		case <-c.ctx.Done():
		}
		pause.Stop()
		if ctx.Err() != nil || c.ctx.Err() != nil {
			return err
		}
	}
}

// hasLostQuorum reports whether the quorum confirmed the state before, but not within
// the timeout. Before the first confirmation, as during the election after a start of
// all, it returns false.
func (c *confirmer) hasLostQuorum(now time.Time, timeout time.Duration) bool {
	return c.lastConfirmed.Load() != nil && c.sinceConfirmed(now) > timeout
}

func (c *confirmer) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wait.Wait()
}
