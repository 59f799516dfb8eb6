package wasabilevel

import (
	"fmt"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Weights of one response in the moving share of responses that carry a level.
// The instances of a service differ: if the first response raised the level,
// one overloaded instance of 14 would close the whole service. While a level
// applies few responses arrive, so a response with a lower level has more
// weight.
const (
	riseWeight = 1.0 / 8
	fallWeight = 1.0 / 2
)

// evictionSample is the number of entries that are examined to evict one.
const evictionSample = 8

// entry holds the state of one kind of call.
type entry struct {
	kind wasabistand.CallKind
	// share is the weighted share of responses that carried at least the
	// level.
	share [wasabistand.Importances + 1]float64
	// confirmed is when a response last carried at least the level.
	confirmed [wasabistand.Importances + 1]time.Time
	observed  time.Time
	lastProbe time.Time
}

// Table implements wasabistand.Levels for a bounded number of kinds. It is not
// safe for concurrent use.
type Table struct {
	options        Options
	index          map[wasabistand.CallKind]int
	entries        []entry
	evictionCursor int
}

var _ wasabistand.Levels = (*Table)(nil)

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o, index: make(map[wasabistand.CallKind]int)}
}

// Observe records the level that a response carried for a kind of call. The
// first response of a kind sets the level alone; later ones are averaged with
// it.
func (t *Table) Observe(now time.Time, k wasabistand.CallKind, level wasabistand.Importance) {
	level = min(max(level, wasabistand.Low), wasabistand.Critical)
	e, isNew := t.entry(now, k)
	for l := wasabistand.Normal; l <= wasabistand.Critical; l++ {
		carried := 0.0
		if level >= l {
			carried = 1
			e.confirmed[l] = now
		}
		switch {
		case isNew:
			e.share[l] = carried
		case carried < e.share[l] && e.share[l] > 0.5:
			e.share[l] += (carried - e.share[l]) * fallWeight
		default:
			e.share[l] += (carried - e.share[l]) * riseWeight
		}
	}
	e.observed = now
}

// ShouldRefuse reports whether a call should be refused at the ingress. It
// lets one call of a refused kind pass per probe interval.
func (t *Table) ShouldRefuse(now time.Time, k wasabistand.CallKind, i wasabistand.Importance) bool {
	n, ok := t.index[k]
	if !ok {
		return false
	}
	e := &t.entries[n]
	if t.level(now, e) <= i {
		return false
	}
	if e.lastProbe.IsZero() || now.Sub(e.lastProbe) >= t.options.probeInterval {
		e.lastProbe = now
		return false
	}
	return true
}

// Level returns the level that applies to a kind of call, Low for none.
func (t *Table) Level(now time.Time, k wasabistand.CallKind) wasabistand.Importance {
	n, ok := t.index[k]
	if !ok {
		return wasabistand.Low
	}
	return t.level(now, &t.entries[n])
}

// Len returns the number of recorded kinds.
func (t *Table) Len() int { return len(t.entries) }

// String returns a summary of the table.
func (t *Table) String() string {
	return fmt.Sprintf("wasabilevel.Table(kinds=%d)", len(t.entries))
}

func (t *Table) level(now time.Time, e *entry) wasabistand.Importance {
	for l := wasabistand.Critical; l > wasabistand.Low; l-- {
		if e.share[l] > 0.5 && now.Sub(e.confirmed[l]) < t.options.expiry {
			return l
		}
	}
	return wasabistand.Low
}

// entry returns the entry of a kind, created if absent, and reports whether it
// has no recent response.
func (t *Table) entry(now time.Time, k wasabistand.CallKind) (*entry, bool) {
	n, ok := t.index[k]
	if ok {
		e := &t.entries[n]
		return e, now.Sub(e.observed) >= t.options.expiry
	}
	if len(t.entries) < t.options.maxKinds {
		n = len(t.entries)
		t.entries = append(t.entries, entry{})
	} else {
		n = t.evictionCandidate()
		delete(t.index, t.entries[n].kind)
	}
	t.entries[n] = entry{kind: k}
	t.index[k] = n
	return &t.entries[n], true
}

// evictionCandidate returns the index of the entry with the oldest response
// among the next few.
func (t *Table) evictionCandidate() int {
	best := t.evictionCursor
	for range min(evictionSample, len(t.entries)) {
		if t.entries[t.evictionCursor].observed.Before(t.entries[best].observed) {
			best = t.evictionCursor
		}
		t.evictionCursor = (t.evictionCursor + 1) % len(t.entries)
	}
	return best
}
