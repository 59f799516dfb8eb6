package wasabiadmission

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Bounds of the retry delay that a refusal carries. The estimate is coarse:
// below 50 ms callers would retry in a busy loop, above 5 s they would stay
// idle after the overload has ended.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// decisionBufferSize is the number of decisions per allocation.
const decisionBufferSize = 256

// importanceArraySize is the length of arrays indexed by importance.
const importanceArraySize = wasabistand.Importances + 1

// Queue implements wasabistand.Admission. It is not safe for concurrent use.
// Returned decisions are never modified later, so they may be used after the
// lock that guards the queue is released. Ticket IDs must be unique among the
// waiting and running calls; a duplicate is ignored. A zero deadline means
// none.
type Queue struct {
	options Options
	limit   int
	level   wasabistand.Importance
	// lowerLevelAt is the earliest time at which the admission level falls by
	// one step.
	lowerLevelAt time.Time

	calls        map[wasabistand.TicketID]*call
	freeCalls    []*call
	waiting      [importanceArraySize]int
	waitingCount int
	byDeadline   deadlineHeap
	running      [importanceArraySize][]*call
	runningCount int
	// preemptedRunning is the number of preempted calls that still hold a
	// slot.
	preemptedRunning int

	accounts     accounts
	serviceTimes [importanceArraySize]serviceTimeEstimate

	decisions  []wasabistand.Decision
	batchStart int
}

var _ wasabistand.Admission = (*Queue)(nil)

// New returns an empty queue.
func New(o Options) *Queue {
	return &Queue{
		options:  o,
		limit:    o.limit,
		level:    wasabistand.Low,
		calls:    make(map[wasabistand.TicketID]*call),
		accounts: newAccounts(o.maxCallers),
	}
}

// Offer submits a call for admission.
func (q *Queue) Offer(now time.Time, t wasabistand.Ticket) []wasabistand.Decision {
	q.beginBatch(now)
	if _, known := q.calls[t.ID]; known {
		return q.endBatch()
	}
	t.Importance = min(max(t.Importance, wasabistand.Low), wasabistand.Critical)
	i := t.Importance
	if t.Deadline.IsZero() {
		t.Deadline = now.Add(noDeadline)
	}
	remaining, serviceTime := t.Deadline.Sub(now), q.expectedServiceTime(now, i)
	switch {
	case i < q.level:
		q.refuse(now, t.ID, i, wasabistand.ReasonLevel)
	case remaining <= 0, remaining < serviceTime && q.runningCount > 0:
		// The call could not meet its deadline even with a free slot, so the
		// refusal does not indicate load. An idle upstream runs the call
		// anyway, otherwise an estimate that is too high would never be
		// corrected.
		q.refuse(now, t.ID, i, wasabistand.ReasonDeadline)
	case q.runningCount < q.limit:
		q.admit(now, q.newCall(t))
	default:
		q.enqueue(now, t, remaining-serviceTime)
	}
	return q.endBatch()
}

// Done frees the slot of an admitted call. If service is zero, the time since
// admission is used.
func (q *Queue) Done(now time.Time, id wasabistand.TicketID, service time.Duration) []wasabistand.Decision {
	q.beginBatch(now)
	if c, ok := q.calls[id]; ok {
		if c.runningIndex >= 0 && service <= 0 {
			service = now.Sub(c.started)
		}
		q.finish(now, c, service, true)
	}
	return q.endBatch()
}

// Cancel removes a waiting call, or frees the slot of an admitted one.
func (q *Queue) Cancel(now time.Time, id wasabistand.TicketID) []wasabistand.Decision {
	q.beginBatch(now)
	if c, ok := q.calls[id]; ok {
		// The call would have run longer, so it is sampled only if it raises
		// the estimate. Without these samples, an upstream too slow for every
		// caller would keep its old estimate.
		service := now.Sub(c.started)
		q.finish(now, c, service, service > q.expectedServiceTime(now, c.Importance))
	}
	return q.endBatch()
}

// SetLimit changes how many calls may run at once, at least 1.
func (q *Queue) SetLimit(now time.Time, limit int) []wasabistand.Decision {
	q.beginBatch(now)
	q.limit = max(limit, 1)
	q.dispatch(now)
	return q.endBatch()
}

// Tick refuses waiting calls whose deadline has passed and lowers the
// admission level.
func (q *Queue) Tick(now time.Time) []wasabistand.Decision {
	q.beginBatch(now)
	return q.endBatch()
}

// NextTick returns when Tick should be called next, zero for never.
func (q *Queue) NextTick() time.Time {
	var next time.Time
	if len(q.byDeadline) > 0 {
		next = q.byDeadline[0].Deadline
	}
	if q.level > wasabistand.Low && q.hasSpareCapacity() && (next.IsZero() || q.lowerLevelAt.Before(next)) {
		next = q.lowerLevelAt
	}
	return next
}

// Load returns the admission level, the limit and the number of running and
// waiting calls.
func (q *Queue) Load() wasabistand.Load {
	return wasabistand.Load{
		Level:           q.level,
		DownstreamLevel: wasabistand.Low,
		Running:         q.runningCount,
		Waiting:         q.waitingCount,
		Limit:           q.limit,
	}
}

// String returns a summary of the queue.
func (q *Queue) String() string {
	return fmt.Sprintf("wasabiadmission.Queue(level=%s running=%d waiting=%d limit=%d)",
		q.level, q.runningCount, q.waitingCount, q.limit)
}

// beginBatch starts a batch of decisions, lowers the admission level and
// refuses waiting calls whose deadline has passed.
func (q *Queue) beginBatch(now time.Time) {
	if cap(q.decisions)-len(q.decisions) < decisionBufferSize/16 {
		q.decisions = make([]wasabistand.Decision, 0, decisionBufferSize)
	}
	q.batchStart = len(q.decisions)
	q.lowerLevel(now)
	for len(q.byDeadline) > 0 && !now.Before(q.byDeadline[0].Deadline) {
		c := q.byDeadline[0]
		q.remove(c)
		q.refuseForLoad(now, c.ID, c.Importance, wasabistand.ReasonDeadline)
		q.release(c)
	}
}

// endBatch returns the decisions since beginBatch. It limits the capacity of
// the slice, so that later batches cannot overwrite it.
func (q *Queue) endBatch() []wasabistand.Decision {
	if len(q.decisions) == q.batchStart {
		return nil
	}
	return q.decisions[q.batchStart:len(q.decisions):len(q.decisions)]
}

// enqueue queues a call, or refuses it if the queue is full or its estimated
// wait exceeds slack, the remaining time minus the service time.
func (q *Queue) enqueue(now time.Time, t wasabistand.Ticket, slack time.Duration) {
	i := t.Importance
	minWait, expectedWait := q.estimateWait(now, i)
	// Preempts once the wait exceeds half of the slack, since the wait is an
	// estimate and a cancelled call needs time to end.
	preempted := q.options.preempt && expectedWait > slack/2 && q.preempt(now, i)
	if minWait > slack && !preempted {
		q.refuseForLoad(now, t.ID, i, wasabistand.ReasonDeadline)
		return
	}
	if q.waitingCount >= q.options.queueLimit {
		victim := q.displacementVictim(t)
		if victim == nil {
			q.refuseForLoad(now, t.ID, i, wasabistand.ReasonQueueFull)
			return
		}
		q.remove(victim)
		q.refuseForLoad(now, victim.ID, victim.Importance, wasabistand.ReasonDisplaced)
		q.release(victim)
	}
	q.push(q.newCall(t))
}

// displacementVictim returns the waiting call to displace for a new one, nil
// if there is none. It is the last in order of the lowest importance, if that
// is below the new call's, or else the last of the caller with the most waiting
// calls of the same importance, if it has at least two more than the new call's
// caller. Otherwise one caller that retries quickly would fill the whole queue.
func (q *Queue) displacementVictim(t wasabistand.Ticket) *call {
	for i := wasabistand.Low; i < t.Importance; i++ {
		if q.waiting[i] > 0 {
			return q.accounts.lastCall(i)
		}
	}
	a := q.accounts.mostWaiting(t.Importance)
	if a == nil || len(a.waiting[t.Importance]) < q.accounts.waitingCount(t.Caller, t.Importance)+2 {
		return nil
	}
	return a.waiting[t.Importance][0]
}

// finish removes a waiting or running call and dispatches waiting calls to the
// freed slot.
func (q *Queue) finish(now time.Time, c *call, service time.Duration, sample bool) {
	if c.runningIndex < 0 {
		q.remove(c)
		q.release(c)
		return
	}
	if sample {
		q.serviceTimes[c.Importance].add(now, service)
		q.serviceTimes[0].add(now, service)
	}
	c.account.servedTime += service - c.charged
	if c.preempted {
		q.preemptedRunning--
	}
	list := q.running[c.Importance]
	last := list[len(list)-1]
	list[c.runningIndex], last.runningIndex = last, c.runningIndex
	list[len(list)-1] = nil
	q.running[c.Importance] = list[:len(list)-1]
	q.runningCount--
	q.release(c)
	q.dispatch(now)
}

// dispatch admits waiting calls to free slots in order. A call that can no
// longer meet its deadline is refused instead of wasting a slot.
func (q *Queue) dispatch(now time.Time) {
	for q.waitingCount > 0 && q.runningCount < q.limit {
		c := q.nextWaiting()
		q.remove(c)
		if q.runningCount > 0 && c.Deadline.Sub(now) < q.expectedServiceTime(now, c.Importance) {
			q.refuseForLoad(now, c.ID, c.Importance, wasabistand.ReasonDeadline)
			q.release(c)
			continue
		}
		q.admit(now, c)
	}
}

// nextWaiting returns the waiting call to admit next.
func (q *Queue) nextWaiting() *call {
	for i := wasabistand.Critical; ; i-- {
		if q.waiting[i] > 0 {
			return q.accounts.nextCall(i)
		}
	}
}

func (q *Queue) admit(now time.Time, c *call) {
	a := c.account
	q.accounts.virtualTime = a.servedTime
	c.started = now
	c.charged = max(q.expectedServiceTime(now, c.Importance), minCharge)
	a.servedTime += c.charged
	c.runningIndex = len(q.running[c.Importance])
	q.running[c.Importance] = append(q.running[c.Importance], c)
	q.runningCount++
	q.emit(wasabistand.Decision{ID: c.ID, Verdict: wasabistand.Admit})
}

// preempt cancels the running call of the lowest importance below i that
// started last, and so loses the least work, to free a slot for a call of
// importance i. It reports whether a slot is being freed.
func (q *Queue) preempt(now time.Time, i wasabistand.Importance) bool {
	needed := 1
	for j := i; j <= wasabistand.Critical; j++ {
		needed += q.waiting[j]
	}
	if q.preemptedRunning >= needed {
		return true
	}
	for j := wasabistand.Low; j < i; j++ {
		var victim *call
		for _, c := range q.running[j] {
			if c.Cancellable && !c.preempted &&
				(victim == nil || c.started.After(victim.started)) {
				victim = c
			}
		}
		if victim != nil {
			victim.preempted = true
			q.preemptedRunning++
			q.emit(wasabistand.Decision{
				ID: victim.ID, Verdict: wasabistand.Preempt,
				Reason: wasabistand.ReasonPreempted, RetryAfter: q.retryAfter(now, j),
			})
			q.raiseLevel(now, j)
			// Without preemption the call of higher importance would have been
			// refused, so the level is held as after a refusal.
			q.lowerLevelAt = now.Add(q.options.levelHold)
			return true
		}
	}
	return false
}

func (q *Queue) push(c *call) {
	q.accounts.push(c)
	q.waiting[c.Importance]++
	q.waitingCount++
	heap.Push(&q.byDeadline, c)
}

func (q *Queue) remove(c *call) {
	heap.Remove(&q.byDeadline, c.heapIndex)
	q.accounts.remove(c)
	q.waiting[c.Importance]--
	q.waitingCount--
}

// newCall registers a call that is neither waiting nor running yet.
func (q *Queue) newCall(t wasabistand.Ticket) *call {
	var c *call
	if n := len(q.freeCalls); n > 0 {
		c, q.freeCalls = q.freeCalls[n-1], q.freeCalls[:n-1]
	} else {
		c = new(call)
	}
	*c = call{Ticket: t, account: q.accounts.open(t.Caller), runningIndex: -1}
	c.account.calls++
	q.calls[t.ID] = c
	return c
}

// release removes a call that is neither waiting nor running, and keeps its
// memory for reuse.
func (q *Queue) release(c *call) {
	delete(q.calls, c.ID)
	q.accounts.close(c.account)
	*c = call{}
	q.freeCalls = append(q.freeCalls, c)
}

func (q *Queue) emit(d wasabistand.Decision) { q.decisions = append(q.decisions, d) }
