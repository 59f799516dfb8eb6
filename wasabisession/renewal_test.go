package wasabisession_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
	"github.com/wasabistand/wasabistand/wasabisession"
)

// renewal returns the next renewal.
func (s *fakeStream) renewal(t *testing.T) *wasabistandv1.Renewal {
	t.Helper()
	for {
		var f wasabistandv1.NodeFrame
		assert.NilError(t, s.Receive(&f))
		if f.GetRenew() != nil {
			return f.GetRenew()
		}
	}
}

func (s *fakeStream) acknowledge(t *testing.T, a *wasabistandv1.RenewalAck) {
	t.Helper()
	assert.NilError(t, s.Send(&wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Renewed{Renewed: a}}))
}

// Guards against a node that does not notice that an update was lost.
func TestMissingUpdateIsReported(t *testing.T) {
	c := newControl(t)
	newSession(t, wasabisession.NewOptions(c.address).WithRenewal(100*time.Millisecond, time.Minute))
	k, _ := c.nextSession()
	defer close(k.release)
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Number: 1, Revision: 1, DocumentRevision: 1, Document: compact(t, document)})
	r := k.renewal(t)
	assert.Assert(t, !r.GetLacksUpdate())
	k.acknowledge(t, &wasabistandv1.RenewalAck{Number: r.GetNumber(), Update: 1})
	assert.Assert(t, !k.renewal(t).GetLacksUpdate())
	k.acknowledge(t, &wasabistandv1.RenewalAck{Number: r.GetNumber() + 1, Update: 2})
	for !r.GetLacksUpdate() {
		r = k.renewal(t)
		assert.Assert(t, r.GetNumber() < 50, "no renewal reports the update as missing")
	}
	assert.Equal(t, r.GetDocumentRevision(), uint64(1))
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Number: 3, Revision: 2, DocumentRevision: 1})
	for r = k.renewal(t); r.GetRevisionInForce() < 2; r = k.renewal(t) {
		continue
	}
	assert.Assert(t, !r.GetLacksUpdate())
}

// Guards against a node that claims a revision whose document it was not sent, or could
// not apply.
func TestRevisionNeedsItsDocument(t *testing.T) {
	c := newControl(t)
	s, events := newSession(t, wasabisession.NewOptions(c.address).WithRenewal(time.Hour, time.Hour))
	k, start := c.nextSession()
	assert.Assert(t, start.DocumentRevision != nil)
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Number: 1, Revision: 1, DocumentRevision: 1, Document: compact(t, document)})
	assert.Equal(t, k.renewal(t).GetDocumentRevision(), uint64(1))
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Number: 2, Revision: 2, DocumentRevision: 2})
	r := k.renewal(t)
	assert.Equal(t, r.GetRevisionInForce(), uint64(1))
	assert.Assert(t, r.GetLacksUpdate())
	assert.Equal(t, s.View().Revision, uint64(1))
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Number: 3, Revision: 2, DocumentRevision: 2, Document: compact(t, document)})
	r = k.renewal(t)
	assert.Equal(t, r.GetRevisionInForce(), uint64(2))
	assert.Assert(t, !r.GetLacksUpdate())
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Number: 4, Revision: 3, DocumentRevision: 3, Document: compact(t, "Callers = 1")})
	r = k.renewal(t)
	assert.Equal(t, r.GetRevisionInForce(), uint64(2))
	assert.Equal(t, r.GetDocumentRevision(), uint64(2))
	assert.Assert(t, !r.GetLacksUpdate(), "a document that does not parse is sent again later")
	events.await(wasabistand.EventConfigRefused)
	k.sendRefusal(t, "stopping")
	close(k.release)
	k, start = c.nextSession()
	defer close(k.release)
	assert.Equal(t, start.GetRevision(), uint64(3))
	assert.Equal(t, start.GetDocumentRevision(), uint64(2))
}

// Guards against a node that misses instances until the next change of their service,
// because a delta was lost.
func TestLostDeltaIsNoticed(t *testing.T) {
	c := newControl(t)
	s, _ := newSession(t, wasabisession.NewOptions(c.address).WithRenewal(50*time.Millisecond, time.Minute))
	s.Subscribe("archive")
	k, _ := c.nextSession()
	defer close(k.release)
	send := func(version uint64, ids ...string) {
		d := &wasabistandv1.MembershipDelta{Service: "archive", Version: version}
		for _, id := range ids {
			d.Upserts = append(d.Upserts, &wasabistandv1.Instance{Id: id, Service: "archive", LinkAddress: "127.0.0.1:2", Region: "here", FailureDomain: "a", Slots: 1, Connections: 1, State: wasabistandv1.InstanceState_INSTANCE_STATE_READY})
		}
		assert.NilError(t, k.Send(&wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Membership{Membership: d}}))
	}
	digest := func(version uint64) uint64 {
		return wasabimember.VersionsDigest(maps.All(map[string]uint64{"archive": version, "other": 0}))
	}
	// asked returns whether the list is asked for before the next renewal, which is
	// acknowledged.
	asked := func(version uint64) (isAsked bool) {
		for {
			var f wasabistandv1.NodeFrame
			assert.NilError(t, k.Receive(&f))
			isAsked = isAsked || slices.Contains(f.GetInterest().GetResend(), "archive")
			if r := f.GetRenew(); r != nil {
				k.acknowledge(t, &wasabistandv1.RenewalAck{Number: r.GetNumber(), Lists: digest(version)})
				return isAsked
			}
		}
	}
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 1})
	send(3, "archive-1")
	awaitView(s, func(v *wasabistand.View) bool { return len(v.Instances["archive"]) == 1 })
	for range 4 {
		assert.Assert(t, !asked(3))
	}
	// The delta to version 4 is lost.
	for k := 0; !asked(4); k++ {
		assert.Assert(t, k < 20, "the list is not asked for")
	}
	requests := 0
	for range 20 {
		if asked(4) {
			requests++
		}
	}
	assert.Assert(t, requests <= 4, "%d of 20 renewals asked for the lists", requests)
	send(4, "archive-1", "archive-2")
	awaitView(s, func(v *wasabistand.View) bool { return len(v.Instances["archive"]) == 2 })
	_ = asked(4)
	for range 4 {
		assert.Assert(t, !asked(4))
	}
}

// Guards against a node that counts as confirmed by what says nothing about the latest
// committed revision: an acknowledgement of a later revision than its own, one of a state
// that was confirmed long ago, one that waited, or an update of an instance that lags.
func TestConfirmationHasAge(t *testing.T) {
	const wait = 200 * time.Millisecond
	c := newControl(t)
	s, _ := newSession(t, wasabisession.NewOptions(c.address).WithRenewal(time.Hour, time.Hour))
	k, _ := c.nextSession()
	defer close(k.release)
	time.Sleep(wait)
	var number uint64
	// push sends a revision and returns once the node has reported it.
	push := func(revision uint64) {
		t.Helper()
		k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: revision})
		number = k.renewal(t).GetNumber()
	}
	// acknowledge returns once the node has handled the acknowledgement of its last
	// renewal.
	acknowledge := func(next, revision, confirmedMsAgo uint64) {
		t.Helper()
		k.acknowledge(t, &wasabistandv1.RenewalAck{Number: number, Revision: revision, ConfirmedMsAgo: confirmedMsAgo})
		push(next)
	}
	push(1)
	assert.Assert(t, s.Unconfirmed() >= wait, "an answer confirms the time of its request, not %v ago", s.Unconfirmed())
	push(2)
	assert.Assert(t, s.Unconfirmed() >= wait, "a push confirms nothing")
	sent := time.Now()
	acknowledge(3, 5, 0)
	assert.Assert(t, s.Unconfirmed() >= wait, "the node does not hold revision 5")
	acknowledge(4, 3, 0)
	assert.Assert(t, s.Unconfirmed() <= time.Since(sent), "the renewal was sent later")
	before := s.Unconfirmed()
	acknowledge(5, 4, 10_000)
	assert.Assert(t, s.Unconfirmed() >= before, "a state that was confirmed 10 s ago is older")
	time.Sleep(wait)
	acknowledge(6, 5, 0)
	assert.Assert(t, s.Unconfirmed() >= wait, "the renewal was sent %v before", wait)
}

// Guards against nodes that count as unconfirmed at control instances of earlier versions.
func TestAcknowledgementOfEarlierVersionConfirms(t *testing.T) {
	c := newControl(t)
	s, _ := newSession(t, wasabisession.NewOptions(c.address).WithRenewal(50*time.Millisecond, time.Hour))
	k, _ := c.nextSession()
	defer close(k.release)
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 1})
	k.renewal(t)
	time.Sleep(300 * time.Millisecond)
	k.acknowledge(t, &wasabistandv1.RenewalAck{Sequence: 1})
	for s.Unconfirmed() > 300*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
}
