package wasabicontrol

import (
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// behindTolerance is how long a node may report a revision below the one sent before
	// that is logged: two renewals.
	behindTolerance = 2 * time.Second
	// behindLogInterval is the time between two lines on a session that stays behind.
	behindLogInterval = 10 * time.Second
	// maxLinesPerSecond bounds the lines of a kind. Changes come in bursts of 20 a second,
	// and thousands of sessions may start in one.
	maxLinesPerSecond = 50
)

// lag is how far a node is behind what its session was sent.
type lag struct {
	// reported is the revision in force that the node reported last.
	reported uint64
	// since is when the node last reported a later revision than before, or when it was
	// last sent one while it was not behind.
	since time.Time
	// loggedAt is the time of the last line, zero if the node has caught up since.
	loggedAt time.Time
}

// recordSent records a configuration as sent.
func (s *session) recordSent(c *configuration, now time.Time) {
	if s.lag.reported >= s.revision {
		s.lag.since = now
	}
	s.revision, s.documentRevision = c.revision, max(s.documentRevision, c.documentRevision)
}

// observeReported compares the revision in force that a node reports with the one sent.
func (h *hub) observeReported(s *session, revision uint64, now time.Time) {
	l := &s.lag
	if revision > l.reported {
		l.reported, l.since = revision, now
	}
	switch log := &h.instance.log; {
	case revision > s.revision:
		h.instance.metrics.aheadReports.Inc()
		if h.instance.lines.Allow("session ahead", maxLinesPerSecond) {
			log.Warn().Str("Node", s.id).Uint64("Sent", s.revision).Uint64("Reported", revision).Msg("session ahead")
		}
	case revision == s.revision:
		if !l.loggedAt.IsZero() {
			l.loggedAt = time.Time{}
			log.Info().Str("Node", s.id).Uint64("Revision", revision).Msg("session caught up")
		}
	case now.Sub(l.since) > behindTolerance && now.Sub(l.loggedAt) >= behindLogInterval && h.instance.lines.Allow("session behind", maxLinesPerSecond):
		l.loggedAt = now
		log.Warn().Str("Node", s.id).Uint64("Sent", s.revision).Uint64("SentDocument", s.documentRevision).Uint64("Reported", revision).
			Int64("BehindMs", now.Sub(l.since).Milliseconds()).Msg("session behind")
	}
}

// distance returns the number of sessions whose node reports a lower revision than the
// one sent, and the greatest distance between both.
func (h *hub) distance() (behind int, greatest uint64) {
	for s := range h.sessions {
		if s.lag.reported < s.revision {
			behind++
			greatest = max(greatest, s.revision-s.lag.reported)
		}
	}
	return behind, greatest
}

// logPush logs one round of a push to a group's sessions.
func (h *hub) logPush(g *group, p *configurationPush, now time.Time) {
	h.instance.metrics.pushes.Add(float64(p.sent))
	if p.sent == 0 || !h.instance.lines.Allow("configuration pushed", maxLinesPerSecond) {
		return
	}
	c := p.configuration
	e := h.instance.log.Info().Str("Group", g.settings.Name).Uint64("Revision", c.revision).Uint64("DocumentRevision", c.documentRevision).
		Int("Sessions", p.sent).Int("Skipped", p.skipped)
	if !c.appliedAt.IsZero() {
		e = e.Int64("AgeMs", now.Sub(c.appliedAt).Milliseconds())
	}
	e.Msg("configuration pushed")
}

// logSessionStart logs what a node held and what it was sent.
func (h *hub) logSessionStart(s *session, held uint64, withDocument bool) {
	h.instance.metrics.pushes.Inc()
	if h.instance.lines.Allow("session started", maxLinesPerSecond) {
		h.instance.log.Info().Str("Node", s.id).Str("Group", s.group.settings.Name).Uint64("Held", held).Uint64("InForce", s.lag.reported).
			Uint64("Sent", s.revision).Bool("Document", withDocument).Msg("session started")
	}
}

// logConfirmed logs a change when its operator is told that it is committed.
func (i *Instance) logConfirmed(c command, response proto.Message, leader string, started time.Time) {
	r, ok := response.(interface {
		GetRevision() uint64
		GetRepeated() bool
	})
	if !ok || !i.lines.Allow("change confirmed", maxLinesPerSecond) {
		return
	}
	i.log.Info().Str("Method", c.method).Str("Operator", c.operator).Uint64("Revision", r.GetRevision()).Bool("Repeated", r.GetRepeated()).
		Str("Leader", leader).Int64("TookMs", time.Since(started).Milliseconds()).Msg("change confirmed")
}
