package wasabinode

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// admitter owns the admission and the limit of the upstream. One short-held mutex
// guards both.
type admitter struct {
	now      func() time.Time
	onLimit  func(limit int)
	onLevel  func(level wasabistand.Importance)
	limiters func(slots int) wasabistand.Limiter
	slots    int

	mu        sync.Mutex
	admission wasabistand.Admission
	limiter   wasabistand.Limiter
	next      wasabistand.TicketID
	calls     map[wasabistand.TicketID]*admitted
	service   wasabistand.Service
	level     wasabistand.Importance
	limit     int
	timer     *time.Timer
	closed    bool
}

// admitted is a call that waits or runs.
type admitted struct {
	id      wasabistand.TicketID
	ticket  wasabistand.Ticket
	decided chan wasabistand.Decision
	preempt context.CancelCauseFunc
	running bool
	started time.Time
	beside  int // calls that ran when this one started, itself included
}

func newAdmitter(now func() time.Time, slots int, limiters func(int) wasabistand.Limiter, admissions func(int) wasabistand.Admission) *admitter {
	g := &admitter{now: now, limiters: limiters, slots: slots, calls: map[wasabistand.TicketID]*admitted{}}
	g.limiter = limiters(slots)
	g.limit = g.limiter.Limit()
	g.admission = admissions(g.limit)
	g.level = g.admission.Load().Level
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// enter waits until the call may run. The preempt function is called when the
// call must give its slot up.
func (g *admitter) enter(ctx context.Context, t wasabistand.Ticket, preempt context.CancelCauseFunc) (*admitted, *wasabistand.Refusal) {
	c := &admitted{decided: make(chan wasabistand.Decision, 1), preempt: preempt}
	g.mu.Lock()
	g.next++
	t.ID = g.next
	c.id, c.ticket = t.ID, t
	g.calls[c.id] = c
	now := g.now()
	g.apply(now, g.admission.Offer(now, t))
	g.mu.Unlock()
	select {
	case d := <-c.decided:
		return g.decided(c, d)
	case <-ctx.Done():
	}
	g.mu.Lock()
	select {
	case d := <-c.decided:
		g.mu.Unlock()
		return g.decided(c, d)
	default:
	}
	delete(g.calls, c.id)
	now = g.now()
	g.apply(now, g.admission.Cancel(now, c.id))
	g.mu.Unlock()
	if !now.Before(t.Deadline) {
		return nil, wasabistand.NewRefusal(wasabistand.ReasonDeadline, "the patience ended in the queue")
	}
	return nil, wasabistand.NewRefusal(wasabistand.ReasonCancelled, "cancelled in the queue")
}

func (g *admitter) decided(c *admitted, d wasabistand.Decision) (*admitted, *wasabistand.Refusal) {
	if d.Verdict == wasabistand.Admit {
		return c, nil
	}
	return nil, wasabistand.NewRefusal(d.Reason, "").WithRetryAfter(d.RetryAfter)
}

// leave frees the slot of a call. own is its time in the upstream without its
// outgoing calls.
func (g *admitter) leave(c *admitted, own time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c.id)
	now := g.now()
	limit := g.limiter.Observe(now, wasabistand.Sample{Started: c.started, OwnTime: own, Running: c.beside, Failed: failed})
	g.apply(now, g.admission.Done(now, c.id, now.Sub(c.started)))
	g.setLimit(now, limit)
}

// abandon frees the slot of a call that never reached the upstream.
func (g *admitter) abandon(c *admitted) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c.id)
	now := g.now()
	g.apply(now, g.admission.Cancel(now, c.id))
}

// restart begins again with the limit of an upstream that has just started.
func (g *admitter) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter = g.limiters(g.slots)
	g.setLimit(g.now(), g.limiter.Limit())
}

// configure replaces the admission when the service's queue is declared anew.
// Calls that run or wait are offered to the new one.
func (g *admitter) configure(admissions func(int, wasabistand.Service) wasabistand.Admission, s wasabistand.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.QueueLimit == g.service.QueueLimit && s.PreemptLowerImportance == g.service.PreemptLowerImportance {
		return
	}
	g.service = s
	now := g.now()
	var running, waiting []*admitted
	for _, id := range slices.Sorted(maps.Keys(g.calls)) {
		if c := g.calls[id]; c.running {
			running = append(running, c)
		} else {
			waiting = append(waiting, c)
		}
	}
	g.admission = admissions(max(g.limit, len(running)), s)
	for _, c := range running {
		g.admission.Offer(now, c.ticket)
	}
	g.apply(now, g.admission.SetLimit(now, g.limit))
	for _, c := range waiting {
		g.apply(now, g.admission.Offer(now, c.ticket))
	}
}

func (g *admitter) load() wasabistand.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load()
}

// close stops the timer. No call may be open.
func (g *admitter) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.timer.Stop()
}

func (g *admitter) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	now := g.now()
	g.apply(now, g.admission.Tick(now))
}

func (g *admitter) setLimit(now time.Time, limit int) {
	if limit == g.limit {
		return
	}
	g.limit = limit
	if g.onLimit != nil {
		g.onLimit(limit)
	}
	g.apply(now, g.admission.SetLimit(now, limit))
}

// apply hands decisions to their calls. The mutex is held.
func (g *admitter) apply(now time.Time, list []wasabistand.Decision) {
	for _, d := range list {
		c := g.calls[d.ID]
		if c == nil {
			continue
		}
		switch {
		case d.Verdict == wasabistand.Preempt:
			c.preempt(wasabistand.NewUnknown(wasabistand.ReasonPreempted, "cancelled in favour of a more important call"))
		case c.running:
		case d.Verdict == wasabistand.Admit:
			c.running, c.started = true, now
			c.beside = g.admission.Load().Running
			c.decided <- d
		default:
			delete(g.calls, d.ID)
			c.decided <- d
		}
	}
	if level := g.admission.Load().Level; level != g.level {
		g.level = level
		if g.onLevel != nil {
			g.onLevel(level)
		}
	}
	if at := g.admission.NextTick(); at.IsZero() {
		g.timer.Stop()
	} else {
		// At least a millisecond, so that a tick that changes nothing does not
		// become a busy loop.
		g.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
}
