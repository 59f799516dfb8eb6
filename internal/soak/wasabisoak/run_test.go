package wasabisoak_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/soak/wasabioracle"
	"github.com/wasabistand/wasabistand/internal/soak/wasabisoak"
)

// platform plays a deployment of shell scripts, in which operators and callers get
// what the test wants.
type platform struct {
	script string
	answer func(path string) wasabisoak.Response
	last   wasabisoak.Change
}

func (p *platform) String() string { return "scripts" }

func (p *platform) Settings(wasabisoak.Machine, []wasabisoak.Machine) string { return "" }

func (p *platform) LinkAddresses(m wasabisoak.Machine) (announced, behind string) {
	return m.IP + ":0", m.IP + ":0"
}

func (p *platform) Command(wasabisoak.Machine, string) (arguments, environment []string) {
	return []string{"-c", p.script}, []string{"PATH=/bin:/usr/bin"}
}

func (p *platform) Free(wasabisoak.Machine) bool { return true }

func (p *platform) Ready(context.Context, wasabisoak.Machine) bool { return true }

func (p *platform) Apply(_ context.Context, _ wasabisoak.Machine, c wasabisoak.Change) wasabioracle.Outcome {
	if c.Base > 0 {
		return wasabioracle.Unclear
	}
	p.last = c
	return wasabioracle.Accepted
}

func (p *platform) Read(context.Context, wasabisoak.Machine) (uint64, []string, error) {
	if p.last.Version == 0 {
		return 0, nil, errors.New("none")
	}
	var list []string
	for _, r := range p.last.Routes {
		list = append(list, r.Prefix)
	}
	return p.last.Version, list, nil
}

func (p *platform) NewCaller(wasabisoak.Machine) wasabisoak.Caller { return caller{p} }

func (p *platform) NewUpstream(wasabisoak.Machine, func(string, bool)) (wasabisoak.Upstream, error) {
	return upstream{}, nil
}

type caller struct{ platform *platform }

func (c caller) Call(_ context.Context, r wasabisoak.Request) wasabisoak.Response {
	x := c.platform.answer(r.Path)
	x.EchoedID = r.ID
	return x
}

func (c caller) Close() error { return nil }

type upstream struct{}

func (upstream) Close() error { return nil }

func refuse(string) wasabisoak.Response {
	return wasabisoak.Response{Outcome: wasabioracle.Refused, Status: 503}
}

func soak(t *testing.T, p *platform) wasabisoak.Report {
	t.Helper()
	s := wasabisoak.Settings{Seed: 1, Duration: time.Second, Nodes: 1, Controls: 1, Program: "/bin/sh", Folder: t.TempDir(),
		Bounds: wasabioracle.Settings{Apply: 100 * time.Millisecond, Contact: 100 * time.Millisecond, Downgrade: 100 * time.Millisecond, Controls: 1}}
	// All changes but the first stay unanswered, so the run is ended here.
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	report, err := wasabisoak.Run(ctx, s, p)
	assert.Assert(t, wasabisoak.Error.Has(err), "%v", err)
	_, err = os.Stat(filepath.Join(s.Folder, "plan.txt"))
	assert.NilError(t, err)
	return report
}

// Refusals alone break no promise.
func TestRunWithRefusals(t *testing.T) {
	t.Parallel()
	report := soak(t, &platform{script: "exec sleep 60", answer: refuse})
	assert.Assert(t, !report.Broken(), "%s", report)
	assert.Assert(t, report.Counts.Refused > 0)
}

// A node without routes must be found although all its requests were answered.
func TestRunFindsMissingRoutes(t *testing.T) {
	t.Parallel()
	report := soak(t, &platform{script: "exec sleep 60", answer: func(string) wasabisoak.Response {
		return wasabisoak.Response{Outcome: wasabioracle.NotFound, Status: 404}
	}})
	assert.Assert(t, report.Broken())
	assert.Equal(t, report.Violations[0].Rule, wasabioracle.RuleNoVersion)
	assert.Assert(t, strings.Contains(report.String(), wasabioracle.RuleNoVersion))
}

// A process that ends or fails by itself must be found although its promises hold.
func TestRunFindsFailedProcesses(t *testing.T) {
	for _, c := range []struct{ script, want string }{
		{"exit 3", "ended by itself"},
		{"echo 'panic: no'; exec sleep 60", "panic: no"},
		{"echo 'WARNING: DATA RACE'; exec sleep 60", "WARNING: DATA RACE"},
	} {
		t.Run(c.want, func(t *testing.T) {
			t.Parallel()
			report := soak(t, &platform{script: c.script, answer: refuse})
			assert.Assert(t, report.Broken())
			assert.Assert(t, strings.Contains(report.String(), c.want), "%s", report)
		})
	}
}
