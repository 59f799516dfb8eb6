package wasabiadmission

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// Queue implements wasabistand.Admission.
type Queue struct {
	options Options
	limit   int
	running map[wasabistand.TicketID]bool
}

var _ wasabistand.Admission = (*Queue)(nil)

// New returns an empty queue.
func New(o Options) *Queue {
	return &Queue{options: o, limit: o.limit, running: make(map[wasabistand.TicketID]bool)}
}

// Offer asks to run a call.
func (q *Queue) Offer(_ time.Time, t wasabistand.Ticket) []wasabistand.Decision {
	if len(q.running) >= q.limit {
		return []wasabistand.Decision{{
			ID: t.ID, Verdict: wasabistand.Refuse,
			Reason: wasabistand.ReasonQueueFull, RetryAfter: 50 * time.Millisecond,
		}}
	}
	q.running[t.ID] = true
	return []wasabistand.Decision{{ID: t.ID, Verdict: wasabistand.Admit}}
}

// Done frees the slot of an admitted call.
func (q *Queue) Done(_ time.Time, id wasabistand.TicketID, _ time.Duration) []wasabistand.Decision {
	delete(q.running, id)
	return nil
}

// Cancel frees the slot of an admitted call.
func (q *Queue) Cancel(_ time.Time, id wasabistand.TicketID) []wasabistand.Decision {
	delete(q.running, id)
	return nil
}

// SetLimit changes how many calls may run at once.
func (q *Queue) SetLimit(_ time.Time, limit int) []wasabistand.Decision {
	q.limit = max(limit, 1)
	return nil
}

// Tick does nothing yet.
func (q *Queue) Tick(time.Time) []wasabistand.Decision { return nil }

// Next returns zero for never.
func (q *Queue) Next() time.Time { return time.Time{} }

// Load returns the occupancy.
func (q *Queue) Load() wasabistand.Load {
	return wasabistand.Load{Level: wasabistand.Low, Running: len(q.running), Limit: q.limit}
}

// String names the implementation.
func (q *Queue) String() string { return "wasabiadmission.Queue" }
