package wasabimember_test

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
)

// TestRegistriesAgree guards against registries that list different instances
// after faults, leaving instances that get calls again, and clients whose list
// differs from the registry's.
func TestRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			if err := n.advance(); err != nil {
				t.Fatalf("%s: %v", n.now.Sub(start), err)
			}
		}
		if err := n.checkConvergence(); err != nil {
			t.Fatal(err)
		}
	})
}
