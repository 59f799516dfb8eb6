package wasabibench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabidemo"
	"github.com/wasabistand/wasabistand/wasabiload"
	"github.com/wasabistand/wasabistand/wasabilocal"
)

// Settings of the overhead bench. Rounds of both systems alternate, so that
// other load on the machine meets both.
const (
	overheadRate   = 500.0
	overheadRounds = 4
	overheadRound  = 2 * time.Second
	overheadBound  = 1.7 // ms at the 99th percentile
)

const overheadConfiguration = `
[[Callers]]
Name = "grower"
Patience = "2s"
Home = "flanders"

[[Services]]
Name = "front"

[[Services.Calls]]
Name = "look"
Method = "GET"
Path = "/{rest...}"
Importance = "Normal"
Idempotent = true

[[Services]]
Name = "rear"

[[Services.Calls]]
Name = "look"
Method = "GET"
Path = "/{rest...}"
Importance = "Normal"
Idempotent = true
`

func overhead(ctx context.Context, o Options) (t Table, err error) {
	t = Table{
		Settings: fmt.Sprintf("%g calls/s, Poisson arrivals, 2 ms in the upstream, 256 bytes, no added latency, %d rounds of %s each", overheadRate, overheadRounds, overheadRound),
		Columns:  []string{"System", "Calls", "Mean open calls", "p50 (ms)", "p99 (ms)", "p99.9 (ms)"},
	}
	topology := wasabilocal.Topology{
		Regions: []string{"flanders"}, DomainsPerRegion: 1, WorkersPerDomain: 1, Configuration: overheadConfiguration,
		Services: []wasabilocal.Service{
			{Name: "front", Slots: 50, Connections: 500, ServiceTime: 2 * time.Millisecond, AnswerBytes: 256},
			{Name: "rear", Slots: 50, Connections: 500, ServiceTime: 2 * time.Millisecond, AnswerBytes: 256},
		},
	}
	nodes, err := wasabilocal.NewNodes(ctx, topology, o.Seed)
	if err != nil {
		return t, err
	}
	defer func() { err = errors.Join(err, nodes.Close()) }()
	direct, err := wasabilocal.NewDirect(topology, o.Seed)
	if err != nil {
		return t, err
	}
	defer func() { err = errors.Join(err, direct.Close()) }()
	classes := []wasabiload.Class{{Name: "look", Importance: wasabistand.Normal, Service: "rear", Caller: "grower", Method: "GET", Path: "/look", Rate: overheadRate}}
	client := func(s *wasabilocal.System, entry string) *wasabiload.Client {
		c := wasabidemo.HardClient(s)
		c.Resends, c.SendPatience, c.AnswerBytes = 0, c.Patience, 256
		c.Entry = func(string) string { return entry }
		return c
	}
	// A call for "rear" enters at the node of "front" and takes a link.
	through, straight := client(nodes.System, nodes.Of("front")[0].Entry()), client(direct, direct.Of("rear")[0].Upstream.URL())
	if _, err := overheadOnce(ctx, through, classes, o.Seed, nil); err != nil {
		return t, err
	}
	if _, err := overheadOnce(ctx, straight, classes, o.Seed, nil); err != nil {
		return t, err
	}
	a, b := newLatencies(), newLatencies()
	var failed int
	for round := range uint64(overheadRounds) {
		o.say("overhead, round %d of %d", round+1, overheadRounds)
		for _, run := range []struct {
			client *wasabiload.Client
			into   *hdrhistogram.Histogram
		}{{straight, b}, {through, a}} {
			n, err := overheadOnce(ctx, run.client, classes, o.Seed+round, run.into)
			if err != nil {
				return t, err
			}
			failed += n
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	for _, r := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"direct", b}, {"two nodes", a}} {
		// Little's law.
		t.add(r.name, r.h.TotalCount(), overheadRate*r.h.Mean()/1e6, ms(r.h, 50), ms(r.h, 99), ms(r.h, 99.9))
	}
	t.add("added", "", "", ms(a, 50)-ms(b, 50), ms(a, 99)-ms(b, 99), ms(a, 99.9)-ms(b, 99.9))
	t.note("bound at p99: %g ms added; calls that failed: %d", overheadBound, failed)
	return t, nil
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// overheadOnce runs one round, adds the latencies and returns the failures.
func overheadOnce(ctx context.Context, c *wasabiload.Client, classes []wasabiload.Class, seed uint64, into *hdrhistogram.Histogram) (failed int, err error) {
	phases := []wasabiload.Phase{{Name: "round", Length: overheadRound, Factor: 1}}
	for _, r := range wasabiload.Run(ctx, wasabiload.Plan(seed, classes, phases), classes, phases, c) {
		switch {
		case !r.Good:
			failed++
		case into != nil:
			_ = into.RecordValue(r.Latency.Microseconds())
		}
	}
	return failed, ctx.Err()
}

// regionBytes is the size of answers in the regions bench: about a page of the
// board.
const regionBytes = 8 << 10

func regions(ctx context.Context, o Options) (Table, error) {
	t := Table{
		Settings: "chain of 4 services, 24 workers in 3 regions, half of the capacity for 6 s, answers of 8 KiB",
		Columns:  []string{"System", "Good requests", "Cross-region bytes", "Bytes per good request", "Good (%)"},
	}
	var blind float64
	for _, k := range []systemKind{
		{"direct, region-blind", startDirect(func(t *wasabilocal.Topology) { t.RegionBlind, t.Detached, t.HopRetries = true, false, 0 })},
		{"nodes", startNodes},
	} {
		o.say("regions with %s", k.name)
		topology := wasabidemo.Chain()
		for i := range topology.Services {
			topology.Services[i].AnswerBytes = regionBytes
		}
		system, stop, err := k.start(ctx, topology, o.Seed)
		if err != nil {
			return t, err
		}
		classes := wasabidemo.Classes(0.5 * topology.Capacity(wasabidemo.DeepService))
		phases := []wasabiload.Phase{{Name: "steady", Length: 6 * time.Second, Factor: 1}}
		client := wasabidemo.HardClient(system)
		client.AnswerBytes = regionBytes
		list := wasabiload.Run(ctx, wasabiload.Plan(o.Seed, classes, phases), classes, phases, client)
		m := wasabidemo.Measure(system, classes, len(phases), list)
		if err := errors.Join(stop(), ctx.Err()); err != nil {
			return t, err
		}
		each := float64(m.CrossRegion) / float64(max(m.Report.Good, 1))
		t.add(k.name, m.Report.Good, m.CrossRegion, each, 100*m.Report.Phase(0).Share())
		if blind == 0 {
			blind = each
		} else {
			t.note("%.1f%% less than region-blind; at least 80%% is the target", 100*(1-each/blind))
		}
	}
	return t, nil
}
