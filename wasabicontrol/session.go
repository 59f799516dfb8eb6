package wasabicontrol

import (
	"context"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Reasons of refused sessions.
const (
	reasonNotConfirmed = "not-confirmed"
	reasonStopping     = "stopping"
	reasonDuplicate    = "duplicate-instance"
	reasonFull         = "full"
)

const (
	// maxInterests is the bound of the schema.
	maxInterests = 1024
	// refusalTimeout bounds the sending of a refusal.
	refusalTimeout = time.Second
	// sessionStartTimeout bounds the first frames of a session.
	sessionStartTimeout = 5 * time.Second
	// retryAfter keeps a refused node away for a part of an election. The
	// confirmation that it then waits for takes the rest.
	retryAfter = 200 * time.Millisecond
)

// session is one node's session. Its fields belong to the hub.
type session struct {
	group       *group
	out         *outbox
	id          string
	incarnation uint64
	sequence    uint64
	interests   map[string]uint64 // the version sent, by service
	revision    uint64            // the revision sent
	document    uint64
	ending      bool
}

func refusal(reason string) *wasabistandv1.ControlFrame {
	r := &wasabistandv1.SessionRefusal{Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds())}
	return &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Refusal{Refusal: r}}
}

// serveSession serves one node until the stream ends.
func (i *Instance) serveSession(ctx context.Context, stream *wasabilink.Stream) {
	out := newOutbox(stream, i.settings.maxQueuedBytes)
	s := &session{out: out, interests: map[string]uint64{}}
	if reason := i.startSession(ctx, s, stream); reason != "" {
		i.metrics.sessionsEnded.WithLabelValues(reason).Inc()
		i.log.Info().Str("Peer", stream.Link().Peer().Instance).Str("Reason", reason).Msg("session refused")
		out.finish(refusal(reason), refusalTimeout)
		return
	}
	for {
		f := new(wasabistandv1.NodeFrame)
		if stream.Receive(f) != nil {
			break
		}
		if !i.hub.do(func() { i.hub.handle(s, f) }) {
			break
		}
	}
	i.hub.do(func() { i.hub.close(s) })
	out.finish(nil, refusalTimeout)
}

// startSession reads the first two frames, asks the quorum and opens the
// session. It returns why the session is refused.
func (i *Instance) startSession(ctx context.Context, s *session, stream *wasabilink.Stream) string {
	_ = stream.SetDeadline(time.Now().Add(sessionStartTimeout))
	var first, second wasabistandv1.NodeFrame
	if stream.Receive(&first) != nil || first.GetStart() == nil || stream.Receive(&second) != nil || second.GetAnnounce() == nil {
		return "bad-start"
	}
	_ = stream.SetDeadline(time.Time{})
	instance, err := wasabiwire.ToInstance(second.GetAnnounce())
	if err != nil {
		return "bad-announcement"
	}
	var address string
	if s.group, address = i.home(instance.Location.Region); s.group == nil {
		i.log.Info().Str("Instance", instance.ID).Str("Region", instance.Location.Region).Str("Elsewhere", address).Msg("region is served by other control instances")
		return "other-region"
	}
	// The quorum is asked after the node asked, so that a node that restarted
	// gets at least what any node had before.
	ctx, cancel := context.WithTimeout(ctx, i.settings.confirmTimeout)
	defer cancel()
	if err := s.group.confirmer.confirm(ctx); err != nil {
		return reasonNotConfirmed
	}
	reason := reasonStopping
	i.hub.do(func() { reason = i.hub.open(s, first.GetStart().GetRevision(), instance) })
	return reason
}

// handle acts on a frame of an open session.
func (h *hub) handle(s *session, f *wasabistandv1.NodeFrame) {
	if s.ending {
		return
	}
	reason := ""
	switch k := f.GetKind().(type) {
	case *wasabistandv1.NodeFrame_Announce:
		if instance, err := wasabiwire.ToInstance(k.Announce); err != nil {
			reason = "bad-announcement"
		} else {
			instance.AppliedRevision = min(instance.AppliedRevision, s.revision)
			reason = h.announce(s, instance)
		}
	case *wasabistandv1.NodeFrame_Renew:
		reason = h.renew(s, k.Renew)
	case *wasabistandv1.NodeFrame_Interest:
		h.setInterests(s, k.Interest.GetServices())
	default:
		reason = "bad-frame"
	}
	if reason != "" {
		h.refuse(s, reason)
	}
}
