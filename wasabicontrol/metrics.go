package wasabicontrol

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wasabistand/wasabistand/wasabidisk"
)

// metrics holds the metrics of a control instance, in base units.
type metrics struct {
	registry      *prometheus.Registry
	sessionsEnded *prometheus.CounterVec
	claimsRefused prometheus.Counter
	pushes        prometheus.Counter
	aheadReports  prometheus.Counter
	resends       prometheus.Counter
	sent          sentBytes
}

func newMetrics(i *Instance) *metrics {
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		sessionsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "wasabi_control_sessions_ended_total", Help: "Sessions that this control instance refused or dropped, by reason."}, []string{"reason"}),
		claimsRefused: prometheus.NewCounter(prometheus.CounterOpts{Name: "wasabi_control_claims_refused_total", Help: "Claim requests refused because the queue was full."}),
		pushes:        prometheus.NewCounter(prometheus.CounterOpts{Name: "wasabi_control_pushes_total", Help: "Configuration updates sent to sessions."}),
		aheadReports:  prometheus.NewCounter(prometheus.CounterOpts{Name: "wasabi_control_reports_ahead_total", Help: "Renewals that reported a later revision than the one sent."}),
		resends:       prometheus.NewCounter(prometheus.CounterOpts{Name: "wasabi_control_resends_total", Help: "Configurations sent again because a node did not hold what it was sent."}),
	}
	m.registry.MustRegister(m.sessionsEnded, m.claimsRefused, m.pushes, m.aheadReports, m.resends, &collector{instance: i})
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

var (
	descSessions  = prometheus.NewDesc("wasabi_control_sessions", "Open sessions.", nil, nil)
	descBehind    = prometheus.NewDesc("wasabi_control_sessions_behind", "Sessions whose node reports an earlier revision than the one sent.", nil, nil)
	descDistance  = prometheus.NewDesc("wasabi_control_session_revision_distance", "Greatest distance between the revision sent on a session and the one that its node reports.", nil, nil)
	descInstances = prometheus.NewDesc("wasabi_control_instances", "Upstream instances listed.", nil, nil)
	descSuspect   = prometheus.NewDesc("wasabi_control_instances_suspect", "Upstream instances still listed after a mass expiry of leases.", nil, nil)
	descRevision  = prometheus.NewDesc("wasabi_control_revision", "Latest committed revision.", []string{"group"}, nil)
	descLeader    = prometheus.NewDesc("wasabi_control_group_leader", "1 while this instance leads the group.", []string{"group"}, nil)
	descTerm      = prometheus.NewDesc("wasabi_control_group_term", "Current term of the group.", []string{"group"}, nil)
	descCommit    = prometheus.NewDesc("wasabi_control_group_commit_index", "Commit index known to this replica.", []string{"group"}, nil)
	descFull      = prometheus.NewDesc("wasabi_control_group_disk_full", "1 while the replica waits for free disk space.", []string{"group"}, nil)
	descRefusing  = prometheus.NewDesc("wasabi_control_group_disk_refusing_seconds", "Time since the disk began to refuse writes that the replica needs, 0 while it accepts them.", []string{"group"}, nil)
	descErrors    = prometheus.NewDesc("wasabi_control_disk_errors_total", "Errors of the disk, by class and operation.", []string{"group", "class", "operation"}, nil)
	descReopened  = prometheus.NewDesc("wasabi_control_reopened_total", "Times that the control instance was opened again in this process, because a replica had ended or the disk refused the start.", nil, nil)
	descSeeking   = prometheus.NewDesc("wasabi_control_seeking_membership_seconds", "Time since the instance began to ask whether it is a member of the group, 0 while a leader lists it.", nil, nil)
	descClaims    = prometheus.NewDesc("wasabi_control_claims", "Claims in the table.", []string{"group"}, nil)
	descRequests  = prometheus.NewDesc("wasabi_control_claim_requests_total", "Claim requests proposed by this control instance.", []string{"group"}, nil)
	descBatches   = prometheus.NewDesc("wasabi_control_claim_batches_total", "Commands proposed for claim requests.", []string{"group"}, nil)
)

// collector reads the state of the instance when metrics are scraped.
type collector struct{ instance *Instance }

// Describe implements prometheus.Collector.
func (c *collector) Describe(d chan<- *prometheus.Desc) {
	for _, k := range []*prometheus.Desc{descSessions, descBehind, descDistance, descInstances, descSuspect, descRevision, descLeader, descTerm, descCommit, descFull, descRefusing, descErrors, descReopened, descSeeking, descClaims, descRequests, descBatches, descSentBytes, descSentMessages} {
		d <- k
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	i := c.instance
	var sessions, behind, listed, suspect int
	var distance uint64
	if i.hub != nil && i.hub.do(func() {
		stats := i.hub.registry.Stats()
		sessions, listed, suspect = len(i.hub.sessions), stats.Listed, stats.Suspect
		behind, distance = i.hub.distance()
	}) {
		gauge(descSessions, float64(sessions))
		gauge(descBehind, float64(behind))
		gauge(descDistance, float64(distance))
		gauge(descInstances, float64(listed))
		gauge(descSuspect, float64(suspect))
	}
	i.metrics.sent.collect(out)
	out <- prometheus.MustNewConstMetric(descReopened, prometheus.CounterValue, float64(i.parts.Reopened))
	if mm := i.membership; mm != nil {
		seeking := 0.0
		if since := mm.seekingSince.Load(); since != nil {
			seeking = time.Since(*since).Seconds()
		}
		gauge(descSeeking, seeking)
	}
	for name, g := range i.groups {
		s := g.runner.Status()
		gauge(descRevision, float64(g.machine.current.Load().revision), name)
		gauge(descLeader, boolToFloat(g.isLeader(i.settings.id)), name)
		gauge(descTerm, float64(s.Term), name)
		gauge(descCommit, float64(s.Commit), name)
		gauge(descFull, boolToFloat(wasabidisk.ErrFull.Has(s.Disk.Err)), name)
		refusing := 0.0
		if s.Disk.Err != nil {
			refusing = time.Since(s.Disk.Since).Seconds()
		}
		gauge(descRefusing, refusing, name)
		for e, n := range s.Disk.Errors {
			out <- prometheus.MustNewConstMetric(descErrors, prometheus.CounterValue, float64(n), name, e.Class, string(e.Operation))
		}
		gauge(descClaims, float64(g.machine.claims().Total()), name)
		out <- prometheus.MustNewConstMetric(descRequests, prometheus.CounterValue, float64(g.claims.requests.Load()), name)
		out <- prometheus.MustNewConstMetric(descBatches, prometheus.CounterValue, float64(g.claims.batches.Load()), name)
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
