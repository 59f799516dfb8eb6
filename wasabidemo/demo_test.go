package wasabidemo_test

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabidemo"
	"github.com/wasabistand/wasabistand/wasabiload"
	"github.com/wasabistand/wasabistand/wasabilocal"
)

// Guards against a demonstration that passes although an invariant was violated.
func TestEachViolationIsReported(t *testing.T) {
	assert.Equal(t, len(wasabidemo.Measurements{MostRetries: wasabidemo.RequestRetryBudget}.Violations()), 0)
	for _, m := range []wasabidemo.Measurements{
		{DuplicateBookings: 1},
		{Report: wasabiload.Report{Mismatched: 1}},
		{Report: wasabiload.Report{Truncated: 1}},
		{RefusedButRun: 1},
		{MostRetries: wasabidemo.RequestRetryBudget + 1},
		{ImportanceInversions: 1},
	} {
		assert.Equal(t, len(m.Violations()), 1, "%+v", m)
	}
}

// scriptedAdmission returns prepared decisions for each offered call.
type scriptedAdmission struct {
	wasabistand.Admission
	next []wasabistand.Decision
}

func (s *scriptedAdmission) Offer(time.Time, wasabistand.Ticket) []wasabistand.Decision {
	return s.next
}

// Guards against a check of the order of importance that misses a violation, or
// that reports one although the admission level had time to fall.
func TestMonitorChecksImportanceOrder(t *testing.T) {
	start := time.Unix(0, 0)
	for _, c := range []struct {
		after      time.Duration
		violations int
	}{{599 * time.Millisecond, 1}, {600 * time.Millisecond, 0}} {
		monitor, s := wasabilocal.NewMonitor(), &scriptedAdmission{}
		a := monitor.Admission("a", s)
		s.next = []wasabistand.Decision{{ID: 1, Verdict: wasabistand.Refuse, Reason: wasabistand.ReasonQueueFull}}
		a.Offer(start, wasabistand.Ticket{ID: 1, Importance: wasabistand.Critical})
		s.next = []wasabistand.Decision{{ID: 2, Verdict: wasabistand.Admit}}
		a.Offer(start.Add(c.after), wasabistand.Ticket{ID: 2, Importance: wasabistand.Low})
		n, _ := monitor.Violations()
		assert.Equal(t, n, c.violations, "Low admitted after %s", c.after)
	}
}

// Guards against ledgers, clients and nodes that disagree on requests: in a
// short run the invariants hold and work is recorded. The amount of goodput is
// not checked, because it depends on the machine.
func TestScenarioHoldsInvariants(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for two seconds")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	topology := wasabidemo.Chain()
	s := wasabidemo.Scenario{
		Load: 0.1, Surge: 3, Slowdown: 4, Seed: 1,
		WarmupTime: 200 * time.Millisecond, BeforeTime: 300 * time.Millisecond, DuringTime: 500 * time.Millisecond, AfterTime: 500 * time.Millisecond,
	}
	nodes, err := wasabilocal.NewNodes(ctx, topology, s.Seed)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, nodes.Close()) }()
	m := s.Run(ctx, nodes.System, topology, func(format string, _ ...any) { _, _ = io.WriteString(io.Discard, format) }, nil)
	assert.DeepEqual(t, m.Violations(), []string(nil))
	assert.Assert(t, m.Report.Good > 0 && m.Work > 0)
}
