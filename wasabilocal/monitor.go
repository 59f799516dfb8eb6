package wasabilocal

import (
	"fmt"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// levelHoldTime is how long admission holds an admission level after the last
// refusal for load. The level then falls one step at a time.
const levelHoldTime = 200 * time.Millisecond

// maxViolations is the maximum number of violations that are kept as text.
const maxViolations = 20

// Monitor checks invariants while a system runs: it counts the retries of each
// request and observes every decision of each admission in order. It is safe for
// concurrent use.
type Monitor struct {
	mu             sync.Mutex
	retries        map[string]int
	reasons        map[wasabistand.Reason]int
	violations     []string
	violationCount int
	lastOffers     map[string]time.Time
}

var _ wasabistand.Recorder = (*Monitor)(nil)

// NewMonitor returns a monitor without observations.
func NewMonitor() *Monitor {
	return &Monitor{retries: map[string]int{}, reasons: map[wasabistand.Reason]int{}, lastOffers: map[string]time.Time{}}
}

// Record implements wasabistand.Recorder.
func (m *Monitor) Record(e wasabistand.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch e.Kind {
	case wasabistand.EventCallRetried:
		m.retries[e.RequestID]++
	case wasabistand.EventCallRefused, wasabistand.EventCallUnknown:
		if len(e.Fields) > 0 && e.Fields[0].Name == wasabistand.EventFieldAt {
			m.reasons[e.Reason]++
		}
	}
}

// Retries returns the number of retries of all requests, and the maximum for one
// request.
func (m *Monitor) Retries() (sum, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.retries {
		sum, most = sum+n, max(most, n)
	}
	return sum, most
}

// Reasons returns how many calls were refused, or ended with an unknown outcome,
// at their entry node, by reason.
func (m *Monitor) Reasons() map[wasabistand.Reason]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[wasabistand.Reason]int{}
	for r, n := range m.reasons {
		out[r] = n
	}
	return out
}

// Violations returns how many decisions violated the order of importance, and
// descriptions of the first ones.
func (m *Monitor) Violations() (int, []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.violationCount, m.violations
}

// LastOffer returns when an instance was last offered a call.
func (m *Monitor) LastOffer(instance string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastOffers[instance]
}

// String names the implementation.
func (m *Monitor) String() string { return "watch" }

// Admission returns an admission that wraps a and checks its decisions.
func (m *Monitor) Admission(instance string, a wasabistand.Admission) wasabistand.Admission {
	return &monitoredAdmission{Admission: a, monitor: m, instance: instance, tickets: map[wasabistand.TicketID]wasabistand.Ticket{}}
}

// monitoredAdmission is an admission whose decisions are checked. Its owner
// serializes calls.
type monitoredAdmission struct {
	wasabistand.Admission
	monitor  *Monitor
	instance string
	// tickets holds the calls that are queued or running.
	tickets map[wasabistand.TicketID]wasabistand.Ticket
	// lastRefused is the time of the last refusal for load, by importance.
	lastRefused [wasabistand.Importances + 1]time.Time
}

// Offer implements wasabistand.Admission.
func (a *monitoredAdmission) Offer(now time.Time, t wasabistand.Ticket) []wasabistand.Decision {
	a.monitor.mu.Lock()
	a.monitor.lastOffers[a.instance] = now
	a.monitor.mu.Unlock()
	a.tickets[t.ID] = t
	return a.check(now, t.ID, a.Admission.Offer(now, t))
}

// Done implements wasabistand.Admission.
func (a *monitoredAdmission) Done(now time.Time, id wasabistand.TicketID, service time.Duration) []wasabistand.Decision {
	delete(a.tickets, id)
	return a.check(now, 0, a.Admission.Done(now, id, service))
}

// Cancel implements wasabistand.Admission.
func (a *monitoredAdmission) Cancel(now time.Time, id wasabistand.TicketID) []wasabistand.Decision {
	delete(a.tickets, id)
	return a.check(now, 0, a.Admission.Cancel(now, id))
}

// SetLimit implements wasabistand.Admission.
func (a *monitoredAdmission) SetLimit(now time.Time, limit int) []wasabistand.Decision {
	return a.check(now, 0, a.Admission.SetLimit(now, limit))
}

// Tick implements wasabistand.Admission.
func (a *monitoredAdmission) Tick(now time.Time) []wasabistand.Decision {
	return a.check(now, 0, a.Admission.Tick(now))
}

// check processes decisions in order. A call is refused for load when the queue
// was full, when a call of higher importance displaced it, when its importance
// is below the admission level, or when its deadline passed while it was queued.
// A refusal for the deadline at the time of the offer is ignored, because the
// call might have missed its deadline on an idle upstream, too.
func (a *monitoredAdmission) check(now time.Time, offered wasabistand.TicketID, list []wasabistand.Decision) []wasabistand.Decision {
	for _, d := range list {
		t, ok := a.tickets[d.ID]
		if !ok || !t.Importance.Valid() {
			continue
		}
		switch d.Verdict {
		case wasabistand.Admit:
			for j := t.Importance + 1; j <= wasabistand.Critical; j++ {
				if at := a.lastRefused[j]; !at.IsZero() && now.Sub(at) < time.Duration(j-t.Importance)*levelHoldTime {
					a.monitor.recordViolation("%s admitted %s %v after it refused %s for load", a.instance, t.Importance, now.Sub(at), j)
				}
			}
		case wasabistand.Refuse:
			if d.Reason != wasabistand.ReasonDeadline || d.ID != offered {
				a.lastRefused[t.Importance] = now
			}
			delete(a.tickets, d.ID)
		}
	}
	return list
}

func (m *Monitor) recordViolation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.violationCount++; len(m.violations) < maxViolations {
		m.violations = append(m.violations, fmt.Sprintf(format, args...))
	}
}
