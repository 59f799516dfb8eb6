package wasabinode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabistand/wasabistand"
)

// metrics counts each decision with its reason. Labels come from the
// configuration, so their number is bounded by it.
type metrics struct {
	calls    *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	upstream *prometheus.CounterVec
}

func newMetrics(n *Node, r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabistand_entry_calls_total",
			Help: "Calls that callers made through this node, by outcome and reason.",
		}, []string{"service", "call", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "wasabistand_entry_call_duration_seconds",
			Help:    "Time from a call's headers to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabistand_retries_total",
			Help: "Attempts after the first, by the reason for the attempt before.",
		}, []string{"service", "call", "reason"}),
		upstream: prometheus.NewCounterVec(prometheus.CounterOpts{
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
		m.calls, m.seconds, m.retries, m.upstream,
		gauge("wasabistand_entry_calls_open", "Calls of callers that are open.", func() float64 { return float64(n.entering.count()) }),
		gauge("wasabistand_upstream_calls_running", "Calls that the upstream runs.", func() float64 { return float64(n.admitter.load().Running) }),
		gauge("wasabistand_upstream_calls_waiting", "Calls that wait for the upstream.", func() float64 { return float64(n.admitter.load().Waiting) }),
		gauge("wasabistand_upstream_limit", "Calls that the upstream may run at once.", func() float64 { return float64(n.admitter.load().Limit) }),
		gauge("wasabistand_upstream_level", "The lowest importance that is not refused outright, 1 for Low.", func() float64 { return float64(n.admitter.load().Level) }),
		gauge("wasabistand_configuration_revision", "The configuration in force, 0 for none.", func() float64 {
			if v := n.snapshot(); v != nil {
				return float64(v.revision)
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

func (m *metrics) entry(c *incoming, outcome string, reason wasabistand.Reason, d time.Duration) {
	m.calls.WithLabelValues(c.kind.Service, c.kind.Call, outcome, string(reason)).Inc()
	m.seconds.WithLabelValues(c.kind.Service, outcome).Observe(d.Seconds())
}

func (m *metrics) retry(k wasabistand.CallKind, reason wasabistand.Reason) {
	m.retries.WithLabelValues(k.Service, k.Call, string(knownReason(reason))).Inc()
}

func (m *metrics) served(call string, a *attempt, outcome string, reason wasabistand.Reason) {
	m.upstream.WithLabelValues(call, a.importance.String(), outcome, string(reason)).Inc()
}
