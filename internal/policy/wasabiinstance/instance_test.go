package wasabiinstance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"

	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
)

// Guards against a drain that is revoked by a late or duplicate report or one from
// an earlier incarnation, and against confusing two incarnations. The oracle is the
// order in which the instance sent its reports.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []wasabiinstance.Report
		for life := range rapid.IntRange(1, 3).Draw(t, "lives") {
			leaving := false
			for sequence := range rapid.IntRange(1, 5).Draw(t, "reports") {
				leaving = leaving || rapid.IntRange(0, 3).Draw(t, "leaves") == 0
				sent = append(sent, wasabiinstance.Report{
					ID: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "id"), Born: uint64(life + 1), Sequence: uint64(sequence + 1), Service: "s", Address: "10.0.0.1:80", Slots: 1, Leaving: leaving,
				})
				sent[len(sent)-1].ID = sent[len(sent)-1-sequence].ID
			}
		}
		tracker := wasabiinstance.New("s", "10.0.0.1:80")
		newest, leaving := wasabiinstance.Report{}, false
		for range rapid.IntRange(1, 20).Draw(t, "deliveries") {
			r := rapid.SampledFrom(sent).Draw(t, "report")
			err := tracker.Heartbeat(time.Unix(1, 0), r)
			assert.Assert(t, err == nil || wasabiinstance.ErrStale.Has(err))
			if r.Born > newest.Born {
				leaving = false
			}
			if r.Born > newest.Born || r.Born == newest.Born && r.Sequence > newest.Sequence {
				newest = r
			}
			leaving = leaving || newest.Leaving
			s := tracker.State()
			assert.Equal(t, s.Born, newest.Born)
			assert.Equal(t, s.Leaving, leaving)
			assert.Assert(t, !s.AcceptsCalls(), "not asked yet")
		}
	})
}

// Guards against work for an instance that deregistered and whose last heartbeat
// arrives afterwards.
func TestDeregistrationIsFinal(t *testing.T) {
	tracker := wasabiinstance.New("s", "10.0.0.1:80")
	now := time.Unix(1, 0)
	r := wasabiinstance.Report{ID: "i", Born: 5, Sequence: 1, Service: "s", Address: "10.0.0.1:80", Slots: 3}
	assert.NilError(t, tracker.Heartbeat(now, r))
	tracker.Confirm(tracker.State().Lifetime)
	assert.Assert(t, tracker.State().AcceptsCalls())
	assert.NilError(t, tracker.Deregister(now, "other", 0))
	assert.Assert(t, tracker.State().AcceptsCalls())
	assert.Assert(t, wasabiinstance.ErrDropped.Has(tracker.Deregister(now, "i", 4)))
	assert.Assert(t, tracker.State().AcceptsCalls())
	assert.NilError(t, tracker.Deregister(now, "i", 0))
	r.Sequence = 9
	err := tracker.Heartbeat(now, r)
	assert.Assert(t, wasabiinstance.ErrStale.Has(err) && wasabiinstance.ErrDropped.Has(err), "it is not ready any more")
	assert.Assert(t, !tracker.State().AcceptsCalls())
	r.Born, r.Sequence = 6, 1
	assert.NilError(t, tracker.Heartbeat(now, r))
	assert.Assert(t, !tracker.State().Leaving)
}

// Guards against a drain that is acknowledged and not heeded, because another sender has
// reported the instance with a higher sequence and without its start.
func TestReportOfOtherSenderHidesNoDrain(t *testing.T) {
	now := time.Unix(1, 0)
	report := func(born, sequence uint64, leaving bool) wasabiinstance.Report {
		return wasabiinstance.Report{ID: "i", Born: born, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 3, Leaving: leaving}
	}
	odd := report(0, 1_000_000, false)
	t.Run("after the instance's", func(t *testing.T) {
		tracker := wasabiinstance.New("s", "10.0.0.1:80")
		assert.NilError(t, tracker.Heartbeat(now, report(5, 3, false)))
		tracker.Confirm(tracker.State().Lifetime)
		assert.Assert(t, wasabistand.ErrInvalid.Has(tracker.Heartbeat(now, odd)))
		other := odd
		other.ID = "j"
		assert.Assert(t, wasabistand.ErrInvalid.Has(tracker.Heartbeat(now, other)))
		assert.Assert(t, tracker.State().AcceptsCalls())
		assert.NilError(t, tracker.Heartbeat(now, report(5, 4, true)))
		assert.Assert(t, tracker.State().Leaving)
	})
	t.Run("before the instance's", func(t *testing.T) {
		tracker := wasabiinstance.New("s", "10.0.0.1:80")
		assert.NilError(t, tracker.Heartbeat(now, odd))
		assert.NilError(t, tracker.Heartbeat(now, report(5, 3, false)))
		assert.NilError(t, tracker.Heartbeat(now, report(5, 4, true)))
		assert.Assert(t, tracker.State().Leaving)
	})
	t.Run("late drain", func(t *testing.T) {
		tracker := wasabiinstance.New("s", "10.0.0.1:80")
		assert.NilError(t, tracker.Heartbeat(now, report(5, 9, false)))
		assert.NilError(t, tracker.Heartbeat(now, report(5, 4, true)))
		assert.Assert(t, tracker.State().Leaving)
		assert.Assert(t, wasabiinstance.ErrStale.Has(tracker.Heartbeat(now, report(5, 10, false))))
	})
}

// Guards against a node that restarts, has lost the instance's drain and trusts a
// late heartbeat.
func TestRestartedNodeConfirmsBeforeSendingWork(t *testing.T) {
	tracker := wasabiinstance.New("s", "10.0.0.1:80")
	now := time.Unix(1, 0)
	r := wasabiinstance.Report{ID: "i", Born: 5, Sequence: 8, Service: "s", Address: "10.0.0.1:80", Slots: 3}
	for range 3 {
		assert.NilError(t, tracker.Heartbeat(now, r))
		assert.Assert(t, !tracker.State().AcceptsCalls())
		assert.Assert(t, tracker.State().NeedsConfirmation())
		r.Sequence++
	}
	// The response of an earlier lifetime says nothing about this one.
	tracker.Confirm(tracker.State().Lifetime - 1)
	assert.Assert(t, !tracker.State().AcceptsCalls())
	r.Leaving = true
	assert.NilError(t, tracker.Heartbeat(now, r))
	tracker.Confirm(tracker.State().Lifetime)
	assert.Assert(t, !tracker.State().AcceptsCalls(), "a drain is final")
	assert.Assert(t, !tracker.State().NeedsConfirmation())
}

// Guards against accepting reports without an ID, of another service or address, or
// without slots.
func TestInvalidReportsAreRejected(t *testing.T) {
	tracker := wasabiinstance.New("s", "10.0.0.1:80")
	for _, r := range []wasabiinstance.Report{
		{Service: "s", Address: "10.0.0.1:80", Slots: 1}, {ID: "i", Service: "t", Address: "10.0.0.1:80", Slots: 1},
		{ID: "i", Service: "s", Address: "10.0.0.1:80"}, {ID: "i", Service: "s", Address: "10.0.0.2:80", Slots: 1},
	} {
		assert.Assert(t, wasabistand.ErrInvalid.Has(tracker.Heartbeat(time.Unix(1, 0), r)))
	}
	assert.Assert(t, !tracker.State().Known)
}

// lifetime is an incarnation of an instance in a test.
type lifetime struct {
	id       string
	born     uint64
	sequence uint64
}

// report returns the lifetime's next report.
func (l *lifetime) report(leaving bool) wasabiinstance.Report {
	l.sequence++
	return wasabiinstance.Report{ID: l.id, Born: l.born, Sequence: l.sequence, Service: "s", Address: "10.0.0.1:80", Slots: 3, Leaving: leaving}
}

// Guards against a drain that is acknowledged and not heeded, because one odd report with
// a start in the future has taken the place of the true incarnation for good.
func TestOddStartHidesNoDrain(t *testing.T) {
	for _, odd := range []*lifetime{{id: "i", born: 1 << 63}, {id: "i", born: 253_402_300_799_999}, {id: "j", born: 6000}} {
		now := time.Unix(1, 0)
		tracker := wasabiinstance.New("s", "10.0.0.1:80")
		own := &lifetime{id: "i", born: 5000}
		assert.NilError(t, tracker.Heartbeat(now, own.report(false)))
		_ = tracker.Heartbeat(now, odd.report(false))
		for range 4 {
			now = now.Add(1500 * time.Millisecond)
			if err := tracker.Heartbeat(now, own.report(false)); err != nil {
				assert.Assert(t, wasabiinstance.ErrDropped.Has(err), "%v", err)
			}
		}
		assert.Equal(t, tracker.State().Born, own.born)
		tracker.Confirm(tracker.State().Lifetime)
		assert.Assert(t, tracker.State().AcceptsCalls())
		assert.NilError(t, tracker.Heartbeat(now, own.report(true)))
		assert.Assert(t, tracker.State().Leaving)
	}
}

// Guards against a drain that is acknowledged and not heeded, because the clock was set
// back before the instance started again under its ID.
func TestEarlierStartAfterClockStepIsFollowed(t *testing.T) {
	for _, leave := range []string{"drain", "deregistration", "drain at once"} {
		now := time.Unix(1, 0)
		tracker := wasabiinstance.New("s", "10.0.0.1:80")
		before, after := &lifetime{id: "i", born: 5000}, &lifetime{id: "i", born: 2600}
		assert.NilError(t, tracker.Heartbeat(now, before.report(false)))
		leaving := leave == "drain at once"
		acknowledged := false
		for step := range 6 {
			if step > 0 {
				now = now.Add(time.Second)
			}
			err := tracker.Heartbeat(now, after.report(leaving))
			acknowledged = acknowledged || err == nil
			assert.Assert(t, err == nil || wasabiinstance.ErrDropped.Has(err), "%v", err)
			assert.Assert(t, !acknowledged || tracker.State().Leaving == leaving, "acknowledged and not in force")
		}
		assert.Assert(t, acknowledged, "%s: not followed after 5 s", leave)
		assert.Equal(t, tracker.State().Born, after.born)
		switch leave {
		case "drain":
			assert.NilError(t, tracker.Heartbeat(now, after.report(true)))
		case "deregistration":
			assert.NilError(t, tracker.Deregister(now, "i", after.born))
		}
		assert.Assert(t, tracker.State().Leaving)
		// What the incarnation before still sends changes nothing.
		before.sequence = 90
		assert.NilError(t, tracker.Deregister(now, "h", 1))
		assert.Assert(t, tracker.State().Leaving)
	}
}

// Guards against a deregistration that is acknowledged and not heeded, because the instance
// deregisters before it has been followed.
func TestDeregistrationOfOtherStartIsNotAcknowledged(t *testing.T) {
	now := time.Unix(1, 0)
	tracker := wasabiinstance.New("s", "10.0.0.1:80")
	before, after := &lifetime{id: "i", born: 5000}, &lifetime{id: "i", born: 2600}
	assert.NilError(t, tracker.Heartbeat(now, before.report(false)))
	now = now.Add(time.Second)
	assert.Assert(t, wasabiinstance.ErrDropped.Has(tracker.Heartbeat(now, after.report(false))))
	assert.Assert(t, wasabiinstance.ErrDropped.Has(tracker.Deregister(now, "i", after.born)))
	assert.Assert(t, !tracker.State().Leaving)
	now = now.Add(1500 * time.Millisecond)
	assert.Assert(t, wasabiinstance.ErrDropped.Has(tracker.Heartbeat(now, after.report(false))))
	// The other incarnation has been silent for two heartbeats now.
	now = now.Add(time.Second)
	assert.NilError(t, tracker.Deregister(now, "i", after.born))
	assert.Equal(t, tracker.State().Born, after.born)
	assert.Assert(t, tracker.State().Leaving)
}

// Guards against an incarnation that has ended and takes the place of the running one,
// because its reports arrive late: one by one beside those of the running one, or together
// after it was silent for a while.
func TestLateReportsOfEarlierIncarnationChangeNothing(t *testing.T) {
	now := time.Unix(1, 0)
	tracker := wasabiinstance.New("s", "10.0.0.1:80")
	ended, running := &lifetime{id: "i", born: 5000}, &lifetime{id: "i", born: 6000}
	assert.NilError(t, tracker.Heartbeat(now, ended.report(false)))
	assert.NilError(t, tracker.Heartbeat(now, running.report(false)))
	for range 20 {
		now = now.Add(1500 * time.Millisecond)
		assert.Assert(t, wasabiinstance.ErrDropped.Has(tracker.Heartbeat(now, ended.report(false))))
		assert.NilError(t, tracker.Heartbeat(now, running.report(false)))
	}
	now = now.Add(10 * time.Second)
	for range 5 {
		assert.Assert(t, wasabiinstance.ErrDropped.Has(tracker.Heartbeat(now, ended.report(false))))
		now = now.Add(100 * time.Millisecond)
	}
	assert.NilError(t, tracker.Heartbeat(now, running.report(false)))
	assert.Equal(t, tracker.State().Born, running.born)
	assert.Equal(t, tracker.State().Lifetime, 2)
}
