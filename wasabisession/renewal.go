package wasabisession

import (
	"maps"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
)

// renewals holds what the renewals of one session tell control about the node. Frames
// arrive in the order in which control sent them, so that an acknowledgement shows
// whether an update that was sent before it is missing.
type renewals struct {
	number uint64 // of the last renewal
	// sentAt holds the times of the last renewals by number modulo their count.
	sentAt [maxTimedRenewals]time.Time
	update uint64 // number of the last configuration update that arrived
	// lacksUpdate is true while an update that was sent did not arrive, or came without
	// its document.
	lacksUpdate bool
	// checkListsAfter is the number of the last renewal whose acknowledgement does not
	// tell whether an instance list is missing: the lists were asked for after it, or
	// what was asked for before did not help.
	checkListsAfter uint64
	// listResends counts the times in a row that the lists were asked for.
	listResends int
}

// maxTimedRenewals bounds the renewals whose acknowledgements can confirm the
// configuration. It allows for a burst of changes, each of which is reported, while an
// acknowledgement takes seconds.
const maxTimedRenewals = 64

// confirm records what an acknowledgement confirms: that the applied configuration was the
// latest one when control last confirmed its state before the renewal was sent. The time
// is the node's own and that of the renewal, since the acknowledgement may have waited on
// the way, or for a process that was stopped.
func (c *sessionStream) confirm(a *wasabistandv1.RenewalAck) {
	s := c.session
	switch n := a.GetNumber(); {
	case n == 0:
		// A control instance of an earlier version.
		s.confirm(time.Now())
	case n <= c.number && c.number-n < maxTimedRenewals && s.state.appliedRevision >= a.GetRevision():
		age := time.Duration(min(a.GetConfirmedMsAgo(), maxConfirmedMsAgo)) * time.Millisecond
		s.confirm(c.sentAt[n%maxTimedRenewals].Add(-age))
	}
}

// maxConfirmedMsAgo prevents an overflow by an invalid value.
const maxConfirmedMsAgo = 1 << 40

// isFirstWithout compares what arrived with what an acknowledgement says was sent, and
// reports whether it is the first one that shows a missing update. Then the node renews
// at once; later renewals repeat it once in an interval.
func (r *renewals) isFirstWithout(a *wasabistandv1.RenewalAck) bool {
	if r.lacksUpdate || a.GetUpdate() <= r.update {
		return false
	}
	r.lacksUpdate = true
	return true
}

// maxListResendShift bounds the time between two requests for all lists, which doubles
// while they don't help, to 64 renewals.
const maxListResendShift = 6

// checkLists compares the versions of the instance lists with those that an
// acknowledgement says were sent, and asks for all lists if they differ.
func (c *sessionStream) checkLists(a *wasabistandv1.RenewalAck) {
	if a.GetLists() == 0 || a.GetNumber() <= c.checkListsAfter || c.resync {
		return
	}
	state := &c.session.state
	if wasabimember.VersionsDigest(maps.All(state.versions)) == a.GetLists() {
		c.listResends = 0
		return
	}
	c.session.subscriptions.Range(func(k, _ any) bool {
		state.requestResend(k.(string))
		return true
	})
	c.resync = true
	c.listResends++
	c.session.record(wasabistand.EventListsResent, "", wasabistand.HeaderField{Name: "Control", Value: c.address}, numberField("Lists", uint64(len(state.resend))))
}

// renew sends a renewal with the sequence number of the announcement to renew.
func (c *sessionStream) renew() bool {
	c.number++
	c.sentAt[c.number%maxTimedRenewals] = time.Now()
	s := c.session
	s.mu.Lock()
	r := &wasabistandv1.Renewal{
		Sequence: s.self.Sequence, RevisionInForce: s.state.appliedRevision,
		Number: c.number, DocumentRevision: s.state.documentRevision, LacksUpdate: c.lacksUpdate,
	}
	s.mu.Unlock()
	return c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Renew{Renew: r}})
}
