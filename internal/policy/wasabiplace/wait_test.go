package wasabiplace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
	"github.com/wasabistand/wasabistand/wasabiadmission"
)

// Guards against requests that wait in a full queue until no time is left to try an
// instance with free slots. The load: one instance whose slots are held by long
// calls, one that is free, and callers with a timeout of one second.
func TestQueueTimeLeavesTimeForAnotherInstance(t *testing.T) {
	const (
		timeout = time.Second
		service = 100 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	q := wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(2))
	for id := range wasabistand.TicketID(2) {
		q.Offer(start, wasabistand.Ticket{ID: id + 1, Importance: wasabistand.Normal, Deadline: start.Add(time.Minute)})
	}
	decisions := q.Offer(start, wasabistand.Ticket{ID: 3, Importance: wasabistand.Normal, Deadline: start.Add(wasabiplace.WaitBound(timeout, service))})
	now := start
	for len(decisions) == 0 {
		now = q.NextTick()
		decisions = q.Tick(now)
	}
	assert.Equal(t, decisions[0].Verdict, wasabistand.Refuse)
	assert.Assert(t, timeout-now.Sub(start) >= 2*service, "refused after %v", now.Sub(start))
}

func TestWaitBound(t *testing.T) {
	assert.Equal(t, wasabiplace.WaitBound(20*time.Millisecond, 10*time.Millisecond), 20*time.Millisecond)
	assert.Equal(t, wasabiplace.WaitBound(time.Second, 0), 400*time.Millisecond)
}
