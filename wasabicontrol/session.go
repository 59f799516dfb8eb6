package wasabicontrol

import (
	"context"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabimember"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Reasons for refusing a session.
const (
	reasonNotConfirmed    = "not-confirmed"
	reasonBadAnnouncement = "bad-announcement"
	reasonStopping        = "stopping"
	reasonDuplicate       = "duplicate-instance"
	reasonFull            = "full"
)

const (
	// maxSubscriptions is the limit set by the schema.
	maxSubscriptions = 1024
	// refusalTimeout bounds the time to send a refusal.
	refusalTimeout = time.Second
	// sessionStartTimeout bounds the time to receive the first frames of a
	// session.
	sessionStartTimeout = 5 * time.Second
	// firstConfirmTimeout bounds the wait for the first election after a start of all,
	// during which nodes would not find a quorum elsewhere. It is shorter than the time
	// for which nodes wait for the start of a session.
	firstConfirmTimeout = 1300 * time.Millisecond
	// refusalRetryAfter delays the next attempt of a refused node for part of
	// an election. The confirmation that the node then waits for covers the
	// rest.
	refusalRetryAfter = 200 * time.Millisecond
)

// session holds the state of one node's session. Its fields are owned by the
// hub.
type session struct {
	group            *group
	out              *outbox
	id               string
	incarnation      uint64
	sequence         uint64
	region           string                       // of the node
	subscriptions    map[string]wasabimember.Feed // by service
	revision         uint64                       // last revision sent
	documentRevision uint64
	update           uint64 // number of the last update sent
	lag              lag
	resend           resend
	ending           bool
}

// refusal is why a session is refused or ends. Its zero value means that it doesn't.
type refusal struct {
	reason, detail string
	// knownIncarnation and knownSequence are those of the announcement that a refused
	// one can't replace, 0 for other reasons.
	knownIncarnation, knownSequence uint64
}

// frame returns the frame that tells a node of the refusal.
func (r refusal) frame() *wasabistandv1.ControlFrame {
	return &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Refusal{Refusal: &wasabistandv1.SessionRefusal{
		Reason: r.reason, RetryAfterMs: uint32(refusalRetryAfter.Milliseconds()), Detail: r.detail,
		KnownIncarnation: r.knownIncarnation, KnownSequence: r.knownSequence,
	}}}
}

// serveSession serves the session of one node until the stream ends.
func (i *Instance) serveSession(ctx context.Context, stream *wasabilink.Stream) {
	out := newOutbox(stream, &i.metrics.sent, i.settings.maxQueuedBytes)
	s := &session{out: out, subscriptions: map[string]wasabimember.Feed{}}
	if r := i.startSession(ctx, s, stream); r.reason != "" {
		i.metrics.sessionsEnded.WithLabelValues(r.reason).Inc()
		i.log.Info().Str("Peer", stream.Link().Peer().Instance).Str("Reason", r.reason).Str("Detail", r.detail).Msg("session refused")
		out.finish(r.frame(), refusalTimeout)
		return
	}
	for {
		f := new(wasabistandv1.NodeFrame)
		if stream.Receive(f) != nil {
			break
		}
		if !i.hub.do(func() { i.hub.handleFrame(s, f) }) {
			break
		}
	}
	i.hub.do(func() { i.hub.close(s) })
	out.finish(nil, refusalTimeout)
}

// startSession reads the first two frames, confirms the state with the quorum
// and opens the session. It returns a refusal if the session is refused.
func (i *Instance) startSession(ctx context.Context, s *session, stream *wasabilink.Stream) refusal {
	_ = stream.SetDeadline(time.Now().Add(sessionStartTimeout))
	var first, second wasabistandv1.NodeFrame
	if stream.Receive(&first) != nil || first.GetStart() == nil || stream.Receive(&second) != nil || second.GetAnnounce() == nil {
		return refusal{reason: "bad-start"}
	}
	_ = stream.SetDeadline(time.Time{})
	instance, err := wasabiwire.ToInstance(second.GetAnnounce())
	if err != nil {
		return refusal{reason: reasonBadAnnouncement, detail: err.Error()}
	}
	var address string
	if s.group, address = i.groupForRegion(instance.Location.Region); s.group == nil {
		i.log.Info().Str("Instance", instance.ID).Str("Region", instance.Location.Region).Str("Elsewhere", address).Msg("region is served by other control instances")
		return refusal{reason: "other-region"}
	}
	if s.group.confirmer.hasLostQuorum(time.Now(), i.settings.quorumLossTimeout) {
		// The node finds a control instance with a quorum sooner elsewhere.
		return refusal{reason: reasonNotConfirmed}
	}
	// The state is confirmed after the node's request arrived, so that a
	// restarted node receives no configuration older than any node had before.
	ctx, cancel := context.WithTimeout(ctx, max(i.settings.confirmTimeout, firstConfirmTimeout))
	defer cancel()
	if err := s.group.confirmer.confirmFirst(ctx); err != nil {
		return refusal{reason: reasonNotConfirmed}
	}
	r := refusal{reason: reasonStopping}
	i.hub.do(func() { r = i.hub.openSession(s, first.GetStart(), instance) })
	return r
}

// handleFrame handles a frame of an open session.
func (h *hub) handleFrame(s *session, f *wasabistandv1.NodeFrame) {
	if s.ending {
		return
	}
	var r refusal
	switch k := f.GetKind().(type) {
	case *wasabistandv1.NodeFrame_Announce:
		if instance, err := wasabiwire.ToInstance(k.Announce); err != nil {
			r = refusal{reason: reasonBadAnnouncement, detail: err.Error()}
		} else {
			instance.AppliedRevision = min(instance.AppliedRevision, s.revision)
			r = h.announce(s, instance)
		}
	case *wasabistandv1.NodeFrame_Renew:
		r.reason = h.renew(s, k.Renew)
	case *wasabistandv1.NodeFrame_Interest:
		h.setSubscriptions(s, k.Interest)
	default:
		r.reason = "bad-frame"
	}
	if r.reason != "" {
		h.refuse(s, r)
	}
}
