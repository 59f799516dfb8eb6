package wasabisession

import wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"

// renewals holds what the renewals of one session tell control about the node. Frames
// arrive in the order in which control sent them, so that an acknowledgement shows
// whether an update that was sent before it is missing.
type renewals struct {
	number uint64 // of the last renewal
	update uint64 // number of the last configuration update that arrived
	// lacksUpdate is true while an update that was sent did not arrive, or came without
	// its document.
	lacksUpdate bool
}

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

// renew sends a renewal with the sequence number of the announcement to renew.
func (c *sessionStream) renew() bool {
	c.number++
	s := c.session
	s.mu.Lock()
	r := &wasabistandv1.Renewal{
		Sequence: s.self.Sequence, RevisionInForce: s.state.appliedRevision,
		Number: c.number, DocumentRevision: s.state.documentRevision, LacksUpdate: c.lacksUpdate,
	}
	s.mu.Unlock()
	return c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Renew{Renew: r}})
}
