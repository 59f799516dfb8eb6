package wasabilocal

import (
	"fmt"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// levelHold is how long admission keeps a level after the last refusal for
// load; the level then falls one step at a time.
const levelHold = 200 * time.Millisecond

// maxViolations bounds the violations that are kept as text.
const maxViolations = 20

// Watch checks invariants while a system runs: it counts the retries of each
// request and sees every decision of each admission in order. It is safe for
// concurrent use.
type Watch struct {
	mu         sync.Mutex
	retries    map[string]int
	reasons    map[wasabistand.Reason]int
	violations []string
	broken     int
	offers     map[string]time.Time
}

var _ wasabistand.Recorder = (*Watch)(nil)

// NewWatch returns a watch that has seen nothing.
func NewWatch() *Watch {
	return &Watch{retries: map[string]int{}, reasons: map[wasabistand.Reason]int{}, offers: map[string]time.Time{}}
}

// Record implements wasabistand.Recorder.
func (w *Watch) Record(e wasabistand.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch e.Kind {
	case wasabistand.EventCallRetried:
		w.retries[e.RequestID]++
	case wasabistand.EventCallRefused, wasabistand.EventCallUnknown:
		if len(e.Fields) > 0 && e.Fields[0].Name == "at" {
			w.reasons[e.Reason]++
		}
	}
}

// Retries returns how many retries all requests caused, and the most that one
// did.
func (w *Watch) Retries() (sum, most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.retries {
		sum, most = sum+n, max(most, n)
	}
	return sum, most
}

// Reasons returns how many calls were refused or lost where they entered, by
// reason.
func (w *Watch) Reasons() map[wasabistand.Reason]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[wasabistand.Reason]int{}
	for r, n := range w.reasons {
		out[r] = n
	}
	return out
}

// Violations returns how many decisions broke the order of importance, and a
// text for the first ones.
func (w *Watch) Violations() (int, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken, w.violations
}

// LastOffer returns when an instance was last offered a call.
func (w *Watch) LastOffer(instance string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.offers[instance]
}

// String names the implementation.
func (w *Watch) String() string { return "watch" }

// Admission returns an admission that checks the decisions of another one.
func (w *Watch) Admission(instance string, a wasabistand.Admission) wasabistand.Admission {
	return &watched{Admission: a, watch: w, instance: instance, tickets: map[wasabistand.TicketID]wasabistand.Ticket{}}
}

// watched is an admission under watch. Its owner serializes calls.
type watched struct {
	wasabistand.Admission
	watch    *Watch
	instance string
	// tickets holds the calls that wait or run.
	tickets map[wasabistand.TicketID]wasabistand.Ticket
	// refused is when a call of each importance was last refused for load.
	refused [wasabistand.Importances + 1]time.Time
}

// Offer implements wasabistand.Admission.
func (a *watched) Offer(now time.Time, t wasabistand.Ticket) []wasabistand.Decision {
	a.watch.mu.Lock()
	a.watch.offers[a.instance] = now
	a.watch.mu.Unlock()
	a.tickets[t.ID] = t
	return a.check(now, t.ID, a.Admission.Offer(now, t))
}

// Done implements wasabistand.Admission.
func (a *watched) Done(now time.Time, id wasabistand.TicketID, service time.Duration) []wasabistand.Decision {
	delete(a.tickets, id)
	return a.check(now, 0, a.Admission.Done(now, id, service))
}

// Cancel implements wasabistand.Admission.
func (a *watched) Cancel(now time.Time, id wasabistand.TicketID) []wasabistand.Decision {
	delete(a.tickets, id)
	return a.check(now, 0, a.Admission.Cancel(now, id))
}

// SetLimit implements wasabistand.Admission.
func (a *watched) SetLimit(now time.Time, limit int) []wasabistand.Decision {
	return a.check(now, 0, a.Admission.SetLimit(now, limit))
}

// Tick implements wasabistand.Admission.
func (a *watched) Tick(now time.Time) []wasabistand.Decision {
	return a.check(now, 0, a.Admission.Tick(now))
}

// check takes decisions in their order. A call is refused for load when the
// queue was full, when a more important call displaced it, when its
// importance is below the level, or when its patience ran out while it
// waited. A call that is refused for its patience at its offer may have been
// hopeless on an idle upstream, so it tells nothing.
func (a *watched) check(now time.Time, offered wasabistand.TicketID, list []wasabistand.Decision) []wasabistand.Decision {
	for _, d := range list {
		t, ok := a.tickets[d.ID]
		if !ok || !t.Importance.Valid() {
			continue
		}
		switch d.Verdict {
		case wasabistand.Admit:
			for j := t.Importance + 1; j <= wasabistand.Critical; j++ {
				if at := a.refused[j]; !at.IsZero() && now.Sub(at) < time.Duration(j-t.Importance)*levelHold {
					a.watch.violate("%s admitted %s %v after it refused %s for load", a.instance, t.Importance, now.Sub(at), j)
				}
			}
		case wasabistand.Refuse:
			if d.Reason != wasabistand.ReasonDeadline || d.ID != offered {
				a.refused[t.Importance] = now
			}
			delete(a.tickets, d.ID)
		}
	}
	return list
}

func (w *Watch) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken++; len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}
