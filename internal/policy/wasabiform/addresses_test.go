package wasabiform_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
)

func ExampleAddresses() {
	a := wasabiform.Addresses{}.WithHints("10.0.0.1:1", "10.0.0.2:1").WithMembers("10.0.0.2:1", "10.0.0.3:1")
	fmt.Println(a.All())
	fmt.Println(a.Without("10.0.0.3:1").Round(0, 1))
	// Output:
	// [10.0.0.2:1 10.0.0.3:1 10.0.0.1:1]
	// [10.0.0.2:1 10.0.0.1:1]
}

// Guards against a member that keeps the first addresses that it heard of and drops the
// later ones, so that it knows none of the present members after many replacements.
func TestLatestAddressesAreKept(t *testing.T) {
	var a wasabiform.Addresses
	for k := range 200 {
		a = a.WithMembers(fmt.Sprint("member-", k), fmt.Sprint("member-", k+1)).WithHints(fmt.Sprint("hint-", k))
	}
	list := a.All()
	assert.Assert(t, len(list) <= 34, "%d addresses", len(list))
	for _, latest := range []string{"member-199", "member-200", "hint-199", "member-198"} {
		assert.Assert(t, slices.Contains(list, latest), "%s is missing in %v", latest, list)
	}
	asked := map[string]bool{}
	for round := range 20 {
		for _, address := range a.Round(round, 4) {
			asked[address] = true
		}
	}
	assert.Equal(t, len(asked), len(list), "not all are asked")
}
