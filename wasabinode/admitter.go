package wasabinode

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// admitter serializes access to the upstream's admission queue and concurrency
// limiter. Its mutex is held only briefly.
type admitter struct {
	now           func() time.Time
	onLimitChange func(limit int)
	onLevelChange func(level wasabistand.Importance)
	newLimiter    func(slots int) wasabistand.Limiter
	slots         int

	mu        sync.Mutex
	admission wasabistand.Admission
	limiter   wasabistand.Limiter
	lastID    wasabistand.TicketID
	calls     map[wasabistand.TicketID]*trackedCall
	service   wasabistand.Service
	level     wasabistand.Importance
	limit     int
	timer     *time.Timer
	closed    bool
}

// trackedCall is a call that waits for a slot or holds one.
type trackedCall struct {
	id         wasabistand.TicketID
	ticket     wasabistand.Ticket
	decided    chan wasabistand.Decision
	preempt    context.CancelCauseFunc
	running    bool
	started    time.Time
	concurrent int // calls that ran when this one started, including itself
}

func newAdmitter(now func() time.Time, slots int, newLimiter func(int) wasabistand.Limiter, newAdmission func(int) wasabistand.Admission) *admitter {
	a := &admitter{now: now, newLimiter: newLimiter, slots: slots, calls: map[wasabistand.TicketID]*trackedCall{}}
	a.limiter = newLimiter(slots)
	a.limit = a.limiter.Limit()
	a.admission = newAdmission(a.limit)
	a.level = a.admission.Load().Level
	a.timer = time.AfterFunc(time.Hour, a.tick)
	return a
}

// acquire waits for a slot. preempt is called if the call is preempted later and
// must release its slot.
func (a *admitter) acquire(ctx context.Context, t wasabistand.Ticket, preempt context.CancelCauseFunc) (*trackedCall, *wasabistand.Refusal) {
	c := &trackedCall{decided: make(chan wasabistand.Decision, 1), preempt: preempt}
	a.mu.Lock()
	a.lastID++
	t.ID = a.lastID
	c.id, c.ticket = t.ID, t
	a.calls[c.id] = c
	now := a.now()
	a.apply(now, a.admission.Offer(now, t))
	a.mu.Unlock()
	select {
	case d := <-c.decided:
		return a.resolve(c, d)
	case <-ctx.Done():
	}
	a.mu.Lock()
	select {
	case d := <-c.decided:
		a.mu.Unlock()
		return a.resolve(c, d)
	default:
	}
	delete(a.calls, c.id)
	now = a.now()
	a.apply(now, a.admission.Cancel(now, c.id))
	a.mu.Unlock()
	if !now.Before(t.Deadline) {
		return nil, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience ended in the queue")
	}
	return nil, wasabistand.NewRefusal(wasabistand.ReasonCancelled, "cancelled in the queue")
}

func (a *admitter) resolve(c *trackedCall, d wasabistand.Decision) (*trackedCall, *wasabistand.Refusal) {
	if d.Verdict == wasabistand.Admit {
		return c, nil
	}
	return nil, wasabistand.NewRefusal(d.Reason, "").WithRetryAfter(d.RetryAfter)
}

// release frees the slot of a call and reports its time to the limiter. ownTime
// is the call's time in the upstream without its outgoing calls.
func (a *admitter) release(c *trackedCall, ownTime time.Duration, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.calls, c.id)
	now := a.now()
	limit := a.limiter.Observe(now, wasabistand.Sample{Started: c.started, OwnTime: ownTime, Running: c.concurrent, Failed: failed})
	a.apply(now, a.admission.Done(now, c.id, now.Sub(c.started)))
	a.setLimit(now, limit)
}

// cancel frees the slot of a call without a sample for the limiter, for example
// because the call did not reach the upstream.
func (a *admitter) cancel(c *trackedCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.calls, c.id)
	now := a.now()
	a.apply(now, a.admission.Cancel(now, c.id))
}

// restart resets the limiter to the limit of an upstream that has just started.
func (a *admitter) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter = a.newLimiter(a.slots)
	a.setLimit(a.now(), a.limiter.Limit())
}

// configure replaces the admission queue when the service's queue settings have
// changed. Running and waiting calls are offered to the new queue.
func (a *admitter) configure(newAdmission func(int, wasabistand.Service) wasabistand.Admission, s wasabistand.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.QueueLimit == a.service.QueueLimit && s.PreemptLowerImportance == a.service.PreemptLowerImportance {
		return
	}
	a.service = s
	now := a.now()
	var running, waiting []*trackedCall
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		if c := a.calls[id]; c.running {
			running = append(running, c)
		} else {
			waiting = append(waiting, c)
		}
	}
	a.admission = newAdmission(max(a.limit, len(running)), s)
	for _, c := range running {
		a.admission.Offer(now, c.ticket)
	}
	a.apply(now, a.admission.SetLimit(now, a.limit))
	for _, c := range waiting {
		a.apply(now, a.admission.Offer(now, c.ticket))
	}
}

func (a *admitter) load() wasabistand.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.Load()
}

// close stops the timer. No call may be open at this point.
func (a *admitter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.timer.Stop()
}

func (a *admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	now := a.now()
	a.apply(now, a.admission.Tick(now))
}

func (a *admitter) setLimit(now time.Time, limit int) {
	if limit == a.limit {
		return
	}
	a.limit = limit
	if a.onLimitChange != nil {
		a.onLimitChange(limit)
	}
	a.apply(now, a.admission.SetLimit(now, limit))
}

// apply delivers decisions to their calls. The caller must hold the mutex.
func (a *admitter) apply(now time.Time, list []wasabistand.Decision) {
	for _, d := range list {
		c := a.calls[d.ID]
		if c == nil {
			continue
		}
		switch {
		case d.Verdict == wasabistand.Preempt:
			c.preempt(wasabistand.NewUnknown(wasabistand.ReasonPreempted, "cancelled in favour of a more important call"))
		case c.running:
		case d.Verdict == wasabistand.Admit:
			c.running, c.started = true, now
			c.concurrent = a.admission.Load().Running
			c.decided <- d
		default:
			delete(a.calls, d.ID)
			c.decided <- d
		}
	}
	if level := a.admission.Load().Level; level != a.level {
		a.level = level
		if a.onLevelChange != nil {
			a.onLevelChange(level)
		}
	}
	if at := a.admission.NextTick(); at.IsZero() {
		a.timer.Stop()
	} else {
		// Waits at least 1 ms, so that a tick without effect does not turn into
		// a busy loop.
		a.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
}
