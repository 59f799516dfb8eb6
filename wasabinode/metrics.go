package wasabinode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabistand/wasabistand"
)

// metrics counts the outcome of each call with its reason. Label values come from
// the configuration, so their number is bounded by it.
type metrics struct {
	calls         *prometheus.CounterVec
	durations     *prometheus.HistogramVec
	retries       *prometheus.CounterVec
	upstreamCalls *prometheus.CounterVec
}

func newMetrics(n *Node, r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabistand_entry_calls_total",
			Help: "Calls that callers made through this node, by outcome and reason.",
		}, []string{"service", "call", "outcome", "reason"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "wasabistand_entry_call_duration_seconds",
			Help:    "Time from a call's headers to the end of its response.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabistand_retries_total",
			Help: "Attempts after the first, by the reason why the previous attempt failed.",
		}, []string{"service", "call", "reason"}),
		upstreamCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabistand_upstream_calls_total",
			Help: "Calls for the local upstream, by outcome and reason.",
		}, []string{"call", "importance", "outcome", "reason"}),
	}
	if r == nil {
		return m, nil
	}
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
	}
	for _, c := range []prometheus.Collector{
		m.calls, m.durations, m.retries, m.upstreamCalls,
		gauge("wasabistand_entry_calls_open", "Open calls that callers made through this node.", func() float64 { return float64(n.ingressCalls.count()) }),
		gauge("wasabistand_upstream_calls_running", "Calls that the upstream runs.", func() float64 { return float64(n.admitter.load().Running) }),
		gauge("wasabistand_upstream_calls_waiting", "Calls that wait for the upstream.", func() float64 { return float64(n.admitter.load().Waiting) }),
		gauge("wasabistand_upstream_limit", "Calls that the upstream may run concurrently.", func() float64 { return float64(n.admitter.load().Limit) }),
		gauge("wasabistand_upstream_level", "The lowest importance that is not refused outright, 1 for Low.", func() float64 { return float64(n.admitter.load().Level) }),
		gauge("wasabistand_configuration_revision", "Revision of the active configuration, 0 for none.", func() float64 {
			if config := n.activeConfig(); config != nil {
				return float64(config.revision)
			}
			return 0
		}),
	} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) recordCall(c *ingressCall, outcome string, reason wasabistand.Reason, d time.Duration) {
	m.calls.WithLabelValues(c.kind.Service, c.kind.Call, outcome, string(reason)).Inc()
	m.durations.WithLabelValues(c.kind.Service, outcome).Observe(d.Seconds())
}

func (m *metrics) recordRetry(k wasabistand.CallKind, reason wasabistand.Reason) {
	m.retries.WithLabelValues(k.Service, k.Call, string(normalizeReason(reason))).Inc()
}

func (m *metrics) recordUpstreamCall(call string, a *attempt, outcome string, reason wasabistand.Reason) {
	m.upstreamCalls.WithLabelValues(call, a.importance.String(), outcome, string(reason)).Inc()
}
