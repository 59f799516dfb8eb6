package wasabigateway

import (
	"context"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// admissionQueue controls the admission of calls to the local upstream. Its mutex
// is held only for short times.
type admissionQueue struct {
	now func() time.Time

	mu              sync.Mutex
	admission       wasabistand.Admission
	nextID          wasabistand.TicketID
	waiting         map[wasabistand.TicketID]chan wasabistand.Decision
	meanServiceTime float64 // EWMA in seconds
	timer           *time.Timer
	closed          bool
}

func newAdmissionQueue(now func() time.Time, a wasabistand.Admission) *admissionQueue {
	q := &admissionQueue{now: now, admission: a, waiting: map[wasabistand.TicketID]chan wasabistand.Decision{}}
	q.timer = time.AfterFunc(time.Hour, q.tick)
	return q
}

// waitEnds are channels of which each, when it is closed, ends the wait of a call: it
// must not be sent any more. Nil channels are never closed.
type waitEnds struct {
	// revoked is closed when the instance leaves, stopping when this node refuses what
	// waits, and withdrawn when the node does at which the call entered.
	revoked, stopping, withdrawn <-chan struct{}
}

// haveEnded reports whether one of the channels is closed.
func (w waitEnds) haveEnded() bool {
	select {
	case <-w.revoked:
	case <-w.stopping:
	case <-w.withdrawn:
	default:
		return false
	}
	return true
}

// acquire waits until a call may run.
func (q *admissionQueue) acquire(ctx context.Context, ends waitEnds, t wasabistand.Ticket) (wasabistand.TicketID, *wasabistand.Refusal) {
	decided := make(chan wasabistand.Decision, 1)
	q.mu.Lock()
	q.nextID++
	t.ID = q.nextID
	q.waiting[t.ID] = decided
	q.apply(q.now(), q.admission.Offer(q.now(), t))
	q.mu.Unlock()
	select {
	case d := <-decided:
		return admissionResult(t.ID, d)
	default:
	}
	reason := wasabistand.ReasonLeaving
	select {
	case d := <-decided:
		return admissionResult(t.ID, d)
	case <-ends.revoked:
	case <-ends.stopping:
	case <-ends.withdrawn:
	case <-ctx.Done():
		reason = wasabistand.ReasonDeadline
		if q.now().Before(t.Deadline) {
			reason = wasabistand.ReasonCancelled
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, t.ID)
	// A call that was admitted in the meantime releases its slot.
	q.apply(q.now(), q.admission.Cancel(q.now(), t.ID))
	return 0, wasabistand.NewRefusal(reason, "while the call waited for a slot")
}

func admissionResult(id wasabistand.TicketID, d wasabistand.Decision) (wasabistand.TicketID, *wasabistand.Refusal) {
	if d.Verdict == wasabistand.Admit {
		return id, nil
	}
	return 0, wasabistand.NewRefusal(d.Reason, "").WithRetryAfter(d.RetryAfter)
}

// serviceTimeWeight is the weight of a new sample in the mean service time.
const serviceTimeWeight = 1.0 / 16

// release frees the slot of a call. elapsed is 0 for a call that did not reach the
// upstream.
func (q *admissionQueue) release(id wasabistand.TicketID, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if elapsed <= 0 {
		q.apply(now, q.admission.Cancel(now, id))
		return
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime = elapsed.Seconds()
	}
	q.meanServiceTime += (elapsed.Seconds() - q.meanServiceTime) * serviceTimeWeight
	q.apply(now, q.admission.Done(now, id, elapsed))
}

// reset replaces the admission for a new incarnation of the upstream. Waiting calls
// are refused.
func (q *admissionQueue) reset(a wasabistand.Admission) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, c := range q.waiting {
		delete(q.waiting, id)
		c <- wasabistand.Decision{ID: id, Verdict: wasabistand.Refuse, Reason: wasabistand.ReasonLeaving}
	}
	q.admission, q.meanServiceTime = a, 0
}

func (q *admissionQueue) load() wasabistand.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.admission.Load()
	l.ServiceTime = time.Duration(q.meanServiceTime * float64(time.Second))
	return l
}

func (q *admissionQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		now := q.now()
		q.apply(now, q.admission.Tick(now))
	}
}

func (q *admissionQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.timer.Stop()
}

// minTick prevents a busy loop when a tick changes nothing.
const minTick = 2 * time.Millisecond

// apply delivers decisions to the waiting calls. The mutex must be held.
func (q *admissionQueue) apply(now time.Time, list []wasabistand.Decision) {
	for _, d := range list {
		if c := q.waiting[d.ID]; c != nil {
			delete(q.waiting, d.ID)
			c <- d
		}
	}
	if at := q.admission.NextTick(); !at.IsZero() {
		q.timer.Reset(max(at.Sub(now), minTick))
	}
}
