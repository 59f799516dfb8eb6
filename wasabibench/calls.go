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

// Settings of the overhead benchmark. Rounds of both systems alternate, so that
// other load on the machine affects both.
const (
	overheadRate      = 500.0
	overheadRounds    = 4
	overheadRoundTime = 2 * time.Second
	maxOverheadMs     = 1.7 // added at the 99th percentile
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

func benchOverhead(ctx context.Context, o Options) (t Table, err error) {
	t = Table{
		Settings: fmt.Sprintf("%g calls/s, Poisson arrivals, 2 ms in the upstream, 256 bytes, no added latency, %d rounds of %s each", overheadRate, overheadRounds, overheadRoundTime),
		Columns:  []string{"System", "Calls", "Mean open calls", "p50 (ms)", "p99 (ms)", "p99.9 (ms)"},
	}
	topology := wasabilocal.Topology{
		Regions: []string{"flanders"}, DomainsPerRegion: 1, WorkersPerDomain: 1, Configuration: overheadConfiguration,
		Services: []wasabilocal.Service{
			{Name: "front", Slots: 50, Connections: 500, ServiceTime: 2 * time.Millisecond, ResponseBytes: 256},
			{Name: "rear", Slots: 50, Connections: 500, ServiceTime: 2 * time.Millisecond, ResponseBytes: 256},
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
	newClient := func(s *wasabilocal.System, entry string) *wasabiload.Client {
		c := wasabidemo.AggressiveClient(s)
		c.MaxRetries, c.AttemptTimeout, c.ResponseBytes = 0, c.Timeout, 256
		c.Entry = func(string) string { return entry }
		return c
	}
	// A call for "rear" enters at the node of "front" and is forwarded over a
	// link.
	nodeClient, directClient := newClient(nodes.System, nodes.ServiceWorkers("front")[0].Entry()), newClient(direct, direct.ServiceWorkers("rear")[0].Upstream.URL())
	if _, err := runOverheadRound(ctx, nodeClient, classes, o.Seed, nil); err != nil {
		return t, err
	}
	if _, err := runOverheadRound(ctx, directClient, classes, o.Seed, nil); err != nil {
		return t, err
	}
	nodeLatencies, directLatencies := newLatencyHistogram(), newLatencyHistogram()
	var failed int
	for round := range uint64(overheadRounds) {
		o.progressf("overhead, round %d of %d", round+1, overheadRounds)
		for _, run := range []struct {
			client    *wasabiload.Client
			latencies *hdrhistogram.Histogram
		}{{directClient, directLatencies}, {nodeClient, nodeLatencies}} {
			n, err := runOverheadRound(ctx, run.client, classes, o.Seed+round, run.latencies)
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
	}{{"direct", directLatencies}, {"two nodes", nodeLatencies}} {
		// The mean number of open calls is by Little's law: rate times mean latency.
		t.add(r.name, r.h.TotalCount(), overheadRate*r.h.Mean()/1e6, ms(r.h, 50), ms(r.h, 99), ms(r.h, 99.9))
	}
	t.add("added", "", "", ms(nodeLatencies, 50)-ms(directLatencies, 50), ms(nodeLatencies, 99)-ms(directLatencies, 99), ms(nodeLatencies, 99.9)-ms(directLatencies, 99.9))
	t.note("bound at p99: %g ms added; calls that failed: %d", maxOverheadMs, failed)
	return t, nil
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// runOverheadRound runs one round, records the latencies of successful calls
// unless latencies is nil, and returns the number of failed calls.
func runOverheadRound(ctx context.Context, c *wasabiload.Client, classes []wasabiload.Class, seed uint64, latencies *hdrhistogram.Histogram) (failed int, err error) {
	phases := []wasabiload.Phase{{Name: "round", Length: overheadRoundTime, Factor: 1}}
	for _, r := range wasabiload.Run(ctx, wasabiload.Plan(seed, classes, phases), classes, phases, c) {
		switch {
		case !r.Good:
			failed++
		case latencies != nil:
			_ = latencies.RecordValue(r.Latency.Microseconds())
		}
	}
	return failed, ctx.Err()
}

// regionResponseBytes is the size of responses in the regions benchmark, about
// one page of the rota board.
const regionResponseBytes = 8 << 10

func benchRegions(ctx context.Context, o Options) (Table, error) {
	t := Table{
		Settings: "chain of 4 services, 24 workers in 3 regions, half of the capacity for 6 s, answers of 8 KiB",
		Columns:  []string{"System", "Good requests", "Cross-region bytes", "Bytes per good request", "Good (%)"},
	}
	var blindBytes float64
	for _, k := range []systemKind{
		{"direct, region-blind", startDirect(func(t *wasabilocal.Topology) { t.RegionBlind, t.Detached, t.HopRetries = true, false, 0 })},
		{"nodes", startNodes},
	} {
		o.progressf("regions with %s", k.name)
		topology := wasabidemo.Chain()
		for i := range topology.Services {
			topology.Services[i].ResponseBytes = regionResponseBytes
		}
		system, stop, err := k.start(ctx, topology, o.Seed)
		if err != nil {
			return t, err
		}
		classes := wasabidemo.Classes(0.5 * topology.Capacity(wasabidemo.DeepService))
		phases := []wasabiload.Phase{{Name: "steady", Length: 6 * time.Second, Factor: 1}}
		client := wasabidemo.AggressiveClient(system)
		client.ResponseBytes = regionResponseBytes
		list := wasabiload.Run(ctx, wasabiload.Plan(o.Seed, classes, phases), classes, phases, client)
		m := wasabidemo.Measure(system, classes, len(phases), list)
		if err := errors.Join(stop(), ctx.Err()); err != nil {
			return t, err
		}
		perRequest := float64(m.CrossRegion) / float64(max(m.Report.Good, 1))
		t.add(k.name, m.Report.Good, m.CrossRegion, perRequest, 100*m.Report.Phase(0).Share())
		if blindBytes == 0 {
			blindBytes = perRequest
		} else {
			t.note("%.1f%% less than region-blind; at least 80%% is the target", 100*(1-perRequest/blindBytes))
		}
	}
	return t, nil
}
