// Package wasabidemo demonstrates a metastable overload, which persists after its
// trigger has ended, on a chain of services: first without overload control and
// then with nodes, in one process on loopback. It checks whether the product's
// invariants held during the run.
package wasabidemo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiload"
	"github.com/wasabistand/wasabistand/wasabilocal"
)

// Error is the class of this package's errors.
var Error = errs.Class("demo")

// maxDuration bounds the whole demonstration.
const maxDuration = 60 * time.Second

// New returns the demo command, which prints to out.
func New(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("wasabistand demo", flag.ContinueOnError)
	s := DefaultScenario()
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the planned requests")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "wasabistand demo [-seed N]",
		ShortHelp:  "show an overload without and with the product, in one process",
		LongHelp:   "Takes about 50 s on loopback and needs no set-up. The exit code is 0 only when the invariants held.",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, maxDuration)
			defer cancel()
			return Demo(ctx, out, Chain(), s)
		},
	}
}

// Demo runs the scenario on both systems and prints the results and the
// invariants that did not hold. It returns an error if there are any.
func Demo(ctx context.Context, out io.Writer, t wasabilocal.Topology, s Scenario) error {
	fmt.Fprintf(out, "4 services with %d workers each, clients that retry hard, seed %d\n", len(t.Locations()), s.Seed)
	fmt.Fprintf(out, "without: direct calls, %d retries at each hop, unbounded queues, calls run on when their caller has gone\n", t.HopRetries)
	direct, err := runDirect(ctx, out, t, s)
	if err != nil {
		return Error.Wrap(err)
	}
	nodes, operator, err := runNodes(ctx, out, t, s)
	if err != nil {
		return Error.Wrap(err)
	}
	if ctx.Err() != nil {
		return Error.New("the run stopped before it was complete: %v", ctx.Err())
	}
	fmt.Fprintln(out)
	printTable(out, direct, nodes)
	fmt.Fprintln(out)
	for _, line := range operator.lines {
		fmt.Fprintln(out, line)
	}
	if nodes.Reasons != "" {
		fmt.Fprintf(out, "calls that nodes did not answer, by reason: %s\n", nodes.Reasons)
	}
	violations := append(nodes.Violations(), operator.violations...)
	if len(violations) == 0 {
		fmt.Fprintln(out, "All invariants held.")
		return nil
	}
	for _, v := range violations {
		fmt.Fprintf(out, "BROKEN: %s\n", v)
	}
	return Error.New("%d invariants did not hold", len(violations))
}

func runDirect(ctx context.Context, out io.Writer, t wasabilocal.Topology, s Scenario) (m Measurements, err error) {
	progress := progressPrinter(out, "without")
	system, err := wasabilocal.NewDirect(t, s.Seed)
	if err != nil {
		return m, err
	}
	defer func() { err = errs.Combine(err, system.Close()) }()
	m = s.Run(ctx, system, t, progress, nil)
	progress("goodput before %.1f%%, during %.1f%%, after %.1f%%", percent(m, Before), percent(m, During), percent(m, After))
	return m, nil
}

func runNodes(ctx context.Context, out io.Writer, t wasabilocal.Topology, s Scenario) (m Measurements, o operatorResult, err error) {
	progress := progressPrinter(out, "with")
	nodes, err := wasabilocal.NewNodes(ctx, t, s.Seed)
	if err != nil {
		return m, o, err
	}
	defer func() { err = errs.Combine(err, nodes.Close()) }()
	progress("%d nodes are ready", len(nodes.Workers))
	m = s.Run(ctx, nodes.System, t, progress, func(ctx context.Context) { o = runOperatorCommands(ctx, nodes, t, s, progress) })
	waitIdle(ctx, nodes.System, time.Second)
	m = m.withMonitor(nodes.Monitor)
	progress("goodput before %.1f%%, during %.1f%%, after %.1f%%", percent(m, Before), percent(m, During), percent(m, After))
	return m, o, nil
}

func percent(m Measurements, phase int) float64 { return 100 * m.Report.Phase(phase).Share() }

// operatorResult holds the results of the operator commands during the run.
type operatorResult struct {
	lines      []string
	violations []string
}

// maxDrainTime is the time after which a drained upstream gets no new calls.
const maxDrainTime = 3 * time.Second

// runOperatorCommands applies a configuration during the trigger and drains an
// instance after it.
func runOperatorCommands(ctx context.Context, n *wasabilocal.Nodes, t wasabilocal.Topology, s Scenario, progress func(string, ...any)) (o operatorResult) {
	fail := func(what string, err error) {
		o.violations = append(o.violations, fmt.Sprintf("%s: %v", what, err))
	}
	if !sleep(ctx, s.WarmupTime+s.BeforeTime+s.DuringTime/2) {
		return o
	}
	d, err := n.Apply(ctx, wasabilocal.WithImportance(t.Configuration, "read", "High"))
	if err != nil {
		fail("apply", err)
		return o
	}
	o.lines = append(o.lines, fmt.Sprintf("apply (importance of reads): in force on all nodes %s after it was accepted", d.Round(10*time.Microsecond)))
	progress("%s", o.lines[0])
	if !sleep(ctx, s.DuringTime/2+s.AfterTime/2) {
		return o
	}
	instance := n.ServiceWorkers(DeepService)[0].Name
	if d, err = n.Drain(ctx, instance, min(maxDrainTime, s.AfterTime/4)); err != nil {
		fail("drain", err)
		return o
	}
	o.lines = append(o.lines, fmt.Sprintf("drain (%s): last call offered %s after it was accepted", instance, d.Round(10*time.Microsecond)))
	progress("%s", o.lines[1])
	return o
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func printTable(out io.Writer, direct, nodes Measurements) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "Measured\tWithout\tWith")
	row := func(name, format string, f func(Measurements) any) {
		fmt.Fprintf(w, "%s\t"+format+"\t"+format+"\n", name, f(direct), f(nodes))
	}
	for i := wasabistand.Critical; i >= wasabistand.Low; i-- {
		row(fmt.Sprintf("Goodput %s, before/during/after", i), "%s", func(m Measurements) any {
			return fmt.Sprintf("%s / %s / %s", formatShare(m.Report, Before, i), formatShare(m.Report, During, i), formatShare(m.Report, After, i))
		})
	}
	row("Retries per request, clients and hops", "%.2f", func(m Measurements) any { return m.RetriesPerRequest() })
	row("Extra calls by hops, most for one send", "%d", func(m Measurements) any { return m.MostExtraRuns })
	fmt.Fprintf(w, "Retries by nodes, all / most for one send\t-\t%d / %d\n", nodes.Retries, nodes.MostRetries)
	row("Wasted work", "%.1f%%", func(m Measurements) any { return 100 * m.WastedShare() })
	row("Recovery time", "%s", func(m Measurements) any { return formatRecovery(m) })
	row("Doubled bookings", "%d", func(m Measurements) any { return m.DuplicateBookings })
	row("Answers mixed up / partial", "%s", func(m Measurements) any { return fmt.Sprintf("%d / %d", m.Report.Mismatched, m.Report.Truncated) })
	row("Refused as not run that ran", "%d", func(m Measurements) any { return m.RefusedButRun })
	row("Latency of good requests, p50 / p99", "%s", func(m Measurements) any {
		return fmt.Sprintf("%.0f ms / %.0f ms", float64(m.Report.Latency.ValueAtQuantile(50))/1000, float64(m.Report.Latency.ValueAtQuantile(99))/1000)
	})
	row("Generator late, p99", "%.1f ms", func(m Measurements) any { return float64(m.Report.Late.ValueAtQuantile(99)) / 1000 })
	row("Cross-region traffic", "%.1f MB", func(m Measurements) any { return float64(m.CrossRegion) / 1e6 })
}

func formatShare(r wasabiload.Report, phase int, i wasabistand.Importance) string {
	return fmt.Sprintf("%.1f%%", 100*r.ByPhase[phase][i].Share())
}

func formatRecovery(m Measurements) string {
	if !m.Recovered {
		return "not in this run"
	}
	return m.Recovery.String()
}
