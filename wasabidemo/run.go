package wasabidemo

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand/wasabiload"
	"github.com/wasabistand/wasabistand/wasabilocal"
	"github.com/wasabistand/wasabistand/wasabiupstream"
)

// Phases of the scenario.
const (
	Warmup = iota
	Before
	During
	After
)

// Scenario describes the load and the overload trigger of one run.
type Scenario struct {
	// Load is the steady load as a fraction of the deep service's capacity.
	Load float64
	// Surge multiplies the load during the trigger, Slowdown the service time
	// of the deep service.
	Surge, Slowdown                               float64
	WarmupTime, BeforeTime, DuringTime, AfterTime time.Duration
	Seed                                          uint64
}

// DefaultScenario returns the scenario of the demonstration. Two runs of it take
// 50 s.
func DefaultScenario() Scenario {
	return Scenario{
		Load: 0.6, Surge: 2.5, Slowdown: 4,
		WarmupTime: 2 * time.Second, BeforeTime: 5 * time.Second, DuringTime: 7 * time.Second, AfterTime: 10 * time.Second,
		Seed: 1,
	}
}

// Measurements holds the measurements of one run.
type Measurements struct {
	Report wasabiload.Report
	// Work is the time that upstreams spent on calls, Wasted the part of it
	// that led to no response accepted by a client.
	Work, Wasted time.Duration
	// ExtraRuns is how many calls reached upstreams beyond the first one per
	// service and client attempt, MostExtraRuns the maximum for one attempt.
	ExtraRuns, MostExtraRuns int
	// Retries is the number of retries by nodes, MostRetries the maximum for
	// one client attempt. Both are 0 without nodes.
	Retries, MostRetries int
	// Recovery is the time from the trigger's end until goodput recovered. It
	// is valid only when Recovered is set.
	Recovery          time.Duration
	Recovered         bool
	DuplicateBookings int
	// RefusedButRun is how many attempts were refused as not run, but had run.
	RefusedButRun int
	// ImportanceInversions is how often a call was admitted after a call of higher
	// importance was refused for load.
	ImportanceInversions       int
	ImportanceInversionDetails []string
	Reasons                    string
	CrossRegion                int64
}

// WastedShare returns the fraction of the work that was wasted.
func (m Measurements) WastedShare() float64 {
	if m.Work == 0 {
		return 0
	}
	return float64(m.Wasted) / float64(m.Work)
}

// RetriesPerRequest returns the mean number of calls per request beyond the
// first one to each service, caused by retries of clients and of hops.
func (m Measurements) RetriesPerRequest() float64 {
	return float64(m.Report.Attempts-m.Report.Offered+m.ExtraRuns) / float64(max(m.Report.Offered, 1))
}

func (s Scenario) phases(system *wasabilocal.System, progress func(string, ...any)) []wasabiload.Phase {
	return []wasabiload.Phase{
		Warmup: {Name: "warm-up", Length: s.WarmupTime, Factor: 1},
		Before: {Name: "before", Length: s.BeforeTime, Factor: 1, Begin: func() { progress("steady load at %.0f%% of the capacity of %s", 100*s.Load, DeepService) }},
		During: {Name: "during", Length: s.DuringTime, Factor: s.Surge, Begin: func() {
			system.SetSlowdown(DeepService, s.Slowdown)
			progress("trigger: demand times %g, %s takes %g times as long", s.Surge, DeepService, s.Slowdown)
		}},
		After: {Name: "after", Length: s.AfterTime, Factor: 1, Begin: func() {
			system.SetSlowdown(DeepService, 1)
			progress("trigger ends, watching the recovery")
		}},
	}
}

// Run runs the scenario on a system. Unless nil, concurrent runs concurrently
// with the load.
func (s Scenario) Run(ctx context.Context, system *wasabilocal.System, topology wasabilocal.Topology, progress func(string, ...any), concurrent func(ctx context.Context)) Measurements {
	classes := Classes(s.Load * topology.Capacity(DeepService))
	phases := s.phases(system, progress)
	plan := wasabiload.Plan(s.Seed, classes, phases)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if concurrent != nil {
			concurrent(ctx)
		}
	}()
	list := wasabiload.Run(ctx, plan, classes, phases, AggressiveClient(system))
	<-done
	m := Measure(system, classes, len(phases), list)
	end := s.WarmupTime + s.BeforeTime + s.DuringTime
	m.Recovery, m.Recovered = wasabiload.Recovery(list, end, end+s.AfterTime, m.Report.Phase(Before).Share())
	return m
}

// Measure combines the outcomes of the clients' requests with the upstreams'
// ledgers.
func Measure(system *wasabilocal.System, classes []wasabiload.Class, phases int, list []wasabiload.Outcome) Measurements {
	m := Measurements{Report: wasabiload.Summarize(classes, phases, list), CrossRegion: system.Network.CrossRegionBytes()}
	succeeded := map[string]bool{}
	for _, o := range list {
		if o.Good {
			succeeded[o.Request] = true
		}
	}
	for _, l := range system.Ledgers {
		t := l.Totals(func(request string) bool { return succeeded[request] })
		m.Work, m.Wasted = m.Work+t.Work, m.Wasted+t.Wasted
	}
	bookings := system.Ledgers[BookingService]
	for _, o := range list {
		if o.Number == 0 {
			continue
		}
		if classes[o.Class].Keyed && bookings.Runs("key-"+strconv.Itoa(o.Number)) > 1 {
			m.DuplicateBookings++
		}
		for attempt := 1; attempt <= o.Attempts; attempt++ {
			extra := extraRuns(system.Ledgers, fmt.Sprintf("%d.%d", o.Number, attempt))
			m.ExtraRuns, m.MostExtraRuns = m.ExtraRuns+extra, max(m.MostExtraRuns, extra)
		}
		for _, request := range o.Refused {
			if system.Ledgers[classes[o.Class].Service].Attempts(request) > 0 {
				m.RefusedButRun++
			}
		}
	}
	return m
}

// extraRuns returns how many calls one client attempt caused beyond the first
// one to each service.
func extraRuns(ledgers map[string]*wasabiupstream.Ledger, request string) int {
	var n int
	for _, l := range ledgers {
		n += max(0, l.Attempts(request)-1)
	}
	return n
}

// withMonitor returns a copy of m with the observations of a monitor.
func (m Measurements) withMonitor(monitor *wasabilocal.Monitor) Measurements {
	m.Retries, m.MostRetries = monitor.Retries()
	m.ImportanceInversions, m.ImportanceInversionDetails = monitor.Violations()
	var reasons []string
	for r, n := range monitor.Reasons() {
		reasons = append(reasons, fmt.Sprintf("%s %d", r, n))
	}
	m.Reasons = strings.Join(sorted(reasons), ", ")
	return m
}

// waitIdle waits until the upstreams have finished the calls that clients
// abandoned, so that the ledgers are complete. It gives up after timeout.
func waitIdle(ctx context.Context, s *wasabilocal.System, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, w := range s.Workers {
		for w.Upstream.Running() > 0 {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
	}
}

func progressPrinter(out io.Writer, name string) func(string, ...any) {
	start := time.Now()
	return func(format string, args ...any) {
		fmt.Fprintf(out, "%6.1f s  %-8s %s\n", time.Since(start).Seconds(), name, fmt.Sprintf(format, args...))
	}
}
