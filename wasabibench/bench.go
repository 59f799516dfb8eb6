// Package wasabibench measures the product and its baselines in the same run and
// prints the results as tables. It defines what is measured and under which
// settings; it does not rate the results.
package wasabibench

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("bench")

// Options holds the parameters of a benchmark run.
type Options struct {
	Seed uint64
	// Progress receives progress messages while a benchmark runs.
	Progress io.Writer
}

func (o Options) progressf(format string, args ...any) {
	fmt.Fprintf(o.Progress, format+"\n", args...)
}

// Bench is one benchmark.
type Bench struct {
	Name  string
	About string
	Run   func(ctx context.Context, o Options) (Table, error)
}

// Table is the result of a benchmark. Column names include the units.
type Table struct {
	Name     string
	Settings string
	Seed     uint64
	Columns  []string
	Rows     [][]string
	// Notes holds results that are not rows, such as a fitted line or a target.
	Notes []string `json:",omitempty"`
}

func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.4g", v)
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
}

func (t *Table) note(format string, args ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf(format, args...))
}

// All returns all benchmarks.
func All() []Bench {
	return []Bench{
		{"goodput", "goodput and wasted work at 1, 2, 5 and 10 times the capacity of a deep service", benchGoodput(1, 2, 5, 10)},
		{"waste", "wasted work at 5 times the capacity of a deep service", benchGoodput(5)},
		{"recovery", "time until goodput is back after a surge on a slow deep service", benchRecovery},
		{"overhead", "time that two nodes add to a call", benchOverhead},
		{"regions", "bytes that cross regions for each answered request", benchRegions},
		{"sessions", "memory, traffic and processor time of node sessions with control", benchSessions},
		{"claims", "memory and time of the claim table", benchClaims},
		{"members", "memory and time of member lists and their deltas", benchMembers},
	}
}

// New returns the bench command, which prints results to out and progress
// messages to progress.
func New(out, progress io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("wasabistand bench", flag.ContinueOnError)
	list := f.Bool("list", false, "list the benchmarks")
	asJSON := f.Bool("json", false, "print JSON")
	asCSV := f.Bool("csv", false, "print CSV")
	seed := f.Uint64("seed", 1, "seed of the load and of all random choices")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "wasabistand bench [-list] [-json|-csv] [-seed N] NAME...",
		ShortHelp:  "measure the product and its baselines",
		LongHelp:   listText(),
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			if *list {
				fmt.Fprint(out, listText())
				return nil
			}
			if *asJSON && *asCSV {
				return wasabistand.ErrInvalid.New("-json and -csv: both given, allowed is one")
			}
			benches, err := selectBenches(args)
			if err != nil {
				return err
			}
			for _, b := range benches {
				t, err := b.Run(ctx, Options{Seed: *seed, Progress: progress})
				if err != nil {
					return Error.New("%s: %v", b.Name, err)
				}
				t.Name, t.Seed = b.Name, *seed
				t.Settings = strings.TrimSpace(fmt.Sprintf("%s; %d processors", t.Settings, runtime.GOMAXPROCS(0)))
				switch {
				case *asJSON:
					err = json.NewEncoder(out).Encode(t)
				case *asCSV:
					err = t.writeCSV(out)
				default:
					err = t.write(out)
				}
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func listText() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	for _, bench := range All() {
		fmt.Fprintf(w, "%s\t%s\n", bench.Name, bench.About)
	}
	_ = w.Flush()
	return b.String()
}

func selectBenches(names []string) ([]Bench, error) {
	if len(names) == 0 {
		return nil, wasabistand.ErrInvalid.New("no bench named; allowed are:\n%s", listText())
	}
	var list []Bench
next:
	for _, name := range names {
		for _, b := range All() {
			if b.Name == name {
				list = append(list, b)
				continue next
			}
		}
		return nil, wasabistand.ErrInvalid.New("bench %q; allowed are:\n%s", name, listText())
	}
	return list, nil
}

func (t Table) write(out io.Writer) error {
	fmt.Fprintf(out, "%s (seed %d; %s)\n", t.Name, t.Seed, t.Settings)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.Columns, "\t"))
	for _, r := range t.Rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range t.Notes {
		fmt.Fprintln(out, n)
	}
	_, err := fmt.Fprintln(out)
	return err
}

func (t Table) writeCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	if err := w.Write(append([]string{"Bench", "Seed", "Settings"}, t.Columns...)); err != nil {
		return err
	}
	for _, r := range t.Rows {
		if err := w.Write(append([]string{t.Name, fmt.Sprint(t.Seed), t.Settings}, r...)); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
