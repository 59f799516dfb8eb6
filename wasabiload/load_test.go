package wasabiload_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiload"
)

var classes = []wasabiload.Class{{Name: "view", Importance: wasabistand.Low, Rate: 100}}

type stalledSender struct{ until time.Time }

func (s stalledSender) Send(ctx context.Context, _ time.Time, _ int, _ wasabiload.Class) wasabiload.Result {
	select {
	case <-time.After(time.Until(s.until)):
	case <-ctx.Done():
	}
	return wasabiload.Result{Good: true, Attempts: 1}
}

// Guards against coordinated omission: requests planned during a stall must
// be sent on time and their latency must include the rest of the stall.
func TestRunSendsOnTimeDuringStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		phases := []wasabiload.Phase{{Name: "steady", Length: 10 * time.Second, Factor: 1}}
		plan := wasabiload.Plan(1, classes, phases)
		start := time.Now()
		list := wasabiload.Run(t.Context(), plan, classes, phases, stalledSender{start.Add(5 * time.Second)})
		assert.Equal(t, len(list), len(plan))
		for _, o := range list {
			assert.Equal(t, o.Late, time.Duration(0))
			assert.Equal(t, o.Latency, max(0, 5*time.Second-o.At))
		}
	})
}

// Guards against plans that can't be reproduced and against a wrong rate.
func TestPlan(t *testing.T) {
	phases := []wasabiload.Phase{{Length: 100 * time.Second, Factor: 1}, {Length: 100 * time.Second, Factor: 3}}
	plan := wasabiload.Plan(7, classes, phases)
	assert.DeepEqual(t, plan, wasabiload.Plan(7, classes, phases))
	n := [2]int{}
	for i, a := range plan {
		n[a.Phase]++
		assert.Assert(t, i == 0 || plan[i-1].At <= a.At)
		assert.Equal(t, a.Phase, int(a.At/(100*time.Second)))
	}
	// Five standard deviations of the Poisson counts.
	assert.Assert(t, n[0] > 9500 && n[0] < 10500, "%d arrivals", n[0])
	assert.Assert(t, n[1] > 29130 && n[1] < 30870, "%d arrivals", n[1])
}

// Guards against a recovery that is reported although goodput fell again.
func TestRecovery(t *testing.T) {
	var list []wasabiload.Outcome
	add := func(from, to time.Duration, good bool) {
		for at := from; at < to; at += 10 * time.Millisecond {
			list = append(list, wasabiload.Outcome{Arrival: wasabiload.Arrival{Number: 1, At: at}, Result: wasabiload.Result{Good: good}})
		}
	}
	add(0, 10*time.Second, true)
	add(10*time.Second, 11*time.Second, false)
	add(11*time.Second, 12*time.Second, true)
	add(12*time.Second, 13*time.Second, false)
	add(13*time.Second, 20*time.Second, true)
	d, ok := wasabiload.Recovery(list, 10*time.Second, 20*time.Second, 1)
	assert.Assert(t, ok)
	assert.Equal(t, d, 3*time.Second)
	add(19*time.Second, 20*time.Second, false)
	_, ok = wasabiload.Recovery(list, 10*time.Second, 20*time.Second, 1)
	assert.Assert(t, !ok)
}
