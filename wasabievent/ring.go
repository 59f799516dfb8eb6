package wasabievent

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Ring is a ring buffer of the latest events of one process. It is safe for
// concurrent use.
type Ring struct {
	instance string
	clock    *Clock
	mu       sync.Mutex
	events   []wasabistand.Event
	next     int
	total    uint64
}

// NewRing returns a ring that holds at most capacity events. instance and c set
// the instance and the time of events that are recorded without them.
func NewRing(instance string, capacity int, c *Clock) *Ring {
	return &Ring{instance: instance, clock: c, events: make([]wasabistand.Event, 0, max(capacity, 1))}
}

// Record implements wasabistand.Recorder.
func (r *Ring) Record(e wasabistand.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Time == (wasabistand.HybridTime{}) {
		e.Time = r.clock.Now()
	}
	if e.Instance == "" {
		e.Instance = r.instance
	}
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Filter selects events. Zero fields match any event.
type Filter struct {
	RequestID string
	Instance  string
	Service   string
	Kinds     []wasabistand.EventKind
	From, To  time.Time
	// Limit bounds the number of events; the newest are kept.
	Limit int
}

// Match reports whether the filter selects an event. It ignores Limit.
func (f Filter) Match(e wasabistand.Event) bool {
	at := e.Time.Time()
	return (f.RequestID == "" || f.RequestID == e.RequestID) &&
		(f.Instance == "" || f.Instance == e.Instance) &&
		(f.Service == "" || f.Service == e.Service) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind)) &&
		(f.From.IsZero() || !at.Before(f.From)) &&
		(f.To.IsZero() || !at.After(f.To))
}

// List returns the selected events in the order of recording, and the number of
// events of any kind that the ring has overwritten.
func (r *Ring) List(f Filter) (list []wasabistand.Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; f.Match(e) {
			list = append(list, e)
		}
	}
	if f.Limit > 0 && len(list) > f.Limit {
		list = list[len(list)-f.Limit:]
	}
	return list, r.total - uint64(len(r.events))
}

// String returns the name of the implementation.
func (r *Ring) String() string { return "ring" }

// Merge returns the events of several processes sorted by hybrid time, which
// preserves causal order.
func Merge(lists ...[]wasabistand.Event) []wasabistand.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b wasabistand.Event) int { return a.Time.Compare(b.Time) })
	return all
}
