package wasabibench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabidemo"
	"github.com/wasabistand/wasabistand/wasabiload"
	"github.com/wasabistand/wasabistand/wasabilocal"
)

// deepServiceTime limits the deep service to 180 calls per second, so that 10
// times its capacity plus retries needs only a part of one machine.
const deepServiceTime = 100 * time.Millisecond

// systemKind is a system to measure: the product or a baseline.
type systemKind struct {
	name  string
	start func(ctx context.Context, t wasabilocal.Topology, seed uint64) (*wasabilocal.System, func() error, error)
}

func startNodes(ctx context.Context, t wasabilocal.Topology, seed uint64) (*wasabilocal.System, func() error, error) {
	n, err := wasabilocal.NewNodes(ctx, t, seed)
	if err != nil {
		return nil, nil, err
	}
	return n.System, n.Close, nil
}

func startDirect(change func(*wasabilocal.Topology)) func(context.Context, wasabilocal.Topology, uint64) (*wasabilocal.System, func() error, error) {
	return func(_ context.Context, t wasabilocal.Topology, seed uint64) (*wasabilocal.System, func() error, error) {
		change(&t)
		s, err := wasabilocal.NewDirect(t, seed)
		if err != nil {
			return nil, nil, err
		}
		return s, s.Close, nil
	}
}

// overloadKinds returns the product and two baselines: upstreams that finish
// calls whose caller has disconnected, and upstreams that cancel them.
func overloadKinds() []systemKind {
	return []systemKind{
		{"nodes", startNodes},
		{"direct", startDirect(func(t *wasabilocal.Topology) { t.Detached = true })},
		{"direct, cancelling", startDirect(func(t *wasabilocal.Topology) { t.Detached = false })},
	}
}

// overloadClasses returns request classes of which 5 in 100 requests are
// critical, so that the deep service can serve all critical requests at 10 times
// its capacity.
func overloadClasses(total float64) []wasabiload.Class {
	list := wasabidemo.Classes(1)
	for i, share := range []float64{0.55, 0.25, 0.15, 0.05} {
		list[i].Rate = share * total
	}
	return list
}

// Phases of an overload run. Requests of the tail are not counted: it sustains
// the load until the counted requests have ended.
const (
	overloadWarmup = iota
	overloadCounted
	overloadTail
)

func overloadPhases() []wasabiload.Phase {
	return []wasabiload.Phase{
		overloadWarmup:  {Name: "warm-up", Length: 2 * time.Second, Factor: 1},
		overloadCounted: {Name: "counted", Length: 5 * time.Second, Factor: 1},
		overloadTail:    {Name: "rest", Length: 1200 * time.Millisecond, Factor: 1},
	}
}

func overloadChain() wasabilocal.Topology {
	t := wasabidemo.Chain()
	for i := range t.Services {
		if t.Services[i].Name == wasabidemo.DeepService {
			t.Services[i].ServiceTime = deepServiceTime
		}
	}
	return t
}

func benchGoodput(factors ...float64) func(context.Context, Options) (Table, error) {
	return func(ctx context.Context, o Options) (Table, error) {
		t := Table{
			Settings: "chain of 4 services, 24 workers, 100 ms in the deep service, clients resend 3 times after 20 ms, 400 ms a send, 1.2 s in all",
			Columns: []string{"System", "Load (capacities)", "Offered (requests/s)", "Goodput (requests/s)", "Goodput (of that at the first load)",
				"Critical answered (%)", "Low answered (%)", "Wasted work (%)", "Sends per request", "p99 (ms)"},
		}
		topology := overloadChain()
		for _, k := range overloadKinds() {
			var base float64
			for _, factor := range factors {
				o.progressf("%s at %g times the capacity", k.name, factor)
				classes := overloadClasses(factor * topology.Capacity(wasabidemo.DeepService))
				m, err := runOverload(ctx, k, topology, classes, o.Seed)
				if err != nil {
					return t, err
				}
				counted := m.Report.Phase(overloadCounted)
				seconds := overloadPhases()[overloadCounted].Length.Seconds()
				rate := float64(counted.Good) / seconds
				if base == 0 {
					base = rate
				}
				byImportance := m.Report.ByPhase[overloadCounted]
				t.add(k.name, factor, float64(counted.Offered)/seconds, rate, rate/base,
					100*byImportance[wasabistand.Critical].Share(), 100*byImportance[wasabistand.Low].Share(), 100*m.WastedShare(),
					float64(m.Report.Attempts)/float64(max(m.Report.Offered, 1)), float64(m.Report.Latency.ValueAtQuantile(99))/1000)
			}
		}
		t.note("capacity of %s: %g calls/s; wasted work counts the whole run", wasabidemo.DeepService, topology.Capacity(wasabidemo.DeepService))
		return t, nil
	}
}

func runOverload(ctx context.Context, k systemKind, topology wasabilocal.Topology, classes []wasabiload.Class, seed uint64) (m wasabidemo.Measurements, err error) {
	system, stop, err := k.start(ctx, topology, seed)
	if err != nil {
		return m, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	phases := overloadPhases()
	list := wasabiload.Run(ctx, wasabiload.Plan(seed, classes, phases), classes, phases, wasabidemo.AggressiveClient(system))
	return wasabidemo.Measure(system, classes, len(phases), list), ctx.Err()
}

func benchRecovery(ctx context.Context, o Options) (Table, error) {
	s := wasabidemo.DefaultScenario()
	s.Seed = o.Seed
	t := Table{
		Settings: fmt.Sprintf("chain of 4 services, load %g of the capacity, demand times %g and deep service %g times slower for %s, watched for %s", s.Load, s.Surge, s.Slowdown, s.DuringTime, s.AfterTime),
		Columns:  []string{"System", "Recovery (s)", "Good before (%)", "Good during (%)", "Good after (%)", "Critical during (%)", "Wasted work (%)", "Doubled bookings"},
	}
	for _, k := range overloadKinds() {
		o.progressf("recovery of %s", k.name)
		topology := wasabidemo.Chain()
		system, stop, err := k.start(ctx, topology, o.Seed)
		if err != nil {
			return t, err
		}
		m := s.Run(ctx, system, topology, func(string, ...any) {}, nil)
		if err := errors.Join(stop(), ctx.Err()); err != nil {
			return t, err
		}
		seconds := fmt.Sprintf("%.1f", m.Recovery.Seconds())
		if !m.Recovered {
			seconds = fmt.Sprintf("over %g", s.AfterTime.Seconds())
		}
		r := m.Report
		t.add(k.name, seconds, 100*r.Phase(wasabidemo.Before).Share(), 100*r.Phase(wasabidemo.During).Share(), 100*r.Phase(wasabidemo.After).Share(),
			100*r.ByPhase[wasabidemo.During][wasabistand.Critical].Share(), 100*m.WastedShare(), m.DuplicateBookings)
	}
	t.note("resolution of the recovery time: 0.5 s")
	return t, nil
}
