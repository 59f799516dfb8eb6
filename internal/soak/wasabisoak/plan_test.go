package wasabisoak_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/soak/wasabisoak"
)

func settings(seed uint64) wasabisoak.Settings {
	return wasabisoak.Settings{Seed: seed, Duration: time.Minute, Nodes: 12, Controls: 5, Cores: 1, Proxy: true, Faults: wasabisoak.Kinds()}
}

// A seed that failed is only of use if it gives the same plan again.
func TestPlanDependsOnSeedOnly(t *testing.T) {
	one := wasabisoak.NewPlan(settings(7)).String()
	assert.Equal(t, wasabisoak.NewPlan(settings(7)).String(), one)
	assert.Assert(t, wasabisoak.NewPlan(settings(8)).String() != one)
}

// Each kind must occur, and none when it is not asked for. Otherwise a soak passes
// because it plays nothing.
func TestPlanPlaysAllKinds(t *testing.T) {
	faults := map[wasabisoak.Kind]int{}
	var pairs, invalid, lost, resent, aimed, bursts, early, crowds int
	for seed := range uint64(20) {
		p := wasabisoak.NewPlan(settings(seed))
		if p.Crowd >= 0 {
			crowds++
		}
		for _, f := range p.Faults {
			assert.Assert(t, f.At > 0 && f.At < time.Minute && f.For > 0, "%+v", f)
			faults[f.Kind]++
		}
		for _, r := range p.Rounds {
			assert.Assert(t, r.At < time.Minute && r.Count > 0, "%+v", r)
			for _, c := range []struct {
				set   bool
				count *int
			}{{r.Pair, &pairs}, {r.Invalid, &invalid}, {r.Lose, &lost}, {r.Resend, &resent}, {r.Aim.Kind != "", &aimed}, {r.Count > 4, &bursts}, {r.Early.Kind != "", &early}} {
				if c.set {
					*c.count++
				}
			}
		}
	}
	for _, k := range wasabisoak.Kinds() {
		assert.Assert(t, faults[k] > 0, "%s", k)
	}
	for _, n := range []int{pairs, invalid, lost, resent, aimed, bursts, early, crowds} {
		assert.Assert(t, n > 0)
	}
	calm := settings(1)
	calm.Faults = nil
	p := wasabisoak.NewPlan(calm)
	assert.Equal(t, len(p.Faults), 0)
	for _, r := range p.Rounds {
		assert.Equal(t, r.Aim.Kind, wasabisoak.Kind(""))
		assert.Equal(t, r.Early.Kind, wasabisoak.Kind(""))
	}
}

func TestParseKinds(t *testing.T) {
	for _, c := range []struct {
		text string
		want []wasabisoak.Kind
	}{
		{"none", nil}, {"", nil}, {"all", wasabisoak.Kinds()},
		{"kill-node,busy", []wasabisoak.Kind{wasabisoak.KillNode, wasabisoak.Busy}},
	} {
		got, err := wasabisoak.ParseKinds(c.text)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, c.want)
	}
	_, err := wasabisoak.ParseKinds("kill-node,fire")
	assert.Assert(t, wasabisoak.Error.Has(err))
}
