package wasabiadmission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiadmission"
)

var start = time.Unix(1_700_000_000, 0)

const (
	ms = time.Millisecond
	// longTimeout is a timeout that never expires in these tests.
	longTimeout = time.Minute
)

func ticket(id int, i wasabistand.Importance, timeout time.Duration) wasabistand.Ticket {
	return wasabistand.Ticket{
		ID: wasabistand.TicketID(id), Caller: "crew", Importance: i, Deadline: start.Add(timeout),
	}
}

func ExampleQueue() {
	q := wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(1).WithQueueLimit(1))
	show := func(list []wasabistand.Decision) {
		for _, d := range list {
			fmt.Printf("%d %s %q\n", d.ID, d.Verdict, d.Reason)
		}
	}
	show(q.Offer(start, ticket(1, wasabistand.Low, longTimeout)))
	show(q.Offer(start, ticket(2, wasabistand.Low, longTimeout)))
	show(q.Offer(start, ticket(3, wasabistand.High, longTimeout)))
	show(q.Done(start.Add(20*ms), 1, 20*ms))
	// Output:
	// 1 admit ""
	// 2 refuse "displaced"
	// 3 admit ""
}

// oracle checks the strict order of importance from the offered calls and the
// decisions alone.
type oracle struct {
	t       *rapid.T
	q       *wasabiadmission.Queue
	now     time.Time
	waiting map[wasabistand.TicketID]wasabistand.Ticket
	running map[wasabistand.TicketID]wasabistand.Ticket
	// floor is the highest importance refused for load since the level last
	// fell.
	floor   wasabistand.Importance
	refused time.Time
	// lastWaiting is when a call was last waiting.
	lastWaiting time.Time
	limit       int
	queue       int
}

// serviceTime is the same for all calls, so that the oracle can tell which
// calls could not meet their deadline even with a free slot.
const serviceTime = 20 * ms

func (o *oracle) tick() {
	before := o.q.Load().Level
	list := o.q.Tick(o.now)
	level := o.q.Load().Level
	if level < before {
		// The level falls only when no call waits, so the same Tick cannot
		// refuse any.
		assert.Equal(o.t, len(list), 0)
		assert.Assert(o.t, o.refused.IsZero() || o.now.Sub(o.refused) >= 200*ms,
			"level fell %s after a refusal", o.now.Sub(o.refused))
		steps := 1 + int(o.now.Sub(o.lastWaiting)/(200*ms))
		assert.Assert(o.t, int(before-level) <= steps, "level fell %d steps", before-level)
	}
	o.floor = min(o.floor, level)
	o.check(list, wasabistand.Ticket{})
}

func (o *oracle) check(list []wasabistand.Decision, offered wasabistand.Ticket) {
	highest := wasabistand.Importance(0)
	for _, d := range list {
		c, waited := o.waiting[d.ID]
		if !waited {
			c = offered
		}
		switch d.Verdict {
		case wasabistand.Admit:
			assert.Equal(o.t, c.ID, d.ID, "admitted call is unknown")
			assert.Assert(o.t, c.Importance >= o.floor,
				"%s admitted after a refusal of %s", c.Importance, o.floor)
			for _, w := range o.waiting {
				assert.Assert(o.t, w.Importance <= c.Importance, "%s admitted before %s", c.Importance, w.Importance)
			}
			o.running[d.ID] = c
		case wasabistand.Refuse:
			assert.Equal(o.t, c.ID, d.ID, "refused call is unknown")
			assert.Assert(o.t, d.RetryAfter >= 50*ms && d.RetryAfter <= 5*time.Second)
			infeasible := !waited && c.Deadline.Sub(o.now) < serviceTime && d.Reason == wasabistand.ReasonDeadline
			if !infeasible {
				highest = max(highest, c.Importance)
				o.floor = max(o.floor, c.Importance)
				if d.Reason != wasabistand.ReasonLevel {
					o.refused = o.now
				}
			}
		case wasabistand.Preempt:
			c, ran := o.running[d.ID]
			assert.Assert(o.t, ran && c.Cancellable)
			highest = max(highest, c.Importance)
			o.floor = max(o.floor, c.Importance)
			o.refused = o.now
		}
		if d.Verdict != wasabistand.Preempt {
			delete(o.waiting, d.ID)
			if d.ID == offered.ID {
				offered = wasabistand.Ticket{}
			}
		}
	}
	if offered.ID != 0 {
		o.waiting[offered.ID] = offered
	}
	for _, w := range o.waiting {
		assert.Assert(o.t, w.Importance >= highest, "%s waits after a refusal of %s", w.Importance, highest)
		assert.Assert(o.t, w.Deadline.After(o.now), "call waits beyond its deadline")
	}
	if len(o.waiting) > 0 {
		o.lastWaiting = o.now
	}
	l := o.q.Load()
	assert.Assert(o.t, l.Level >= o.floor, "level %s after a refusal of %s", l.Level, o.floor)
	assert.Equal(o.t, l.Running, len(o.running))
	assert.Equal(o.t, l.Waiting, len(o.waiting))
	assert.Assert(o.t, len(o.waiting) <= o.queue)
	assert.Assert(o.t, len(o.waiting) == 0 || len(o.running) >= o.limit, "call waits while a slot is free")
	if next := o.q.NextTick(); len(o.waiting) > 0 {
		assert.Assert(o.t, !next.IsZero())
		for _, w := range o.waiting {
			assert.Assert(o.t, !next.After(w.Deadline))
		}
	}
}

// pick draws one of the calls in a set, in order of ID so that runs can be
// reproduced.
func (o *oracle) pick(set map[wasabistand.TicketID]wasabistand.Ticket, last int) (wasabistand.TicketID, bool) {
	var ids []wasabistand.TicketID
	for id := range last + 1 {
		if _, ok := set[wasabistand.TicketID(id)]; ok {
			ids = append(ids, wasabistand.TicketID(id))
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(o.t, "id"), true
}

// Guards against a call being refused for load while a call of lower
// importance waits, or while one is admitted before the level falls. Also
// guards against lost or duplicate decisions, a queue beyond its limit and
// idle slots.
func TestStrictOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		queue := rapid.IntRange(0, 6).Draw(t, "queue")
		o := &oracle{
			t: t, now: start, lastWaiting: start, limit: limit, queue: queue,
			waiting: make(map[wasabistand.TicketID]wasabistand.Ticket),
			running: make(map[wasabistand.TicketID]wasabistand.Ticket),
			q: wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(limit).WithQueueLimit(queue).
				WithMaxCallers(2).WithPreempt(rapid.Bool().Draw(t, "preempt"))),
		}
		// One completed call sets the service time estimate that the oracle
		// assumes.
		o.q.Offer(o.now, ticket(1_000_000, wasabistand.Low, longTimeout))
		o.q.Done(o.now, 1_000_000, serviceTime)
		last := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			o.now = o.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 20, 90}).Draw(t, "ms")) * ms)
			o.tick()
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2, 3, 4:
				last++
				c := wasabistand.Ticket{
					ID:          wasabistand.TicketID(last),
					Caller:      rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "caller"),
					Importance:  wasabistand.Importance(rapid.IntRange(1, 4).Draw(t, "importance")),
					Deadline:    o.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "patience")) * ms),
					Cancellable: rapid.Bool().Draw(t, "cancellable"),
				}
				o.check(o.q.Offer(o.now, c), c)
			case 5, 6, 7:
				if id, ok := o.pick(o.running, last); ok {
					delete(o.running, id)
					o.check(o.q.Done(o.now, id, serviceTime), wasabistand.Ticket{})
				}
			case 8:
				// Cancelling a running call may raise the service time
				// estimate that the oracle assumes, so only waiting calls are
				// cancelled.
				if id, ok := o.pick(o.waiting, last); ok {
					delete(o.waiting, id)
					o.check(o.q.Cancel(o.now, id), wasabistand.Ticket{})
				}
			case 9:
				o.limit = rapid.IntRange(1, 4).Draw(t, "new limit")
				o.check(o.q.SetLimit(o.now, o.limit), wasabistand.Ticket{})
			}
		}
		// Once the load ends, the level must return to Low through Tick alone.
		for range 2000 {
			// As above, the level falls only in a Tick that the oracle checks.
			o.tick()
			next := o.q.NextTick()
			if id, ok := o.pick(o.running, last); ok {
				delete(o.running, id)
				o.check(o.q.Done(o.now, id, serviceTime), wasabistand.Ticket{})
			} else if next.IsZero() {
				break
			} else if next.After(o.now) {
				o.now = next
			}
		}
		assert.DeepEqual(t, o.q.Load(), wasabistand.Load{
			Level: wasabistand.Low, DownstreamLevel: wasabistand.Low, Limit: o.limit,
		})
	})
}
