package wasabiraft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// TestFirstElectionDeadlineIsShort guards against a group that waits a whole
// election timeout after all of its members lost power, when there is no leader
// that an election could disturb.
func TestFirstElectionDeadlineIsShort(t *testing.T) {
	state, err := wasabiraft.Bootstrap([]*wasabistandv1.Member{{Id: "a", Address: "127.0.0.1:1"}, {Id: "b", Address: "127.0.0.1:2"}})
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	s := wasabiraft.NewSettings()
	for seed := range uint64(50) {
		r, err := wasabiraft.New(wasabiraft.Self{ID: "a", Address: "127.0.0.1:1", Storage: "x"}, s, state, rand.New(rand.NewPCG(seed, 1)), now)
		assert.NilError(t, err)
		assert.Assert(t, r.NextTick().Before(now.Add(s.ElectionTimeout)))
	}
}
