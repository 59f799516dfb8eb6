package wasabicommand_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/wasabicommand"
)

// Guards against a trace command that does not lead from a request ID to the
// cause of the outcome, as the page on operations describes.
func TestTraceCommand(t *testing.T) {
	dir := t.TempDir()
	entry, target := filepath.Join(dir, "node-1.log"), filepath.Join(dir, "node-2.log")
	assert.NilError(t, os.WriteFile(entry, []byte("Time=2026-01-13T16:49:26.7Z Level=info Event=refused Instance=a Outcome=unknown Reason=answer-cut RequestID=r Status=502 Tried=\"[\\\"b@1\\\"]\"\n"), 0o600))
	assert.NilError(t, os.WriteFile(target, []byte("Time=2026-01-13T16:49:24Z Level=info Event=heartbeat Instance=b Slots=12\nTime=2026-01-13T16:49:26.6Z Level=info Event=served Instance=b Outcome=unknown Reason=answer-cut RequestID=r Detail=\"no whole answer\"\n"), 0o600))
	var out bytes.Buffer
	run := func(args ...string) error {
		for _, c := range wasabicommand.New(&out) {
			if c.Name == "trace" {
				return c.ParseAndRun(t.Context(), args)
			}
		}
		t.Fatal("no command trace")
		return nil
	}
	assert.NilError(t, run("r", entry, target))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 6, "%s", out.String())
	assert.Assert(t, strings.Contains(lines[1], "Event=heartbeat") && strings.Contains(lines[3], "Event=served") && strings.Contains(lines[4], "Event=refused"))
	assert.Assert(t, strings.HasPrefix(lines[5], "Cause: the upstream's answer broke off"))
	assert.Equal(t, wasabicommand.ExitCode(run()), wasabicommand.ExitInvalid)
	assert.Equal(t, wasabicommand.ExitCode(run("none", entry)), wasabicommand.ExitFailed)
	assert.Equal(t, wasabicommand.ExitCode(run("r", filepath.Join(dir, "missing"))), wasabicommand.ExitFailed)
}
