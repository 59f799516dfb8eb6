package wasabisettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/wasabiconfig"
	"github.com/wasabistand/wasabistand/wasabisettings"
)

// TestExampleFilesAreValid guards against example files that the programs would
// reject.
func TestExampleFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 16)
	for _, f := range files {
		switch base := filepath.Base(f); {
		case strings.HasPrefix(base, "node-"):
			_, err = wasabisettings.LoadNode(f)
		case strings.HasPrefix(base, "control-"):
			_, err = wasabisettings.LoadControl(f)
		default:
			var text []byte
			text, err = os.ReadFile(f)
			assert.NilError(t, err)
			_, err = wasabiconfig.ParseFile(f, text)
		}
		assert.NilError(t, err, f)
	}
}

// TestInvalidSettingsReportLineAndReason guards against a process that starts
// with settings that it can't apply, and against errors that lack the line or the
// reason.
func TestInvalidSettingsReportLineAndReason(t *testing.T) {
	read := func(f string) string {
		text, err := os.ReadFile("../examples/ogbonna/" + f)
		assert.NilError(t, err)
		return string(text)
	}
	for _, c := range []struct{ file, old, replacement, want string }{
		{"node-reports-1.toml", `Instance = "reports-1"`, `Instance = "a b"`, `f:3: Instance: "a b" is not a name`},
		{"node-reports-1.toml", `Slots = 55`, `Slots = -1`, `f:10: Upstream.Slots: -1, allowed are 1 to`},
		{"node-reports-1.toml", `Slots = 55`, `Slotts = 55`, `f:10: Upstream.Slotts: unknown key`},
		{"node-reports-1.toml", `"60s"`, `60`, `not a time with a unit`},
		{"node-reports-1.toml", `"10.1.2.1:8001"`, `"10.1.2.1:8000"`, `is also the address of Listen.Link`},
		{"node-reports-1.toml", `"10.1.2.1:8001"`, `"reports:8001"`, `allowed is IP:port`},
		{"control-1.toml", `Name = "root"`, `Name = "roof"`, `no group "root"`},
		{"control-1.toml", `Right = "Read"`, `Right = "Write"`, `allowed are Read, Change`},
		{"control-1.toml", `Instance = "control-2"`, `Instance = "control-1"`, `is a member twice`},
	} {
		text := read(c.file)
		assert.Assert(t, strings.Contains(text, c.old), c.old)
		text = strings.Replace(text, c.old, c.replacement, 1)
		var err error
		if strings.HasPrefix(c.file, "node") {
			_, err = wasabisettings.ParseNode("f", []byte(text))
		} else {
			_, err = wasabisettings.ParseControl("f", []byte(text))
		}
		assert.ErrorContains(t, err, c.want)
	}
}
