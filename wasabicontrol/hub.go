package wasabicontrol

import (
	"fmt"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
)

const (
	// hubTickInterval is well below a sixth of a lease, since the registry must
	// be ticked at least six times per lease.
	hubTickInterval = 250 * time.Millisecond
	// syncInterval is how often a membership summary is sent to other control
	// instances, and how often lost instances are updated.
	syncInterval = time.Second
	// lostRetention and maxLostInstances limit the record of lost instances.
	lostRetention    = time.Hour
	maxLostInstances = 4096
	// minFlushGap is the least time between two pushes of changed lists, so that
	// the changes of many instances share messages. The first change after a pause
	// is pushed after the flush interval.
	minFlushGap = 100 * time.Millisecond
	// sentLogInterval is how often the bytes sent are logged.
	sentLogInterval = 10 * time.Second
)

// hub owns the sessions and the membership. Its fields may be accessed only by
// the goroutine of run; other goroutines submit functions with do.
type hub struct {
	instance      *Instance
	tasks         chan func()
	configChanged chan struct{} // capacity 1: a group's configuration changed
	stop          chan struct{}
	done          chan struct{}
	wait          sync.WaitGroup // goroutines that close streams

	registry    *wasabimember.Registry
	sessions    map[*session]struct{}
	updates     uint64                           // configuration updates made, which numbers them
	subscribers map[string]map[*session]struct{} // by service
	pushedLists map[string]pushedList            // last list sent, by service
	dirty       bool                             // lists may have changed since the last push
	flushTimer  *time.Timer
	flushArmed  bool
	lastFlush   time.Time
	lastSync    time.Time
	// completeAt is when the lists are complete again after a start or a loss
	// of quorum.
	completeAt    time.Time
	directory     directory
	peers         map[string]*peer
	peerLocations map[string]peerLocation
	stopping      bool
	// lastListed and lastLostCheck are used to update lostAt: the instances
	// reported to operators as unreachable, with the time of their loss.
	lastLostCheck time.Time
	lastSentLog   time.Time
	lastListed    map[string]wasabistand.InstanceState
	lostAt        map[string]time.Time
}

func newHub(i *Instance) *hub {
	h := &hub{
		instance: i, tasks: make(chan func(), 1024), configChanged: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
		registry: wasabimember.New(wasabimember.NewOptions(i.settings.id, uint64(time.Now().UnixNano())).WithLease(i.settings.lease)),
		sessions: map[*session]struct{}{}, subscribers: map[string]map[*session]struct{}{}, pushedLists: map[string]pushedList{},
		peers: map[string]*peer{}, peerLocations: map[string]peerLocation{},
		lastListed: map[string]wasabistand.InstanceState{}, lostAt: map[string]time.Time{},
	}
	h.flushTimer = time.NewTimer(time.Hour)
	return h
}

// do runs f on the hub's goroutine and waits for it. It reports whether f ran.
func (h *hub) do(f func()) bool {
	ran := make(chan struct{})
	select {
	case h.tasks <- func() { f(); close(ran) }:
	case <-h.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-h.done:
		return false
	}
}

func (h *hub) run() {
	defer close(h.done)
	t := time.NewTicker(hubTickInterval)
	defer t.Stop()
	defer h.flushTimer.Stop()
	h.registry.Tick(time.Now())
	h.refreshDirectory(h.instance.buildDirectory(nil))
	for {
		select {
		case <-h.stop:
			for _, p := range h.peers {
				p.cancel()
			}
			return
		case f := <-h.tasks:
			f()
		case <-h.configChanged:
			h.pushConfigurations(false)
		case now := <-t.C:
			h.tick(now)
		case now := <-h.flushTimer.C:
			h.flushArmed, h.lastFlush = false, now
			h.pushMembership(now)
			h.broadcast(now)
		}
		if (h.dirty || h.registry.HasPendingChanges()) && !h.flushArmed {
			h.flushArmed = true
			h.flushTimer.Reset(max(h.instance.settings.flushInterval, minFlushGap-time.Since(h.lastFlush)))
		}
	}
}

func (h *hub) tick(now time.Time) {
	h.registry.Tick(now)
	h.dirty = true
	for s := range h.sessions {
		if s.out.sendPendingFor(now) > h.instance.settings.slowTimeout {
			h.drop(s, "slow")
		}
	}
	for _, g := range h.instance.groups {
		if g.confirmer.sinceConfirmed(now) <= h.instance.settings.quorumLossTimeout {
			continue
		}
		h.completeAt = now.Add(h.instance.settings.lease + time.Second)
		for s := range h.sessions {
			if s.group == g {
				h.refuse(s, refusal{reason: reasonNotConfirmed})
			}
		}
	}
	h.instance.lines.Tick()
	if now.Sub(h.lastSync) >= syncInterval {
		h.broadcast(now)
	}
	if now.Sub(h.lastLostCheck) >= syncInterval {
		h.lastLostCheck = now
		h.updateLost(now)
	}
	if now.Sub(h.lastSentLog) >= sentLogInterval {
		h.lastSentLog = now
		h.instance.metrics.sent.log(&h.instance.log, len(h.sessions), h.remoteSessions())
	}
}

// remoteSessions returns the number of sessions of nodes in other regions.
func (h *hub) remoteSessions() (n int) {
	for s := range h.sessions {
		if s.region != h.instance.settings.location.Region {
			n++
		}
	}
	return n
}

// updateLost records instances that disappeared from the list without
// deregistering, and removes them after lostRetention or when they return.
func (h *hub) updateLost(now time.Time) {
	list := make(map[string]wasabistand.InstanceState, len(h.lastListed))
	for _, i := range h.registry.List("") {
		list[i.ID] = i.State
		delete(h.lostAt, i.ID)
	}
	for id, state := range h.lastListed {
		if _, ok := list[id]; !ok && state != wasabistand.Leaving && len(h.lostAt) < maxLostInstances {
			h.lostAt[id] = now
		}
	}
	for id, at := range h.lostAt {
		if now.Sub(at) > lostRetention {
			delete(h.lostAt, id)
		}
	}
	h.lastListed = list
}

// listsComplete reports whether the lists are complete enough to replace those
// that nodes hold.
func (h *hub) listsComplete(now time.Time) bool {
	return h.registry.IsWarmedUp(now) && !now.Before(h.completeAt)
}

// openSession adds a session after its group's quorum was confirmed. It returns a
// refusal if the session is refused.
func (h *hub) openSession(s *session, start *wasabistandv1.SessionStart, i wasabistand.Instance) refusal {
	if h.stopping {
		return refusal{reason: reasonStopping}
	}
	if len(h.sessions) >= h.instance.settings.maxSessions {
		return refusal{reason: reasonFull}
	}
	c, nodeRevision := s.group.machine.current.Load(), start.GetRevision()
	if c.revision < nodeRevision {
		// The node has a revision that was not copied to this group yet.
		return refusal{reason: reasonNotConfirmed, detail: fmt.Sprintf("revision: %d, group %q has committed %d", nodeRevision, s.group.settings.Name, c.revision)}
	}
	if r := h.announce(s, i); r.reason != "" {
		return r
	}
	h.sessions[s] = struct{}{}
	s.revision, s.documentRevision = nodeRevision, nodeRevision
	if start.DocumentRevision != nil {
		s.documentRevision = start.GetDocumentRevision()
	}
	withDocument := s.documentRevision < c.documentRevision
	now := time.Now()
	s.lag = lag{reported: i.AppliedRevision, since: now}
	h.sendConfiguration(s, c, h.configurationFrame(c, withDocument), now)
	h.logSessionStart(s, nodeRevision, withDocument)
	return refusal{}
}

// announce records an announcement and returns a refusal if it is refused.
func (h *hub) announce(s *session, i wasabistand.Instance) refusal {
	if s.id != "" && i.ID != s.id {
		return refusal{reason: "other-instance"}
	}
	if err := h.registry.Announce(time.Now(), i); err != nil {
		return h.announcementRefusal(i.ID, err)
	}
	s.id, s.incarnation, s.sequence, s.region = i.ID, i.Incarnation, i.Sequence, i.Location.Region
	h.dirty = true
	return refusal{}
}

// announcementRefusal returns the refusal for an error of the registry.
func (h *hub) announcementRefusal(id string, err error) refusal {
	r := refusal{reason: reasonBadAnnouncement, detail: err.Error()}
	switch {
	case wasabimember.ErrDuplicate.Has(err):
		r.reason = reasonDuplicate
		return r
	case wasabimember.ErrFull.Has(err):
		r.reason = reasonFull
		return r
	case wasabimember.ErrStale.Has(err):
		r.reason = "stale-announcement"
	}
	r.knownIncarnation, r.knownSequence = h.registry.Known(id)
	return r
}

// renew renews a lease and returns the reason if the session must end.
func (h *hub) renew(s *session, r *wasabistandv1.Renewal) string {
	now := time.Now()
	h.observeReported(s, r.GetRevisionInForce(), now)
	// A node can't have applied a revision that was not sent to it.
	revision := min(r.GetRevisionInForce(), s.revision)
	if err := h.registry.Renew(now, s.id, s.incarnation, r.GetSequence(), revision); err != nil {
		return "announce-again"
	}
	h.resendMissing(s, r, now)
	// The revision is loaded after the age of the confirmation, so that it includes all
	// that was confirmed then.
	age := s.group.confirmer.age(now)
	revision = s.group.machine.current.Load().revision
	h.send(s, &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Renewed{Renewed: &wasabistandv1.RenewalAck{
		Sequence: r.GetSequence(), Number: r.GetNumber(), Update: s.update, Lists: s.listsDigest(),
		Revision: revision, ConfirmedMsAgo: uint64(max(age, 0).Milliseconds()) + 1,
	}}})
	return ""
}

// close removes a session that has ended.
func (h *hub) close(s *session) {
	if _, ok := h.sessions[s]; !ok {
		return
	}
	delete(h.sessions, s)
	for name := range s.subscriptions {
		h.unsubscribe(s, name)
	}
	h.registry.Disconnect(time.Now(), s.id, s.incarnation, s.sequence)
	h.dirty = true
}

// send queues a frame. It drops the session if its outbox is full, since its
// node does not read.
func (h *hub) send(s *session, f *wasabistandv1.ControlFrame) {
	if !s.out.put(f) {
		h.drop(s, "slow")
	}
}

// drop aborts the stream of a session.
func (h *hub) drop(s *session, reason string) {
	if s.ending {
		return
	}
	s.ending = true
	h.instance.metrics.sessionsEnded.WithLabelValues(reason).Inc()
	h.instance.log.Warn().Str("Instance", s.id).Str("Reason", reason).Msg("session dropped")
	h.wait.Go(s.out.abort)
}

// refuse ends a session and sends the reason, so that the node connects to
// another control instance.
func (h *hub) refuse(s *session, r refusal) {
	if s.ending {
		return
	}
	s.ending = true
	h.instance.metrics.sessionsEnded.WithLabelValues(r.reason).Inc()
	s.out.put(r.frame())
	h.wait.Go(func() { s.out.finish(nil, refusalTimeout) })
}

// stopSessions refuses all current and future sessions and returns the outboxes
// that send the refusals.
func (h *hub) stopSessions() (list []*outbox) {
	h.stopping = true
	for s := range h.sessions {
		h.refuse(s, refusal{reason: reasonStopping})
		list = append(list, s.out)
	}
	return list
}
