package wasabicontrol

import (
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// configurationPush is a configuration with the frames made from it. A push sends all
// sessions of a group the same one, also if the state machine publishes another
// meanwhile.
type configurationPush struct {
	configuration *configuration
	// withDocument and withoutDocument are made when the first session needs them.
	withDocument, withoutDocument *wasabistandv1.ControlFrame
	// sent and skipped count the sessions.
	sent, skipped int
}

// frame returns the frame for a session.
func (p *configurationPush) frame(h *hub, s *session) *wasabistandv1.ControlFrame {
	withDocument := p.configuration.documentRevision > s.documentRevision
	f := &p.withoutDocument
	if withDocument {
		f = &p.withDocument
	}
	if *f == nil {
		*f = h.configurationFrame(p.configuration, withDocument)
	}
	return *f
}

// pushConfigurations sends each session its group's configuration if it is newer
// than the last one sent. With force it sends it to all sessions, since the frame
// also contains the directory, which has changed.
func (h *hub) pushConfigurations(force bool) {
	now := time.Now()
	pushes := map[*group]*configurationPush{}
	for s := range h.sessions {
		p := pushes[s.group]
		if p == nil {
			p = &configurationPush{configuration: s.group.machine.current.Load()}
			pushes[s.group] = p
		}
		c := p.configuration
		if c.revision < s.revision || c.revision == s.revision && !force {
			p.skipped++
			continue
		}
		p.sent++
		if c.documentRevision > s.documentRevision {
			// A document that the node could not apply says nothing of a later one.
			s.resend = resend{}
		}
		h.sendConfiguration(s, c, p.frame(h, s), now)
	}
	for g, p := range pushes {
		h.logPush(g, p, now)
	}
	h.instance.triggerConfigCopy()
}

// sendConfiguration sends a session a frame made from a configuration, and records it.
func (h *hub) sendConfiguration(s *session, c *configuration, f *wasabistandv1.ControlFrame, now time.Time) {
	s.recordSent(c, now)
	s.update = f.GetConfiguration().GetNumber()
	h.send(s, f)
}

func (h *hub) configurationFrame(c *configuration, withDocument bool) *wasabistandv1.ControlFrame {
	h.updates++
	u := &wasabistandv1.ConfigurationUpdate{
		Number: h.updates, Revision: c.revision, DocumentRevision: c.documentRevision, Drained: c.drained,
		ClaimHomes: h.directory.claimAddresses, ControlAddresses: h.directory.addresses, ControlRegions: h.directory.controlsByRegion,
	}
	if !c.appliedAt.IsZero() {
		u.AgeMs = uint64(max(time.Since(c.appliedAt).Milliseconds(), 1))
	}
	if withDocument {
		u.Document = c.compact
	}
	return &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Configuration{Configuration: u}}
}
