package wasabicommand_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/wasabicommand"
)

func run(t *testing.T, name string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	for _, c := range wasabicommand.New(&out) {
		if c.Name == name {
			err := c.ParseAndRun(context.Background(), args)
			return out.String(), err
		}
	}
	t.Fatalf("no command %q", name)
	return "", nil
}

// Guards against a comparison that reports a moved section as a change, or
// hides a changed value.
func TestCompareShowsChangedKeysByName(t *testing.T) {
	text, err := os.ReadFile("../examples/ogbonna/configuration.toml")
	assert.NilError(t, err)
	folder := t.TempDir()
	changed := filepath.Join(folder, "changed.toml")
	assert.NilError(t, os.WriteFile(changed, []byte(strings.Replace(string(text), `Importance = "Critical"`, `Importance = "High"`, 1)), 0o600))
	out, err := run(t, "compare", "../examples/ogbonna/configuration.toml", changed)
	assert.NilError(t, err)
	assert.Equal(t, out, "Services[reports].Calls[approve].Importance: Critical -> High\n")
}

// Guards against scripts that take an unknown outcome for a refusal and run a
// command twice.
func TestExitCodesDistinguishOutcomes(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{connect.NewError(connect.CodeAborted, errors.New("x")), wasabicommand.ExitConflict},
		{connect.NewError(connect.CodeUnavailable, errors.New("no quorum")), wasabicommand.ExitUnavailable},
		{connect.NewError(connect.CodeUnavailable, errors.New("outcome unknown")), wasabicommand.ExitUnknown},
		{connect.NewError(connect.CodeDeadlineExceeded, errors.New("x")), wasabicommand.ExitUnknown},
		{connect.NewError(connect.CodePermissionDenied, errors.New("x")), wasabicommand.ExitDenied},
		{wasabicommand.UnknownCommand("x"), wasabicommand.ExitInvalid},
	} {
		assert.Equal(t, wasabicommand.ExitCode(c.err), c.want, "%v", c.err)
	}
}

// Guards against a configuration being sent although the file is invalid.
func TestCheckReportsFileAndLine(t *testing.T) {
	f := filepath.Join(t.TempDir(), "c.toml")
	assert.NilError(t, os.WriteFile(f, []byte("[Retry]\nPerRequest = 1000\n"), 0o600))
	_, err := run(t, "check", f)
	assert.ErrorContains(t, err, "c.toml:2: Retry.PerRequest: 1000, allowed are 0 to 100")
	assert.Equal(t, wasabicommand.ExitCode(err), wasabicommand.ExitInvalid)
}
