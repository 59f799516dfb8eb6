package wasabisoak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand/internal/soak/wasabioracle"
)

// Report is what a run found.
type Report struct {
	Settings   Settings
	Plan       Plan
	Violations []wasabioracle.Violation
	Counts     wasabioracle.Counts
	// OwnEnds describes the processes that ended without a signal of the run, and those
	// in which the Go runtime reported a failure or a race.
	OwnEnds []string
	// Excerpts are lines of logs around some violations.
	Excerpts []string
	Took     time.Duration
}

func (r *run) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{Settings: r.settings, Plan: r.plan, Violations: slices.Clone(r.violations), Counts: r.oracle.Counts(),
		OwnEnds: append(slices.Clone(r.ownEnds), r.runtimeFailures()...), Excerpts: r.excerpts(r.violations), Took: r.now()}
}

// Broken reports whether a promise was broken or a process failed by itself.
func (r Report) Broken() bool { return len(r.Violations) > 0 || len(r.OwnEnds) > 0 }

// maxLines bounds the violations that the text of a report lists.
const maxLines = 40

// String returns the report as text.
func (r Report) String() string {
	var b strings.Builder
	c := r.Counts
	fmt.Fprintf(&b, "seed %d, %d control instances, %d nodes, %d cores each, %s after %.1f s, program %s\n", r.Settings.Seed, r.Settings.Controls,
		r.Settings.Nodes, r.Settings.Cores, r.Settings.Duration, r.Took.Seconds()-r.Settings.Duration.Seconds(), r.Settings.Program)
	fmt.Fprintf(&b, "logs and plan in %s\n", r.Settings.Folder)
	fmt.Fprintf(&b, "changes: %d sent, %d acknowledged, %d later than the bound\n", c.ChangesSent, c.ChangesAcknowledged, c.SlowChanges)
	fmt.Fprintf(&b, "requests: %d, %d in touch, %d served, %d without a route, %d refused (%d in touch), %d without a clear answer\n", c.Requests, c.InTouch, c.Served, c.NotFound, c.Refused, c.RefusedInTouch, c.Unclear)
	fmt.Fprintf(&b, "older than confirmed, out of touch: %d, of these lasting: %d; run held up: %d times\n", c.LateOutOfTouch, c.LastingOutOfTouch, c.Stalls)
	for _, l := range r.OwnEnds {
		fmt.Fprintln(&b, l)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(&b, "no promise was broken")
		return b.String()
	}
	fmt.Fprintf(&b, "%d violations\n\n", len(r.Violations))
	b.WriteString(r.table())
	b.WriteString("\n")
	for i, v := range r.Violations {
		if i == maxLines {
			fmt.Fprintf(&b, "and %d more in soak.log\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(&b, v)
	}
	fmt.Fprintf(&b, "\n%s\n\n%s", strings.Join(r.Excerpts, "\n"), r.Plan)
	return b.String()
}

// table counts the violations of each rule by machine and by second.
func (r Report) table() string {
	type row struct{ rule, machine string }
	counts := map[row]map[int]int{}
	for _, v := range r.Violations {
		k := row{v.Rule, v.Machine}
		if counts[k] == nil {
			counts[k] = map[int]int{}
		}
		counts[k][int(v.At.Seconds())]++
	}
	rows := slices.SortedFunc(maps.Keys(counts), func(a, b row) int {
		if c := strings.Compare(a.rule, b.rule); c != 0 {
			return c
		}
		return strings.Compare(a.machine, b.machine)
	})
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-10s %5s  second: count\n", "rule", "machine", "all")
	for _, k := range rows {
		total := 0
		var cells []string
		for _, s := range slices.Sorted(maps.Keys(counts[k])) {
			total += counts[k][s]
			cells = append(cells, fmt.Sprintf("%d: %d", s, counts[k][s]))
		}
		fmt.Fprintf(&b, "%-12s %-10s %5d  %s\n", k.rule, k.machine, total, strings.Join(cells, ", "))
	}
	return b.String()
}
