package wasabisession

import (
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// maxRetryAfter bounds what a control instance may ask for.
const maxRetryAfter = time.Minute

// conversation is one session stream. Only Session.run uses it.
type conversation struct {
	s       *Session
	stream  *wasabilink.Stream
	address string
	up      bool      // the first configuration has arrived
	acked   time.Time // when control last acknowledged a renewal
	resync  bool
}

func (c *conversation) run(frames <-chan *wasabistandv1.ControlFrame, ended <-chan struct{}) (string, time.Duration) {
	s := c.s
	s.state.resetVersions()
	start := &wasabistandv1.SessionStart{Revision: s.state.revision}
	if !c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Start{Start: start}}) || !c.announce() || !c.interest() {
		return "link-lost", 0
	}
	c.acked = time.Now()
	answer := time.NewTimer(s.options.answerTimeout)
	defer answer.Stop()
	renew := time.NewTicker(s.options.renewEvery)
	defer renew.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return "closed", 0
		case <-ended:
			// Frames that arrived before the end still count: the last one
			// may say why.
			if r, after := c.handleAll(frames); r != "" {
				return r, after
			}
			return "link-lost", 0
		case <-answer.C:
			if !c.up {
				return "no-answer", 0
			}
		case f := <-frames:
			if r, after := c.handle(f); r != "" {
				return r, after
			}
			if r, after := c.handleAll(frames); r != "" {
				return r, after
			}
			s.publish()
			if c.resync && !c.interest() {
				return "link-lost", 0
			}
		case <-s.announced:
			if !c.announce() {
				return "link-lost", 0
			}
		case <-s.wanted:
			if !c.interest() {
				return "link-lost", 0
			}
		case now := <-renew.C:
			if now.Sub(c.acked) > s.options.lease {
				return "no-acknowledgement", 0
			}
			if !c.renew() {
				return "link-lost", 0
			}
		}
	}
}

// handleAll handles the frames that have arrived, so that a burst of deltas
// makes one snapshot.
func (c *conversation) handleAll(frames <-chan *wasabistandv1.ControlFrame) (string, time.Duration) {
	for {
		select {
		case f := <-frames:
			if r, after := c.handle(f); r != "" {
				return r, after
			}
		default:
			return "", 0
		}
	}
}

// handle takes one frame; a reason ends the session.
func (c *conversation) handle(f *wasabistandv1.ControlFrame) (reason string, after time.Duration) {
	s := c.s
	switch k := f.GetKind().(type) {
	case *wasabistandv1.ControlFrame_Configuration:
		u := k.Configuration
		if u.GetRevision() < s.state.revision {
			return "older-revision", 0
		}
		changed := u.GetRevision() > s.state.revision
		if err := s.state.configure(u); err != nil {
			s.record(wasabistand.EventConfigRefused, "parse", wasabistand.HeaderField{Name: "Error", Value: err.Error()})
		}
		s.candidates.learn(s.state.controls(s.location().Region))
		if !c.up {
			c.up = true
			s.candidates.serve(c.address)
			s.record(wasabistand.EventSessionUp, "", wasabistand.HeaderField{Name: "Control", Value: c.address})
		}
		s.confirmed.Store(time.Now().UnixNano())
		if changed {
			if !s.state.broken {
				s.record(wasabistand.EventConfigReceived, "", revisionField(u.GetRevision()))
			}
			// The renewal that tells of it goes out at once, so that Status
			// does not lag behind by a renewal.
			s.publish()
			if !c.renew() {
				return "link-lost", 0
			}
		}
	case *wasabistandv1.ControlFrame_Membership:
		if _, ok := s.interests.Load(k.Membership.GetService()); ok && !s.state.change(k.Membership) {
			c.resync = true
		}
	case *wasabistandv1.ControlFrame_Renewed:
		c.acked = time.Now()
		s.confirmed.Store(c.acked.UnixNano())
	case *wasabistandv1.ControlFrame_Refusal:
		after = min(time.Duration(k.Refusal.GetRetryAfterMs())*time.Millisecond, maxRetryAfter)
		if reason = k.Refusal.GetReason(); reason == "" || len(reason) > wasabiwire.MaxNameBytes {
			reason = "refused"
		}
		return reason, after
	}
	return "", 0
}

func (c *conversation) announce() bool {
	s := c.s
	s.mu.Lock()
	s.self.Sequence++
	i := s.self
	s.mu.Unlock()
	i.RevisionInForce = s.state.inForce
	return c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Announce{Announce: wasabiwire.FromInstance(i)}})
}

// renew names the announcement that it renews.
func (c *conversation) renew() bool {
	c.s.mu.Lock()
	r := &wasabistandv1.Renewal{Sequence: c.s.self.Sequence, RevisionInForce: c.s.state.inForce}
	c.s.mu.Unlock()
	return c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Renew{Renew: r}})
}

func (c *conversation) interest() bool {
	c.resync = false
	m := &wasabistandv1.Interest{Services: map[string]uint64{}}
	c.s.interests.Range(func(k, _ any) bool {
		name := k.(string)
		m.Services[name] = c.s.state.versions[name]
		return true
	})
	return c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Interest{Interest: m}})
}

func (c *conversation) send(f *wasabistandv1.NodeFrame) bool { return c.stream.Send(f) == nil }

func (s *Session) location() wasabistand.Location {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self.Location
}
