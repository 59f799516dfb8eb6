package wasabicontrol

import (
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

const (
	// resendAfter is how long a node may report an earlier revision than the one sent
	// before it is sent the configuration again: a renewal that crosses a push, or that a
	// slow node sends before it has applied one, is no loss.
	resendAfter = time.Second
	// minResendInterval and maxResendInterval bound the time between two resends on a
	// session, which doubles while the node stays behind: a document that it can't apply
	// is not applied the next time either.
	minResendInterval = time.Second
	maxResendInterval = time.Minute
)

// resend limits the resends on a session. Its zero value allows one at once.
type resend struct {
	notBefore time.Time
	interval  time.Duration
}

// next records a resend.
func (r resend) next(now time.Time) resend {
	d := min(max(2*r.interval, minResendInterval), maxResendInterval)
	return resend{notBefore: now.Add(d), interval: d}
}

// resendMissing compares what a node reports with what its session recorded as sent, and
// sends the configuration again if the node lacks it. So the loss of a push, whatever its
// cause, lasts until a renewal and not until the next change.
func (h *hub) resendMissing(s *session, r *wasabistandv1.Renewal, now time.Time) {
	if !r.GetLacksUpdate() {
		if r.GetRevisionInForce() >= s.revision {
			s.resend = resend{}
			return
		}
		// A node that only reports less may get what is still queued for it.
		if now.Sub(s.lag.since) < resendAfter || !s.out.isEmpty() {
			return
		}
	}
	if now.Before(s.resend.notBefore) {
		return
	}
	sent := s.revision
	s.resend = s.resend.next(now)
	// A node of an earlier version does not report its document.
	s.documentRevision = r.GetDocumentRevision()
	c := s.group.machine.current.Load()
	withDocument := s.documentRevision < c.documentRevision
	h.sendConfiguration(s, c, h.configurationFrame(c, withDocument), now)
	h.instance.metrics.resends.Inc()
	if h.instance.lines.Allow("configuration sent again", maxLinesPerSecond) {
		h.instance.log.Warn().Str("Node", s.id).Uint64("Sent", sent).Uint64("Reported", r.GetRevisionInForce()).Uint64("ReportedDocument", r.GetDocumentRevision()).
			Bool("Lacks", r.GetLacksUpdate()).Uint64("Revision", c.revision).Bool("Document", withDocument).Msg("configuration sent again")
	}
}
