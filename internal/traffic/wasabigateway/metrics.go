package wasabigateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabistand/wasabistand"
)

// metrics counts the decisions of the node. Label values are bounded by the
// configuration and by the fixed lists of outcomes and reasons.
type metrics struct {
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	attempts     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	upstreamTime *prometheus.HistogramVec
	omittedLines *prometheus.CounterVec
	// unknownRoutes counts the requests that the node found no route for.
	unknownRoutes prometheus.Counter
}

// latencyBuckets range, in seconds, from a call within a failure domain to the
// longest common timeout.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12}

func newMetrics(g *Gateway, r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabi_requests_total", Help: "Requests of callers that ended, by service, importance, outcome and reason.",
		}, []string{"service", "importance", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wasabi_request_seconds", Help: "Time from a request's header to its end at the entry node.", Buckets: latencyBuckets,
		}, []string{"service", "importance"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabi_attempts_total", Help: "Attempts at an instance, by service, distance, outcome and reason.",
		}, []string{"service", "distance", "outcome", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabi_repeats_total", Help: "Retries of requests at another upstream, by service.",
		}, []string{"service"}),
		upstreamTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wasabi_upstream_seconds", Help: "Time of a call in the local upstream, by importance.", Buckets: latencyBuckets,
		}, []string{"importance"}),
		omittedLines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabi_log_lines_left_out_total", Help: "Log lines that were omitted by the rate limit, by kind.",
		}, []string{"kind"}),
		unknownRoutes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabi_unknown_routes_total", Help: "Requests for which the configuration in force has no route.",
		}),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	if r == nil {
		return m
	}
	r.MustRegister(m.requests, m.latency, m.attempts, m.retries, m.upstreamTime, m.omittedLines, m.unknownRoutes,
		gauge("wasabi_upstream_running", "Calls that run in the local upstream.", func() float64 { return float64(g.queue.load().Running) }),
		gauge("wasabi_upstream_waiting", "Calls that wait for the local upstream.", func() float64 { return float64(g.queue.load().Waiting) }),
		gauge("wasabi_upstream_limit", "Calls that may run in the local upstream concurrently.", func() float64 { return float64(g.queue.load().Limit) }),
		gauge("wasabi_upstream_unconfirmed_seconds", "How long the local upstream has been known without confirming that it accepts calls, 0 if it accepts them or leaves.", func() float64 {
			return g.local.unconfirmedFor().Seconds()
		}),
		gauge("wasabi_configuration_revision", "Revision of the applied configuration, 0 for none.", func() float64 { return float64(g.Revision()) }),
		gauge("wasabi_caller_connections", "Open connections of callers.", func() float64 { return float64(g.server.Connections()) }),
		gauge("wasabi_held_body_bytes", "Bytes of request bodies that are buffered.", func() float64 { return float64(g.heldBodyBytes.Load()) }),
		gauge("wasabi_ready", "1 while callers should send requests to this node.", func() float64 {
			if g.Ready() {
				return 1
			}
			return 0
		}),
	)
	return m
}

// distanceLabel returns the label for the distance of an instance.
func (g *Gateway) distanceLabel(i wasabistand.Instance) string {
	switch here := g.settings.location; {
	case i.ID == g.settings.instance:
		return "own"
	case i.Location.Region != here.Region:
		return "other-region"
	case i.Location.FailureDomain != here.FailureDomain:
		return "same-region"
	}
	return "same-domain"
}

func outcomeLabels(o outcome) (kind, reason string) {
	if o.refusal != nil {
		return o.refusal.Outcome.String(), string(o.refusal.Reason)
	}
	if o.response.status >= 400 {
		return wasabistand.Answered.String(), strconv.Itoa(o.response.status/100) + "xx"
	}
	return wasabistand.Answered.String(), ""
}

func (m *metrics) recordAttempt(g *Gateway, service string, i wasabistand.Instance, o outcome) {
	kind, reason := outcomeLabels(o)
	m.attempts.WithLabelValues(service, g.distanceLabel(i), kind, reason).Inc()
}

func (m *metrics) recordRequest(q *request, o outcome, elapsed time.Duration) {
	service, importance := q.service, ""
	if q.route != nil {
		importance = q.route.Importance.String()
	}
	kind, reason := outcomeLabels(o)
	m.requests.WithLabelValues(service, importance, kind, reason).Inc()
	m.latency.WithLabelValues(service, importance).Observe(elapsed.Seconds())
}
