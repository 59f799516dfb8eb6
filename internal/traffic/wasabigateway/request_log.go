package wasabigateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/operate/wasabilog"
)

// Limits of the log lines on requests, per second and kind of line. The lines
// beyond them are counted in a metric, and the count is logged unless they are on
// successful requests.
const (
	maxLinesPerSecond        = 20
	maxSuccessLinesPerSecond = 1
)

// requestLog writes a log line for each decision on a request, within the limits.
type requestLog struct {
	*wasabilog.Limiter
	log zerolog.Logger

	// omitted counts the lines that were not written.
	omitted *prometheus.CounterVec
}

func newRequestLog(log zerolog.Logger, now func() time.Time) *requestLog {
	l := &requestLog{log: log}
	l.Limiter = wasabilog.NewLimiter(now, l.report)
	return l
}

// report counts and logs the lines that were omitted.
func (l *requestLog) report(kind string, lines int) {
	if l.omitted != nil {
		l.omitted.WithLabelValues(kind).Add(float64(lines))
	}
	if kind != "answered" && kind != "served" {
		l.log.Info().Str("Kind", kind).Int("Lines", lines).Msg("lines left out")
	}
}

func loadFields(e *zerolog.Event, l *wasabistand.Load) *zerolog.Event {
	if l == nil {
		return e
	}
	return e.Int("InUse", l.Running).Int("Waiting", l.Waiting).Int("Limit", l.Limit).Int64("MeanMs", l.ServiceTime.Milliseconds())
}

// logAttempt logs the outcome of an attempt.
func (g *Gateway) logAttempt(kind string, a *attempt, out outcome) {
	limit, key := maxSuccessLinesPerSecond, kind
	if out.refusal != nil {
		limit, key = maxLinesPerSecond, kind+"."+string(out.refusal.Reason)
	} else if out.response.status >= 400 {
		limit, key = maxLinesPerSecond, kind+".status"
	}
	if !g.requestLog.Allow(key, limit) {
		return
	}
	e := g.log.Info().Str("RequestID", a.requestID).Str("Service", a.service).Str("Route", a.route).
		Str("Origin", a.origin).Int("Attempt", a.number).Uint64("Revision", a.revision).
		Int64("LeftMs", a.deadline.Sub(g.now()).Milliseconds()).Bool("Arrived", out.arrived).Int64("TookMs", out.serviceTime.Milliseconds())
	if r := out.refusal; r != nil {
		e = e.Str("Outcome", r.Outcome.String()).Str("Reason", string(r.Reason)).Str("Detail", truncateDetail(r.Detail))
	} else {
		e = e.Str("Outcome", "answered").Int("Status", out.response.status)
	}
	loadFields(e, out.load).Msg(kind)
}

// logRefusal logs a refusal that the node sends to the caller.
func (g *Gateway) logRefusal(q *request, status int, r *wasabistand.Refusal) {
	if !g.requestLog.Allow("refused."+string(r.Reason), maxLinesPerSecond) {
		return
	}
	e := g.log.Info().Str("RequestID", q.id).Int("Status", status).Str("Outcome", r.Outcome.String()).
		Str("Reason", string(r.Reason)).Str("Detail", truncateDetail(r.Detail)).Int("Attempts", len(q.tried)).Int("Arrived", q.arrivedCount).
		Dur("RetryAfter", r.RetryAfter)
	if q.revision != 0 {
		e = e.Uint64("Revision", q.revision).Int64("ConfirmedMsAgo", q.unconfirmed.Milliseconds())
	}
	if q.route != nil {
		e = e.Str("Route", q.route.Name).Str("Service", q.service).Str("Importance", q.route.Importance.String()).Strs("Tried", q.tried)
	}
	e.Msg("refused")
}
