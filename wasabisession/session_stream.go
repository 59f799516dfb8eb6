package wasabisession

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

const (
	// maxRetryAfter bounds the delay that a control instance may ask for.
	maxRetryAfter = time.Minute
	// maxDetailBytes bounds what a control instance may add to the log.
	maxDetailBytes = 200
)

// sessionStream is the stream of one session. Only Session.run uses it.
type sessionStream struct {
	session     *Session
	stream      *wasabilink.Stream
	address     string
	established bool // the first configuration has arrived
	startedAt   time.Time
	lastAck     time.Time // when control last acknowledged a renewal
	// heldRevision is the revision that the node held when the session started.
	heldRevision uint64
	resync       bool
	renewals
	// homeReachable receives a value when a control instance of the node's region can
	// be reached while the session is with one of another region.
	homeReachable chan struct{}
}

// Sessions with control instances of other regions end once one of the node's own
// region can be reached again. The nodes of a region return over a time, and later
// after each attempt.
const (
	maxReturnDelay    = 5 * time.Minute
	homeDialTimeout   = time.Second
	reasonReturnsHome = "returns-to-region"
)

const (
	// reasonLinkLost is the reason of sessions whose link ended without another one.
	reasonLinkLost = "link-lost"
	// reasonOlder is the reason of sessions on which an older revision came than the one
	// that the node holds.
	reasonOlder = "older-revision"
)

// lastFramesTimeout bounds the wait for frames that arrived before the link ended.
const lastFramesTimeout = 200 * time.Millisecond

// run serves the session until it ends, and returns the reason and the least time
// to wait before trying the same control instance again.
func (c *sessionStream) run(frames <-chan *wasabistandv1.ControlFrame, ended <-chan struct{}) (string, time.Duration) {
	reason, after := c.serve(frames, ended)
	if reason != reasonLinkLost {
		return reason, after
	}
	_ = c.stream.SetDeadline(time.Now().Add(lastFramesTimeout))
	if f := lastRefusal(frames, ended); f != nil {
		return c.handle(f)
	}
	return reason, after
}

// lastRefusal returns the refusal among the frames that arrived before the reader of a
// session ended, nil if there is none.
func lastRefusal(frames <-chan *wasabistandv1.ControlFrame, ended <-chan struct{}) *wasabistandv1.ControlFrame {
	for isReading := true; isReading || len(frames) > 0; {
		select {
		case f := <-frames:
			if f.GetRefusal() != nil {
				return f
			}
		case <-ended:
			isReading, ended = false, nil
		}
	}
	return nil
}

func (c *sessionStream) serve(frames <-chan *wasabistandv1.ControlFrame, ended <-chan struct{}) (string, time.Duration) {
	s := c.session
	s.state.resetVersions()
	started := time.Now()
	c.heldRevision = s.state.revision
	start := &wasabistandv1.SessionStart{Revision: s.state.revision, DocumentRevision: proto.Uint64(s.state.documentRevision)}
	if !c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Start{Start: start}}) || !c.announce() || !c.sendSubscriptions() {
		return reasonLinkLost, 0
	}
	c.startedAt, c.lastAck = started, time.Now()
	responseTimer := time.NewTimer(s.options.responseTimeout)
	defer responseTimer.Stop()
	renew := time.NewTicker(s.options.renewInterval)
	defer renew.Stop()
	returnTimer := time.NewTimer(s.returnDelay())
	defer returnTimer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return "closed", 0
		case <-returnTimer.C:
			if home := s.candidates.homeOf(time.Now(), c.address); home != "" {
				s.returns++
				s.wait.Go(func() { c.dialHome(home) })
			}
			if !s.candidates.isRegional(c.address) {
				returnTimer.Reset(s.returnDelay())
			}
		case <-c.homeReachable:
			return reasonReturnsHome, 0
		case <-ended:
			if r, after := c.handleAll(frames); r != "" {
				return r, after
			}
			return reasonLinkLost, 0
		case <-responseTimer.C:
			if !c.established {
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
			if c.resync && !c.sendSubscriptions() {
				return reasonLinkLost, 0
			}
		case <-s.announceChanged:
			if !c.announce() {
				return reasonLinkLost, 0
			}
		case <-s.subscriptionsChanged:
			if !c.sendSubscriptions() {
				return reasonLinkLost, 0
			}
		case now := <-renew.C:
			if now.Sub(c.lastAck) > s.options.lease {
				return "no-acknowledgement", 0
			}
			if !c.renew() {
				return reasonLinkLost, 0
			}
		}
	}
}

// returnDelay returns the time until the session looks for a control instance of the
// node's region. It doubles with each attempt.
func (s *Session) returnDelay() time.Duration {
	d := min(s.options.returnDelay<<min(s.returns, 16), maxReturnDelay)
	return d + s.candidates.jitter(d)
}

// dialHome opens a link to a control instance of the node's region.
func (c *sessionStream) dialHome(address string) {
	ctx, cancel := context.WithTimeout(c.session.ctx, homeDialTimeout)
	defer cancel()
	if _, err := c.session.pool.Get(ctx, address); err == nil {
		notify(c.homeReachable)
	}
}

// handleAll handles all frames that have already arrived, so that a burst of
// deltas results in one snapshot.
func (c *sessionStream) handleAll(frames <-chan *wasabistandv1.ControlFrame) (string, time.Duration) {
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

// handle handles one frame. A non-empty reason ends the session.
func (c *sessionStream) handle(f *wasabistandv1.ControlFrame) (reason string, after time.Duration) {
	s := c.session
	switch k := f.GetKind().(type) {
	case *wasabistandv1.ControlFrame_Configuration:
		return c.handleConfiguration(k.Configuration), 0
	case *wasabistandv1.ControlFrame_Membership:
		if _, ok := s.subscriptions.Load(k.Membership.GetService()); ok && !s.state.applyDelta(k.Membership) {
			c.resync = true
		}
	case *wasabistandv1.ControlFrame_Renewed:
		c.lastAck = time.Now()
		c.confirm(k.Renewed)
		c.checkLists(k.Renewed)
		if c.isFirstWithout(k.Renewed) && !c.renew() {
			return reasonLinkLost, 0
		}
	case *wasabistandv1.ControlFrame_Refusal:
		after = min(time.Duration(k.Refusal.GetRetryAfterMs())*time.Millisecond, maxRetryAfter)
		if reason = k.Refusal.GetReason(); reason == "" || len(reason) > wasabiwire.MaxNameBytes {
			reason = "refused"
		}
		s.raiseIdentity(k.Refusal)
		s.refusalDetail = k.Refusal.GetDetail()
		s.refusalDetail = s.refusalDetail[:min(len(s.refusalDetail), maxDetailBytes)]
		return reason, after
	}
	return "", 0
}

// handleConfiguration applies a configuration update. A non-empty reason ends the session.
func (c *sessionStream) handleConfiguration(u *wasabistandv1.ConfigurationUpdate) (reason string) {
	s := c.session
	if u.GetRevision() < s.state.revision {
		return reasonOlder
	}
	before, isNew := s.state.appliedRevision, u.GetRevision() > s.state.revision
	s.state.source = c.address
	if err := s.state.applyConfiguration(u); err != nil {
		s.record(wasabistand.EventConfigRefused, "parse", wasabistand.HeaderField{Name: "Error", Value: err.Error()})
	}
	c.update, c.lacksUpdate = max(c.update, u.GetNumber()), s.state.lacksDocument()
	s.candidates.setAddresses(s.state.controls(s.location().Region))
	isApplied := s.state.appliedRevision > before
	if isNew || isApplied {
		s.publish()
	}
	if !c.established {
		c.establish(u)
	}
	if isApplied {
		fields := []wasabistand.HeaderField{revisionField(u.GetRevision()), numberField("DocumentRevision", u.GetDocumentRevision()), {Name: "Control", Value: c.address}}
		if u.GetAgeMs() > 0 {
			fields = append(fields, numberField("AgeMs", u.GetAgeMs()))
		}
		s.record(wasabistand.EventConfigReceived, "", fields...)
	}
	// The renewal that reports the new revision is sent at once, so that Status does not
	// lag behind by a renewal interval.
	if (isNew || isApplied) && !c.renew() {
		return reasonLinkLost
	}
	return ""
}

// establish records that the first configuration of the session has arrived.
func (c *sessionStream) establish(u *wasabistandv1.ConfigurationUpdate) {
	s := c.session
	c.established = true
	// Control confirms its state after the session has started. Later updates may come
	// from an instance that lags behind. What is confirmed was published before.
	if s.state.appliedRevision == s.state.revision {
		s.confirm(c.startedAt)
	}
	s.candidates.recordSuccess(c.address)
	if s.candidates.isRegional(c.address) {
		s.returns = 0
	}
	s.record(wasabistand.EventSessionUp, "", wasabistand.HeaderField{Name: "Control", Value: c.address},
		numberField("Held", c.heldRevision), revisionField(u.GetRevision()))
}

func (c *sessionStream) announce() bool {
	s := c.session
	s.mu.Lock()
	s.self.Sequence++
	i := s.self
	s.mu.Unlock()
	i.AppliedRevision = s.state.appliedRevision
	return c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Announce{Announce: wasabiwire.FromInstance(i)}})
}

func (c *sessionStream) sendSubscriptions() bool {
	c.resync = false
	// The lists are sent before the acknowledgement of a later renewal.
	c.checkListsAfter = c.number + 1<<min(c.listResends, maxListResendShift) - 1
	var services []string
	c.session.subscriptions.Range(func(k, _ any) bool {
		services = append(services, k.(string))
		return true
	})
	return c.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Interest{Interest: c.session.state.interest(services)}})
}

func (c *sessionStream) send(f *wasabistandv1.NodeFrame) bool { return c.stream.Send(f) == nil }

func (s *Session) location() wasabistand.Location {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self.Location
}
