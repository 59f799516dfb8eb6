package wasabicontrol_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// refusal returns the refusal of the session.
func (n *rawNode) refusal() *wasabistandv1.SessionRefusal {
	n.t.Helper()
	for {
		if r := n.receive().GetRefusal(); r != nil {
			return r
		}
	}
}

// Guards against a node that is refused for good as the duplicate of its earlier self, at
// another address and with a clock that was ahead, whose session is still open.
func TestDuplicateEndsWithLease(t *testing.T) {
	for _, control := range []string{"control-1", "control-2"} {
		c := newCluster(t, 2, 0, nil)
		revision := c.mustApply("control-1", 0, "first", "1s")
		earlier := instance("reports-1", "reports", 1_000)
		earlier.LinkAddress = "127.0.0.1:2"
		c.rawSession(t, "control-1", &wasabistandv1.SessionStart{}, earlier).configuration()
		observer := c.node("archive-1", "archive", 1, control)
		observer.Subscribe("reports")
		observer.await(t, "the earlier instance", func(v *wasabistand.View) bool { return len(v.Instances["reports"]) == 1 })
		n := c.node("reports-1", "reports", 2, control)
		assert.Equal(t, <-n.sessionEnds, wasabistand.Reason("duplicate-instance"))
		n.await(t, "revision after the lease of the earlier one", atLeast(revision))
	}
}

// Guards against an instance that is not accepted any more after its announcements were
// refused, whatever the reason: of each, one that follows the rules must be accepted.
func TestRefusedAnnouncementIsFollowedByAcceptedOne(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	c.mustApply("control-1", 0, "first", "1s")
	base := instance("reports-1", "reports", 10)
	base.Sequence = 5
	c.rawSession(t, "control-1", &wasabistandv1.SessionStart{}, base).configuration()
	for _, test := range []struct {
		reason string
		change func(*wasabistand.Instance)
	}{
		{"stale-announcement", func(i *wasabistand.Instance) { i.Sequence-- }},
		{"bad-announcement", func(i *wasabistand.Instance) { i.Service = "archive" }},
	} {
		i := base
		test.change(&i)
		r := c.rawSession(t, "control-1", &wasabistandv1.SessionStart{}, i).refusal()
		assert.Equal(t, r.GetReason(), test.reason)
		// What a session does next is TestRefusedAnnouncementContinuesAboveKnown.
		i.Incarnation = r.GetKnownIncarnation() + 1
		c.rawSession(t, "control-1", &wasabistandv1.SessionStart{}, i).configuration()
		base = i
	}
}

// Guards against a node that holds a later revision than its group has committed and is
// refused without a cause, or still when the group has reached that revision.
func TestNodeAheadOfGroupIsAcceptedLater(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	first := c.mustApply("control-1", 0, "first", "1s")
	start := &wasabistandv1.SessionStart{Revision: 99}
	r := c.rawNode(t, "control-1", "raw-1", start).refusal()
	assert.Equal(t, r.GetReason(), "not-confirmed")
	assert.Assert(t, strings.Contains(r.GetDetail(), "revision: 99"), r.GetDetail())
	_, err := c.apply("control-1", &wasabistandv1.ApplyRequest{Command: identity("later"), ExpectedRevision: first, Revision: 100, Toml: document("2s")})
	assert.NilError(t, err)
	u := c.rawNode(t, "control-1", "raw-1", start).configuration()
	assert.Equal(t, u.GetRevision(), uint64(100))
	assert.Assert(t, len(u.GetDocument()) > 0)
}
