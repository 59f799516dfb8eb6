package wasabicontrol

import (
	"slices"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
)

// pushedList is the version of a list that all subscribers were sent.
type pushedList struct {
	version  uint64
	complete bool
}

// setSubscriptions replaces the services that a node subscribes to.
func (h *hub) setSubscriptions(s *session, m *wasabistandv1.Interest) {
	versions := m.GetServices()
	if len(versions) > maxSubscriptions {
		h.refuse(s, refusal{reason: "too-many-interests"})
		return
	}
	for name := range s.subscriptions {
		if _, ok := versions[name]; !ok {
			h.unsubscribe(s, name)
		}
	}
	for name, version := range versions {
		if name == "" || len(name) > 128 {
			continue
		}
		if slices.Contains(m.GetResend(), name) {
			s.subscriptions[name] = wasabimember.NewFeed(0, false)
		} else if _, ok := s.subscriptions[name]; !ok {
			s.subscriptions[name] = wasabimember.NewFeed(version, version == 0 && slices.Contains(m.GetHeld(), name))
		}
		if h.subscribers[name] == nil {
			h.subscribers[name] = map[*session]struct{}{}
		}
		h.subscribers[name][s] = struct{}{}
		h.pushUpdate(s, name, h.listsComplete(time.Now()), nil)
	}
}

func (h *hub) unsubscribe(s *session, name string) {
	delete(s.subscriptions, name)
	delete(h.subscribers[name], s)
	if len(h.subscribers[name]) == 0 {
		delete(h.subscribers, name)
		delete(h.pushedLists, name)
	}
}

// pushMembership sends changed lists to the sessions that subscribed to them.
func (h *hub) pushMembership(now time.Time) {
	if !h.dirty {
		return
	}
	h.dirty = false
	complete := h.listsComplete(now)
	for name, list := range h.subscribers {
		current := pushedList{h.registry.Version(name), complete}
		if h.pushedLists[name] == current {
			continue
		}
		h.pushedLists[name] = current
		updates := map[wasabimember.Feed]update{}
		for s := range list {
			h.pushUpdate(s, name, complete, updates)
		}
	}
}

// update is a frame for all sessions with the same feed, nil for none, and their
// feed after it.
type update struct {
	frame *wasabistandv1.ControlFrame
	feed  wasabimember.Feed
}

// pushUpdate sends a session what it lacks of a service's list. updates holds the
// updates of other sessions, nil for none.
func (h *hub) pushUpdate(s *session, name string, complete bool, updates map[wasabimember.Feed]update) {
	feed := s.subscriptions[name]
	u, ok := updates[feed]
	if !ok {
		var d *wasabistandv1.MembershipDelta
		if d, u.feed = h.registry.Update(name, feed, complete); d != nil {
			u.frame = &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Membership{Membership: d}}
		}
		if updates != nil {
			updates[feed] = u
		}
	}
	s.subscriptions[name] = u.feed
	if u.frame != nil {
		h.send(s, u.frame)
	}
}

// listsDigest returns the digest of the versions of the complete lists that a session was
// sent.
func (s *session) listsDigest() uint64 {
	return wasabimember.VersionsDigest(func(yield func(string, uint64) bool) {
		for service, feed := range s.subscriptions {
			if !yield(service, feed.Version()) {
				return
			}
		}
	})
}
