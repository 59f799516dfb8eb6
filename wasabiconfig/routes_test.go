package wasabiconfig_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiconfig"
)

func ExampleParse_routes() {
	_, err := wasabiconfig.Parse([]byte(`
[[Hosts]]
Name = "board.example"
[[Hosts.Routes]]
PathPrefix = "/slots/"
Kind = "Safe"
Importance = "Normal"
Timeout = "0s"
Service = "rota"
`))
	fmt.Println(strings.Count(err.Error(), "\n")+1, "problems")
	// Output: 2 problems
}

// Guards against example files that the parser rejects.
func TestRouteExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/routes.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, f := range files {
		text, err := os.ReadFile(f)
		assert.NilError(t, err)
		c, err := wasabiconfig.ParseFile(f, text)
		assert.NilError(t, err)
		assert.Equal(t, len(c.Hosts[0].Routes), 2)
		assert.Equal(t, c.Hosts[0].Routes[1].Kind, wasabistand.Unsafe)
	}
}

// Guards against errors on routes that lack the line or the key of the problem.
func TestRouteErrorsReportPosition(t *testing.T) {
	text, err := os.ReadFile("../examples/ogbonna/routes.toml")
	assert.NilError(t, err)
	for change, want := range map[[2]string]string{
		{`Weight = 5`, `Weight = -5`}:                                    "routes.toml:47: Hosts[0].Routes[1].Split[1].Weight",
		{`Kind = "Unsafe"`, `Kind = "unsafe"`}:                           "routes.toml:35: Hosts[0].Routes[1].Kind",
		{`PathPrefix = "/surveys/"`, `PathPrefix = "/surveys"`}:          "routes.toml:24: Hosts[0].Routes[0].PathPrefix",
		{`PathPrefix = "/reports/approve/"`, `PathPrefix = "/surveys/"`}: "declared twice",
		{`MaxAttempts = 2`, `MaxAttempts = 0`}:                           "MaxAttempts: 0, allowed are 1 to 100",
		{`IdleTimeout = "15s"`, `IdleTimeout = "0s"`}:                    "routes.toml:7: Clients.IdleTimeout",
		{`Service = "archive"`, `Service = "ar chive"`}:                  "Upstreams[0].Service",
		{`Objective = "1.2s"`, `Objectives = "1.2s"`}:                    "unknown key",
	} {
		changed := strings.Replace(string(text), change[0], change[1], 1)
		assert.Assert(t, changed != string(text))
		_, err := wasabiconfig.ParseFile("routes.toml", []byte(changed))
		assert.Assert(t, wasabistand.ErrInvalid.Has(err), "%s", change[1])
		assert.ErrorContains(t, err, want)
	}
}
