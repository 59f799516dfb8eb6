package wasabigateway

import (
	"context"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// gate is the admission in front of the own upstream. One short-held mutex
// guards it.
type gate struct {
	now func() time.Time

	mu        sync.Mutex
	admission wasabistand.Admission
	next      wasabistand.TicketID
	waiting   map[wasabistand.TicketID]chan wasabistand.Decision
	service   float64 // moving mean in seconds
	timer     *time.Timer
	closed    bool
}

func newGate(now func() time.Time, a wasabistand.Admission) *gate {
	g := &gate{now: now, admission: a, waiting: map[wasabistand.TicketID]chan wasabistand.Decision{}}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// enter waits until a call may run. cut ends the wait.
func (g *gate) enter(ctx context.Context, cut <-chan struct{}, t wasabistand.Ticket) (wasabistand.TicketID, *wasabistand.Refusal) {
	decided := make(chan wasabistand.Decision, 1)
	g.mu.Lock()
	g.next++
	t.ID = g.next
	g.waiting[t.ID] = decided
	g.apply(g.now(), g.admission.Offer(g.now(), t))
	g.mu.Unlock()
	select {
	case d := <-decided:
		return verdict(t.ID, d)
	default:
	}
	reason := wasabistand.ReasonLeaving
	select {
	case d := <-decided:
		return verdict(t.ID, d)
	case <-cut:
	case <-ctx.Done():
		reason = wasabistand.ReasonDeadline
		if g.now().Before(t.Deadline) {
			reason = wasabistand.ReasonCancelled
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, t.ID)
	// A call that was admitted meanwhile gives its slot back.
	g.apply(g.now(), g.admission.Cancel(g.now(), t.ID))
	return 0, wasabistand.NewRefusal(reason, "while the call waited for a slot")
}

func verdict(id wasabistand.TicketID, d wasabistand.Decision) (wasabistand.TicketID, *wasabistand.Refusal) {
	if d.Verdict == wasabistand.Admit {
		return id, nil
	}
	return 0, wasabistand.NewRefusal(d.Reason, "").WithRetryAfter(d.RetryAfter)
}

// serviceWeight is the part of a new sample in the mean time of a call.
const serviceWeight = 1.0 / 16

// leave frees the slot of a call that ran, or that reached no upstream when
// took is 0.
func (g *gate) leave(id wasabistand.TicketID, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if took <= 0 {
		g.apply(now, g.admission.Cancel(now, id))
		return
	}
	if g.service == 0 {
		g.service = took.Seconds()
	}
	g.service += (took.Seconds() - g.service) * serviceWeight
	g.apply(now, g.admission.Done(now, id, took))
}

// reset replaces the admission for a new incarnation of the upstream. Calls
// that wait are refused.
func (g *gate) reset(a wasabistand.Admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, c := range g.waiting {
		delete(g.waiting, id)
		c <- wasabistand.Decision{ID: id, Verdict: wasabistand.Refuse, Reason: wasabistand.ReasonLeaving}
	}
	g.admission, g.service = a, 0
}

func (g *gate) load() wasabistand.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.admission.Load()
	l.ServiceTime = time.Duration(g.service * float64(time.Second))
	return l
}

func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		now := g.now()
		g.apply(now, g.admission.Tick(now))
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.timer.Stop()
}

// minTick keeps a tick that changes nothing from becoming a busy loop.
const minTick = 2 * time.Millisecond

// apply hands decisions to their calls. The mutex is held.
func (g *gate) apply(now time.Time, list []wasabistand.Decision) {
	for _, d := range list {
		if c := g.waiting[d.ID]; c != nil {
			delete(g.waiting, d.ID)
			c <- d
		}
	}
	if at := g.admission.NextTick(); !at.IsZero() {
		g.timer.Reset(max(at.Sub(now), minTick))
	}
}
