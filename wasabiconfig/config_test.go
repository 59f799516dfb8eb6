package wasabiconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiconfig"
)

const valid = `
[[Callers]]
Name = "client"
Patience = "5s"
Home = "lagos"

[[Services]]
Name = "reports"

[[Services.Calls]]
Name = "approve"
Method = "POST"
Path = "/reports/{id}/approval"
Importance = "Critical"
Idempotent = false

[[Services.Calls]]
Name = "browse"
Path = "/reports/{rest...}"
Importance = "Low"
Idempotent = true
`

func ExampleParse() {
	c, err := wasabiconfig.Parse([]byte(valid))
	if err != nil {
		fmt.Println(err)
		return
	}
	call, _ := wasabiconfig.NewIndex(c).Match("reports", "POST", "/reports/7/approval")
	fmt.Println(call.Name, call.Importance, call.Idempotent)
	// Output: approve Critical false
}

// Guards against an invalid document being applied in part, and against errors
// that lack the position or the cause of a problem.
func TestParseReportsEachProblem(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"unknown key", `Home = "lagos"`, `House = "lagos"`, "5: Callers.House: unknown key"},
		{"missing unit", `"5s"`, `5`, `4: Callers[0].Patience: "5" is not a time with a unit`},
		{"negative", `"5s"`, `"-5s"`, "4: Callers[0].Patience: -5s, allowed are times from 1µs to 24h"},
		{"zero patience", `"5s"`, `"0s"`, "Callers[0].Patience: 0s"},
		{"importance", `"Critical"`, `"Urgent"`, `14: Services[0].Calls[0].Importance: "Urgent", allowed are Low`},
		{"idempotent missing", "Idempotent = false\n", "\n", "Services[0].Calls[0].Idempotent: missing"},
		{"clash", `"/reports/{rest...}"`, `"/{any}/7/approval"`, `clashes with the call "approve"`},
		{"same name", `Name = "browse"`, `Name = "approve"`, `call "approve" is declared twice`},
		{"path", `"/reports/{rest...}"`, `"reports"`, `allowed are paths that begin with "/"`},
		{"syntax", `[[Services]]`, `[[Services]`, "7:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.replacement, 1)
			_, err := wasabiconfig.Parse([]byte(text))
			assert.Assert(t, wasabistand.ErrInvalid.Has(err))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against a request that matches the patterns of two calls, where the
// choice would depend on their order in the document.
func TestMatchDoesNotDependOnOrder(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "{x}"})
	path := rapid.Custom(func(t *rapid.T) string {
		p := "/" + strings.Join(rapid.SliceOfN(segment, 1, 3).Draw(t, "segments"), "/")
		if rapid.Bool().Draw(t, "rest") {
			p += "/{rest...}"
		}
		return p
	})
	rapid.Check(t, func(t *rapid.T) {
		paths := rapid.SliceOfN(path, 2, 5).Draw(t, "paths")
		document := func(order []int) string {
			var b strings.Builder
			b.WriteString("[[Services]]\nName = \"s\"\n")
			for _, i := range order {
				fmt.Fprintf(&b, "[[Services.Calls]]\nName = \"c%d\"\nPath = %q\nImportance = \"Low\"\nIdempotent = true\n", i, paths[i])
			}
			return b.String()
		}
		order := make([]int, len(paths))
		for i := range order {
			order[i] = i
		}
		shuffled := rapid.Permutation(order).Draw(t, "order")
		first, err := wasabiconfig.Parse([]byte(document(order)))
		second, err2 := wasabiconfig.Parse([]byte(document(shuffled)))
		assert.Equal(t, err == nil, err2 == nil)
		if err != nil {
			return
		}
		request := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 4).Draw(t, "request"), "/")
		a, ok := wasabiconfig.NewIndex(first).Match("s", "GET", request)
		b, ok2 := wasabiconfig.NewIndex(second).Match("s", "GET", request)
		assert.Equal(t, ok, ok2)
		assert.Equal(t, a.Name, b.Name)
	})
}
