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

// Scenario is the load and the trigger of one run.
type Scenario struct {
	// Load is the part of the deep service's capacity in steady load.
	Load float64
	// Surge multiplies the load during the trigger, Slowdown the deep
	// service's time.
	Surge, Slowdown                      float64
	WarmupTime, BeforeTime, During, Tail time.Duration
	Seed                                 uint64
}

// DefaultScenario returns the demonstration's scenario; two runs of it take 50 s.
func DefaultScenario() Scenario {
	return Scenario{
		Load: 0.6, Surge: 2.5, Slowdown: 4,
		WarmupTime: 2 * time.Second, BeforeTime: 5 * time.Second, During: 7 * time.Second, Tail: 10 * time.Second,
		Seed: 1,
	}
}

// Measured is what one run showed.
type Measured struct {
	Report wasabiload.Report
	// Work is the upstreams' time, Wasted the part of it that led to no answer
	// that a client took.
	Work, Wasted time.Duration
	// ExtraRuns is how many calls reached upstreams beyond the first of each
	// service for one send, MostExtraRuns the most for one send.
	ExtraRuns, MostExtraRuns int
	// Retries and MostRetries count what nodes report, 0 without nodes.
	Retries, MostRetries int
	// Recovery is from the trigger's end, when Recovered.
	Recovery  time.Duration
	Recovered bool
	Doubled   int
	// RefusedRan is how many sends were refused as not run and ran.
	RefusedRan int
	// Disorder is how often a lesser call was admitted after a more important
	// one was refused for load.
	Disorder        int
	DisorderDetails []string
	Reasons         string
	CrossRegion     int64
}

// WastedShare returns the part of the work that was wasted.
func (m Measured) WastedShare() float64 {
	if m.Work == 0 {
		return 0
	}
	return float64(m.Wasted) / float64(m.Work)
}

// RetriesPerRequest returns how many further calls each request caused on
// average, beyond the first one to each service: by clients and by hops.
func (m Measured) RetriesPerRequest() float64 {
	return float64(m.Report.Sends-m.Report.Offered+m.ExtraRuns) / float64(max(m.Report.Offered, 1))
}

func (s Scenario) phases(system *wasabilocal.System, say func(string, ...any)) []wasabiload.Phase {
	return []wasabiload.Phase{
		Warmup: {Name: "warm-up", Length: s.WarmupTime, Factor: 1},
		Before: {Name: "before", Length: s.BeforeTime, Factor: 1, Begin: func() { say("steady load at %.0f%% of the capacity of %s", 100*s.Load, DeepService) }},
		During: {Name: "during", Length: s.During, Factor: s.Surge, Begin: func() {
			system.Slow(DeepService, s.Slowdown)
			say("trigger: demand times %g, %s takes %g times as long", s.Surge, DeepService, s.Slowdown)
		}},
		After: {Name: "after", Length: s.Tail, Factor: 1, Begin: func() {
			system.Slow(DeepService, 1)
			say("trigger ends, watching the recovery")
		}},
	}
}

// Run runs the scenario on a system. beside, unless nil, runs beside the load.
func (s Scenario) Run(ctx context.Context, system *wasabilocal.System, topology wasabilocal.Topology, say func(string, ...any), beside func(ctx context.Context)) Measured {
	classes := Classes(s.Load * topology.Capacity(DeepService))
	phases := s.phases(system, say)
	plan := wasabiload.Plan(s.Seed, classes, phases)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if beside != nil {
			beside(ctx)
		}
	}()
	list := wasabiload.Run(ctx, plan, classes, phases, HardClient(system))
	<-done
	m := Measure(system, classes, len(phases), list)
	end := s.WarmupTime + s.BeforeTime + s.During
	m.Recovery, m.Recovered = wasabiload.Recovery(list, end, end+s.Tail, m.Report.Phase(Before).Share())
	return m
}

// Measure sums what clients saw and what the upstreams' ledgers hold.
func Measure(system *wasabilocal.System, classes []wasabiload.Class, phases int, list []wasabiload.Outcome) Measured {
	m := Measured{Report: wasabiload.Summarize(classes, phases, list), CrossRegion: system.Network.CrossRegionBytes()}
	taken := map[string]bool{}
	for _, o := range list {
		if o.Good {
			taken[o.Request] = true
		}
	}
	for _, l := range system.Ledgers {
		t := l.Totals(func(request string) bool { return taken[request] })
		m.Work, m.Wasted = m.Work+t.Work, m.Wasted+t.Wasted
	}
	bookings := system.Ledgers[BookingService]
	for _, o := range list {
		if o.Number == 0 {
			continue
		}
		if classes[o.Class].Keyed && bookings.Runs("key-"+strconv.Itoa(o.Number)) > 1 {
			m.Doubled++
		}
		for send := 1; send <= o.Sends; send++ {
			extra := extraRuns(system.Ledgers, fmt.Sprintf("%d.%d", o.Number, send))
			m.ExtraRuns, m.MostExtraRuns = m.ExtraRuns+extra, max(m.MostExtraRuns, extra)
		}
		for _, request := range o.Refused {
			if system.Ledgers[classes[o.Class].Service].Attempts(request) > 0 {
				m.RefusedRan++
			}
		}
	}
	return m
}

// extraRuns counts the calls of one send beyond the first to each service.
func extraRuns(ledgers map[string]*wasabiupstream.Ledger, request string) int {
	var n int
	for _, l := range ledgers {
		n += max(0, l.Attempts(request)-1)
	}
	return n
}

// watched adds what a watch saw.
func (m Measured) watched(w *wasabilocal.Watch) Measured {
	m.Retries, m.MostRetries = w.Retries()
	m.Disorder, m.DisorderDetails = w.Violations()
	var reasons []string
	for r, n := range w.Reasons() {
		reasons = append(reasons, fmt.Sprintf("%s %d", r, n))
	}
	m.Reasons = strings.Join(sorted(reasons), ", ")
	return m
}

// settle waits for the work that clients have given up, so that the ledgers
// are complete.
func settle(ctx context.Context, s *wasabilocal.System, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
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

func sayer(out io.Writer, name string) func(string, ...any) {
	start := time.Now()
	return func(format string, args ...any) {
		fmt.Fprintf(out, "%6.1f s  %-8s %s\n", time.Since(start).Seconds(), name, fmt.Sprintf(format, args...))
	}
}
