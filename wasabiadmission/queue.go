package wasabiadmission

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Bounds of the time after which a refused call may come again. The estimate
// is coarse: below 50 ms callers would spin, above 5 s they would idle after
// the overload has ended.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// chunkDecisions is how many decisions share one allocation.
const chunkDecisions = 256

// classes is the size of arrays that are indexed by importance.
const classes = wasabistand.Importances + 1

// Queue implements wasabistand.Admission. Its owner serializes calls. Returned
// decisions are never changed later, so they may be used after the owner has
// released its lock. Ticket identities must be unique among the calls that
// wait or run; a repeated one is ignored. A zero deadline means none.
type Queue struct {
	options Options
	limit   int
	level   wasabistand.Importance
	// fallAt is the earliest time at which the level falls a step.
	fallAt time.Time

	calls    map[wasabistand.TicketID]*call
	freed    []*call
	waiting  [classes]int
	waits    int
	deadline deadlines
	running  [classes][]*call
	runs     int
	// ending is how many preempted calls still hold their slot.
	ending int

	accounts accounts
	service  [classes]estimate

	chunk []wasabistand.Decision
	first int
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

// Offer asks to run a call.
func (q *Queue) Offer(now time.Time, t wasabistand.Ticket) []wasabistand.Decision {
	q.begin(now)
	if _, known := q.calls[t.ID]; known {
		return q.end()
	}
	t.Importance = min(max(t.Importance, wasabistand.Low), wasabistand.Critical)
	i := t.Importance
	if t.Deadline.IsZero() {
		t.Deadline = now.Add(noDeadline)
	}
	remaining, own := t.Deadline.Sub(now), q.expected(now, i)
	switch {
	case i < q.level:
		q.refuse(now, t.ID, i, wasabistand.ReasonLevel)
	case remaining <= 0, remaining < own && q.runs > 0:
		// No free slot would help, so this says nothing of load. An idle
		// upstream runs the call, or a wrong estimate would never be corrected.
		q.refuse(now, t.ID, i, wasabistand.ReasonDeadline)
	case q.runs < q.limit:
		q.admit(now, q.newCall(t))
	default:
		q.enqueue(now, t, remaining-own)
	}
	return q.end()
}

// Done frees the slot of an admitted call. A service of zero stands for the
// time since it was admitted.
func (q *Queue) Done(now time.Time, id wasabistand.TicketID, service time.Duration) []wasabistand.Decision {
	q.begin(now)
	if c, ok := q.calls[id]; ok {
		if c.position >= 0 && service <= 0 {
			service = now.Sub(c.started)
		}
		q.finish(now, c, service, true)
	}
	return q.end()
}

// Cancel removes a waiting call, or frees the slot of an admitted one.
func (q *Queue) Cancel(now time.Time, id wasabistand.TicketID) []wasabistand.Decision {
	q.begin(now)
	if c, ok := q.calls[id]; ok {
		// A call that was cut off would have taken longer, so it counts only
		// when it raises the estimate. Without it, an upstream that became
		// too slow for every caller would keep its old estimate.
		service := now.Sub(c.started)
		q.finish(now, c, service, service > q.expected(now, c.Importance))
	}
	return q.end()
}

// SetLimit changes how many calls may run at once, at least 1.
func (q *Queue) SetLimit(now time.Time, limit int) []wasabistand.Decision {
	q.begin(now)
	q.limit = max(limit, 1)
	q.dispatch(now)
	return q.end()
}

// Tick refuses waiting calls whose patience ran out and lowers the level.
func (q *Queue) Tick(now time.Time) []wasabistand.Decision {
	q.begin(now)
	return q.end()
}

// Next returns when Tick should be called next, zero for never.
func (q *Queue) Next() time.Time {
	var next time.Time
	if len(q.deadline) > 0 {
		next = q.deadline[0].Deadline
	}
	if q.level > wasabistand.Low && q.calm() && (next.IsZero() || q.fallAt.Before(next)) {
		next = q.fallAt
	}
	return next
}

// Load returns the level and the occupancy.
func (q *Queue) Load() wasabistand.Load {
	return wasabistand.Load{
		Level:      q.level,
		LevelBelow: wasabistand.Low,
		Running:    q.runs,
		Waiting:    q.waits,
		Limit:      q.limit,
	}
}

// String names the implementation.
func (q *Queue) String() string {
	return fmt.Sprintf("wasabiadmission.Queue(level=%s running=%d waiting=%d limit=%d)",
		q.level, q.runs, q.waits, q.limit)
}

// begin opens a batch of decisions and applies what time alone decides.
func (q *Queue) begin(now time.Time) {
	if cap(q.chunk)-len(q.chunk) < chunkDecisions/16 {
		q.chunk = make([]wasabistand.Decision, 0, chunkDecisions)
	}
	q.first = len(q.chunk)
	q.lower(now)
	for len(q.deadline) > 0 && !now.Before(q.deadline[0].Deadline) {
		c := q.deadline[0]
		q.remove(c)
		q.refuseLoad(now, c.ID, c.Importance, wasabistand.ReasonDeadline)
		q.release(c)
	}
}

// end closes the batch. The capacity is cut, so that no later batch writes
// into a returned one.
func (q *Queue) end() []wasabistand.Decision {
	if len(q.chunk) == q.first {
		return nil
	}
	return q.chunk[q.first:len(q.chunk):len(q.chunk)]
}

// enqueue lets a call wait whose deadline leaves slack beyond its own service
// time, or refuses it.
func (q *Queue) enqueue(now time.Time, t wasabistand.Ticket, slack time.Duration) {
	i := t.Importance
	least, likely := q.wait(now, i)
	// Half of the slack is kept, since the wait is an estimate and a
	// cancelled call needs time to end.
	preempted := q.options.preempt && likely > slack/2 && q.preempt(now, i)
	if least > slack && !preempted {
		q.refuseLoad(now, t.ID, i, wasabistand.ReasonDeadline)
		return
	}
	if q.waits >= q.options.queueLimit {
		victim := q.displaceable(t)
		if victim == nil {
			q.refuseLoad(now, t.ID, i, wasabistand.ReasonQueueFull)
			return
		}
		q.remove(victim)
		q.refuseLoad(now, victim.ID, victim.Importance, wasabistand.ReasonDisplaced)
		q.release(victim)
	}
	q.push(q.newCall(t))
}

// displaceable returns the waiting call that makes room for a new one, nil
// for none: the last in order of a lower importance, or else the last of a
// caller that has at least two more of the same importance waiting. Without
// the latter, one caller that resends quickly would hold the whole queue.
func (q *Queue) displaceable(t wasabistand.Ticket) *call {
	for i := wasabistand.Low; i < t.Importance; i++ {
		if q.waiting[i] > 0 {
			return q.accounts.last(i)
		}
	}
	a := q.accounts.longest(t.Importance)
	if a == nil || len(a.lines[t.Importance]) < q.accounts.waiting(t.Caller, t.Importance)+2 {
		return nil
	}
	return a.lines[t.Importance][0]
}

// finish ends a call, whether it waits or runs, and fills its slot.
func (q *Queue) finish(now time.Time, c *call, service time.Duration, sample bool) {
	if c.position < 0 {
		q.remove(c)
		q.release(c)
		return
	}
	if sample {
		q.service[c.Importance].add(now, service)
		q.service[0].add(now, service)
	}
	c.account.served += service - c.charged
	if c.preempted {
		q.ending--
	}
	list := q.running[c.Importance]
	last := list[len(list)-1]
	list[c.position], last.position = last, c.position
	list[len(list)-1] = nil
	q.running[c.Importance] = list[:len(list)-1]
	q.runs--
	q.release(c)
	q.dispatch(now)
}

// dispatch fills free slots in order. A call that no longer has the time to
// be served is refused instead of wasting the slot.
func (q *Queue) dispatch(now time.Time) {
	for q.waits > 0 && q.runs < q.limit {
		c := q.next()
		q.remove(c)
		if q.runs > 0 && c.Deadline.Sub(now) < q.expected(now, c.Importance) {
			q.refuseLoad(now, c.ID, c.Importance, wasabistand.ReasonDeadline)
			q.release(c)
			continue
		}
		q.admit(now, c)
	}
}

// next returns the first waiting call in order.
func (q *Queue) next() *call {
	for i := wasabistand.Critical; ; i-- {
		if q.waiting[i] > 0 {
			return q.accounts.first(i)
		}
	}
}

func (q *Queue) admit(now time.Time, c *call) {
	a := c.account
	q.accounts.virtual = a.served
	c.started = now
	c.charged = max(q.expected(now, c.Importance), minCharge)
	a.served += c.charged
	c.position = len(q.running[c.Importance])
	q.running[c.Importance] = append(q.running[c.Importance], c)
	q.runs++
	q.emit(wasabistand.Decision{ID: c.ID, Verdict: wasabistand.Admit})
}

// preempt asks to cancel the least important running call, and among those
// the one that lost the least work, in favour of a call of importance i.
func (q *Queue) preempt(now time.Time, i wasabistand.Importance) bool {
	above := 1
	for j := i; j <= wasabistand.Critical; j++ {
		above += q.waiting[j]
	}
	if q.ending >= above {
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
			q.ending++
			q.emit(wasabistand.Decision{
				ID: victim.ID, Verdict: wasabistand.Preempt,
				Reason: wasabistand.ReasonPreempted, RetryAfter: q.retryAfter(now, j),
			})
			q.shed(now, j)
			// The more important call would have been refused otherwise, so
			// the level holds as it would have then.
			q.fallAt = now.Add(q.options.levelHold)
			return true
		}
	}
	return false
}

func (q *Queue) push(c *call) {
	q.accounts.push(c)
	q.waiting[c.Importance]++
	q.waits++
	heap.Push(&q.deadline, c)
}

func (q *Queue) remove(c *call) {
	heap.Remove(&q.deadline, c.heapIndex)
	q.accounts.remove(c)
	q.waiting[c.Importance]--
	q.waits--
}

// newCall returns a call that neither waits nor runs.
func (q *Queue) newCall(t wasabistand.Ticket) *call {
	var c *call
	if n := len(q.freed); n > 0 {
		c, q.freed = q.freed[n-1], q.freed[:n-1]
	} else {
		c = new(call)
	}
	*c = call{Ticket: t, account: q.accounts.open(t.Caller), position: -1}
	c.account.calls++
	q.calls[t.ID] = c
	return c
}

// release forgets a call that neither waits nor runs.
func (q *Queue) release(c *call) {
	delete(q.calls, c.ID)
	q.accounts.close(c.account)
	*c = call{}
	q.freed = append(q.freed, c)
}

func (q *Queue) emit(d wasabistand.Decision) { q.chunk = append(q.chunk, d) }
