package wasabilevel

import (
	"fmt"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Weights of one answer in the share of answers that carry a level. Instances
// of one service differ: with a rise on the first answer, one overloaded
// instance of 14 would close the whole service. While a level is in force few
// answers arrive, so one that denies it counts more.
const (
	riseWeight = 1.0 / 8
	fallWeight = 1.0 / 2
)

// evictionProbes is how many kinds are examined to make room for a new one.
const evictionProbes = 8

// entry is what is known of one kind.
type entry struct {
	kind wasabistand.CallKind
	// share is the weighted share of answers that carried at least the level.
	share [wasabistand.Importances + 1]float64
	// confirmed is when an answer last carried at least the level.
	confirmed [wasabistand.Importances + 1]time.Time
	learned   time.Time
	probed    time.Time
}

// Table implements wasabistand.Levels for a bounded number of kinds. Its
// owner serializes calls.
type Table struct {
	options Options
	index   map[wasabistand.CallKind]int
	entries []entry
	hand    int
}

var _ wasabistand.Levels = (*Table)(nil)

// New returns a table without any level.
func New(o Options) *Table {
	return &Table{options: o, index: make(map[wasabistand.CallKind]int)}
}

// Learn records the level that an answer carried for a kind of call. The
// first answer of a kind decides alone; later ones are weighed against it.
func (t *Table) Learn(now time.Time, k wasabistand.CallKind, level wasabistand.Importance) {
	level = min(max(level, wasabistand.Low), wasabistand.Critical)
	e, fresh := t.entry(now, k)
	for l := wasabistand.Normal; l <= wasabistand.Critical; l++ {
		carried := 0.0
		if level >= l {
			carried = 1
			e.confirmed[l] = now
		}
		switch {
		case fresh:
			e.share[l] = carried
		case carried < e.share[l] && e.share[l] > 0.5:
			e.share[l] += (carried - e.share[l]) * fallWeight
		default:
			e.share[l] += (carried - e.share[l]) * riseWeight
		}
	}
	e.learned = now
}

// Refuse reports whether a call should be refused where it enters. It lets
// one call of a refused kind pass per probe interval.
func (t *Table) Refuse(now time.Time, k wasabistand.CallKind, i wasabistand.Importance) bool {
	n, ok := t.index[k]
	if !ok {
		return false
	}
	e := &t.entries[n]
	if t.level(now, e) <= i {
		return false
	}
	if e.probed.IsZero() || now.Sub(e.probed) >= t.options.probeEvery {
		e.probed = now
		return false
	}
	return true
}

// Level returns the level in force for a kind of call, Low for none.
func (t *Table) Level(now time.Time, k wasabistand.CallKind) wasabistand.Importance {
	n, ok := t.index[k]
	if !ok {
		return wasabistand.Low
	}
	return t.level(now, &t.entries[n])
}

// Len returns how many kinds are remembered.
func (t *Table) Len() int { return len(t.entries) }

// String names the implementation.
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

// entry returns the entry of a kind and whether nothing recent is known of it.
func (t *Table) entry(now time.Time, k wasabistand.CallKind) (*entry, bool) {
	n, ok := t.index[k]
	if ok {
		e := &t.entries[n]
		return e, now.Sub(e.learned) >= t.options.expiry
	}
	if len(t.entries) < t.options.maxKinds {
		n = len(t.entries)
		t.entries = append(t.entries, entry{})
	} else {
		n = t.oldest()
		delete(t.index, t.entries[n].kind)
	}
	t.entries[n] = entry{kind: k}
	t.index[k] = n
	return &t.entries[n], true
}

// oldest returns the entry that was learned longest ago among the next few.
func (t *Table) oldest() int {
	best := t.hand
	for range min(evictionProbes, len(t.entries)) {
		if t.entries[t.hand].learned.Before(t.entries[best].learned) {
			best = t.hand
		}
		t.hand = (t.hand + 1) % len(t.entries)
	}
	return best
}
