package wasabigateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
)

// Bounds of the lines on requests, for each kind of line. The first ones of a
// second are written, and how many were left out.
const (
	linesPerSecond      = 20
	plainLinesPerSecond = 1
)

// journal writes a line for each decision that touches a request, within its
// bounds.
type journal struct {
	log zerolog.Logger
	now func() time.Time

	// leftOut counts the lines that were not written.
	leftOut *prometheus.CounterVec

	mu     sync.Mutex
	second int64
	kinds  map[string]*lineCount
}

type lineCount struct{ written, left int }

func newJournal(log zerolog.Logger, now func() time.Time) *journal {
	return &journal{log: log, now: now, kinds: map[string]*lineCount{}}
}

// takes reports whether a line of a kind may be written.
func (j *journal) takes(kind string, most int) bool {
	second := j.now().Unix()
	j.mu.Lock()
	defer j.mu.Unlock()
	if second != j.second {
		j.report()
		j.second = second
	}
	c := j.kinds[kind]
	if c == nil {
		c = &lineCount{}
		j.kinds[kind] = c
	}
	if c.written >= most {
		c.left++
		return false
	}
	c.written++
	return true
}

// report writes what was left out. The mutex is held.
func (j *journal) report() {
	for kind, c := range j.kinds {
		if c.left > 0 && j.leftOut != nil {
			j.leftOut.WithLabelValues(kind).Add(float64(c.left))
		}
		if c.left > 0 && kind != "answered" && kind != "served" {
			j.log.Info().Str("Kind", kind).Int("Lines", c.left).Msg("lines left out")
		}
		*c = lineCount{}
	}
}

func (j *journal) flush() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report()
}

func loadFields(e *zerolog.Event, l *wasabistand.Load) *zerolog.Event {
	if l == nil {
		return e
	}
	return e.Int("InUse", l.Running).Int("Waiting", l.Waiting).Int("Limit", l.Limit).Int64("MeanMs", l.ServiceTime.Milliseconds())
}

// note writes how an attempt ended.
func (g *Gateway) note(kind string, a *attempt, out outcome) {
	most, key := plainLinesPerSecond, kind
	if out.refusal != nil {
		most, key = linesPerSecond, kind+"."+string(out.refusal.Reason)
	} else if out.answer.status >= 400 {
		most, key = linesPerSecond, kind+".status"
	}
	if !g.journal.takes(key, most) {
		return
	}
	e := g.log.Info().Str("RequestID", a.requestID).Str("Service", a.service).Str("Route", a.route).
		Str("Origin", a.origin).Int("Attempt", a.number).Uint64("Revision", a.revision).
		Int64("LeftMs", a.deadline.Sub(g.now()).Milliseconds()).Bool("Arrived", out.arrived).Int64("TookMs", out.took.Milliseconds())
	if r := out.refusal; r != nil {
		e = e.Str("Outcome", r.Outcome.String()).Str("Reason", string(r.Reason)).Str("Detail", short(r.Detail))
	} else {
		e = e.Str("Outcome", "answered").Int("Status", out.answer.status)
	}
	loadFields(e, out.load).Msg(kind)
}

// refused writes why a request got an answer of the node's own.
func (j *journal) refused(q *request, status int, r *wasabistand.Refusal) {
	if !j.takes("refused."+string(r.Reason), linesPerSecond) {
		return
	}
	e := j.log.Info().Str("RequestID", q.id).Int("Status", status).Str("Outcome", r.Outcome.String()).
		Str("Reason", string(r.Reason)).Str("Detail", short(r.Detail)).Int("Attempts", len(q.tried)).Int("Arrived", q.arrived).
		Dur("RetryAfter", r.RetryAfter)
	if q.route != nil {
		e = e.Str("Route", q.route.Name).Str("Service", q.service).Str("Importance", q.route.Importance.String()).Strs("Tried", q.tried)
	}
	e.Msg("refused")
}
