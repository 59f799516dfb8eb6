package wasabicontrol

import (
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
)

const (
	// hubTick is well above six times a lease.
	hubTick = 250 * time.Millisecond
	// syncEvery is how often other control instances get a summary.
	syncEvery = time.Second
	// lostFor and maxLost bound the memory of instances that went.
	lostFor = time.Hour
	maxLost = 4096
)

// hub owns the sessions and the membership. All its fields belong to the
// goroutine of run; others hand it work by do.
type hub struct {
	instance *Instance
	work     chan func()
	changed  chan struct{} // capacity 1: a group's configuration changed
	stop     chan struct{}
	done     chan struct{}
	wait     sync.WaitGroup // goroutines that end streams

	registry  *wasabimember.Registry
	sessions  map[*session]struct{}
	interests map[string]map[*session]struct{}
	pushed    map[string]uint64 // the version last sent, by service
	partials  map[string]uint64 // the same of lists that were not complete
	dirty     bool
	flush     *time.Timer
	armed     bool
	synced    time.Time
	// warmAt is when lists are complete again after this instance started or
	// had no quorum.
	warmAt    time.Time
	directory directory
	peers     map[string]*peer
	regions   map[string]peerPlace
	refusing  bool
	// listed and lost tell operators of instances that are out of reach.
	noted  time.Time
	listed map[string]wasabistand.InstanceState
	lost   map[string]time.Time
}

func newHub(i *Instance) *hub {
	h := &hub{
		instance: i, work: make(chan func(), 1024), changed: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
		registry: wasabimember.New(wasabimember.NewOptions(i.settings.id, uint64(time.Now().UnixNano())).WithLease(i.settings.lease)),
		sessions: map[*session]struct{}{}, interests: map[string]map[*session]struct{}{}, pushed: map[string]uint64{}, partials: map[string]uint64{},
		peers: map[string]*peer{}, regions: map[string]peerPlace{},
		listed: map[string]wasabistand.InstanceState{}, lost: map[string]time.Time{},
	}
	h.flush = time.NewTimer(time.Hour)
	return h
}

// do runs f on the owner's goroutine and waits. It reports whether f ran.
func (h *hub) do(f func()) bool {
	ran := make(chan struct{})
	select {
	case h.work <- func() { f(); close(ran) }:
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
	t := time.NewTicker(hubTick)
	defer t.Stop()
	defer h.flush.Stop()
	h.registry.Tick(time.Now())
	h.refreshDirectory(h.instance.findDirectory(nil))
	for {
		select {
		case <-h.stop:
			for _, p := range h.peers {
				p.cancel()
			}
			return
		case f := <-h.work:
			f()
		case <-h.changed:
			h.pushConfigurations(false)
		case now := <-t.C:
			h.tick(now)
		case now := <-h.flush.C:
			h.armed = false
			h.pushMembership(now)
			h.broadcast(now)
		}
		if (h.dirty || h.registry.HasPendingChanges()) && !h.armed {
			h.armed = true
			h.flush.Reset(h.instance.settings.flushEvery)
		}
	}
}

func (h *hub) tick(now time.Time) {
	h.registry.Tick(now)
	h.dirty = true
	for s := range h.sessions {
		if s.out.stalled(now) > h.instance.settings.slowAfter {
			h.drop(s, "slow")
		}
	}
	for _, g := range h.instance.groups {
		if g.confirmer.age(now) <= h.instance.settings.unconfirmedAfter {
			continue
		}
		h.warmAt = now.Add(h.instance.settings.lease + time.Second)
		for s := range h.sessions {
			if s.group == g {
				h.refuse(s, reasonNotConfirmed)
			}
		}
	}
	if now.Sub(h.synced) >= syncEvery {
		h.broadcast(now)
	}
	if now.Sub(h.noted) >= syncEvery {
		h.noted = now
		h.noteLost(now)
	}
}

// noteLost remembers for a while which instances went without leaving.
func (h *hub) noteLost(now time.Time) {
	list := make(map[string]wasabistand.InstanceState, len(h.listed))
	for _, i := range h.registry.List("") {
		list[i.ID] = i.State
		delete(h.lost, i.ID)
	}
	for id, state := range h.listed {
		if _, ok := list[id]; !ok && state != wasabistand.Leaving && len(h.lost) < maxLost {
			h.lost[id] = now
		}
	}
	for id, at := range h.lost {
		if now.Sub(at) > lostFor {
			delete(h.lost, id)
		}
	}
	h.listed = list
}

// warm reports whether the lists are complete enough to replace those that
// nodes hold.
func (h *hub) warm(now time.Time) bool { return h.registry.IsWarmedUp(now) && !now.Before(h.warmAt) }

// open takes in a session whose node was confirmed. It returns why it is
// refused, empty when it is served.
func (h *hub) open(s *session, start uint64, i wasabistand.Instance) string {
	if h.refusing {
		return reasonStopping
	}
	if len(h.sessions) >= h.instance.settings.maxSessions {
		return reasonFull
	}
	c := s.group.machine.current.Load()
	if c.revision < start {
		// The node has a revision that this group has not adopted yet.
		return reasonNotConfirmed
	}
	if reason := h.announce(s, i); reason != "" {
		return reason
	}
	h.sessions[s] = struct{}{}
	// A node has the document as of its revision.
	s.revision, s.document = start, start
	f := h.configurationFrame(c, s.document < c.document)
	s.revision, s.document = c.revision, max(s.document, c.document)
	h.put(s, f)
	return ""
}

// announce records an announcement and returns why it is refused.
func (h *hub) announce(s *session, i wasabistand.Instance) string {
	if s.id != "" && i.ID != s.id {
		return "other-instance"
	}
	err := h.registry.Announce(time.Now(), i)
	switch {
	case err == nil:
	case wasabimember.ErrDuplicate.Has(err):
		return reasonDuplicate
	case wasabimember.ErrStale.Has(err):
		return "stale-announcement"
	case wasabimember.ErrFull.Has(err):
		return reasonFull
	default:
		return "bad-announcement"
	}
	s.id, s.incarnation, s.sequence = i.ID, i.Incarnation, i.Sequence
	h.dirty = true
	return ""
}

// renew renews a lease and returns why the session ends, if it does.
func (h *hub) renew(s *session, r *wasabistandv1.Renewal) string {
	// A node can't run a revision that was not sent to it.
	revision := min(r.GetRevisionInForce(), s.revision)
	err := h.registry.Renew(time.Now(), s.id, s.incarnation, r.GetSequence(), revision)
	if err != nil {
		return "announce-again"
	}
	h.put(s, &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Renewed{Renewed: &wasabistandv1.RenewalAck{Sequence: r.GetSequence()}}})
	return ""
}

// setInterests replaces the services that a node asks for.
func (h *hub) setInterests(s *session, m map[string]uint64) {
	if len(m) > maxInterests {
		h.refuse(s, "too-many-interests")
		return
	}
	for name := range s.interests {
		if _, ok := m[name]; !ok {
			h.forget(s, name)
		}
	}
	for name, version := range m {
		if name == "" || len(name) > 128 {
			continue
		}
		s.interests[name] = version
		if h.interests[name] == nil {
			h.interests[name] = map[*session]struct{}{}
		}
		h.interests[name][s] = struct{}{}
		if h.warm(time.Now()) {
			h.pushDelta(s, name, nil)
		} else if f := h.partial(name); f != nil {
			h.put(s, f)
		}
	}
}

func (h *hub) forget(s *session, name string) {
	delete(s.interests, name)
	delete(h.interests[name], s)
	if len(h.interests[name]) == 0 {
		delete(h.interests, name)
		delete(h.pushed, name)
		delete(h.partials, name)
	}
}

// close forgets a session that has ended.
func (h *hub) close(s *session) {
	if _, ok := h.sessions[s]; !ok {
		return
	}
	delete(h.sessions, s)
	for name := range s.interests {
		h.forget(s, name)
	}
	h.registry.Disconnect(time.Now(), s.id, s.incarnation, s.sequence)
	h.dirty = true
}

// put queues a frame and drops a session that does not read.
func (h *hub) put(s *session, f *wasabistandv1.ControlFrame) {
	if !s.out.put(f) {
		h.drop(s, "slow")
	}
}

func (h *hub) drop(s *session, reason string) {
	if s.ending {
		return
	}
	s.ending = true
	h.instance.metrics.sessionsEnded.WithLabelValues(reason).Inc()
	h.instance.log.Warn().Str("Instance", s.id).Str("Reason", reason).Msg("session dropped")
	h.wait.Go(s.out.abort)
}

// refuse tells a node to turn elsewhere.
func (h *hub) refuse(s *session, reason string) {
	if s.ending {
		return
	}
	s.ending = true
	h.instance.metrics.sessionsEnded.WithLabelValues(reason).Inc()
	s.out.put(refusal(reason))
	h.wait.Go(func() { s.out.finish(nil, refusalTimeout) })
}

// pushConfigurations sends each session what its group has accepted since,
// and with all the directory too.
func (h *hub) pushConfigurations(all bool) {
	frames := map[*group][2]*wasabistandv1.ControlFrame{}
	for s := range h.sessions {
		c := s.group.machine.current.Load()
		if c.revision <= s.revision && !all {
			continue
		}
		pair := frames[s.group]
		kind := 0
		if c.document > s.document {
			kind = 1
		}
		if pair[kind] == nil {
			pair[kind] = h.configurationFrame(c, kind == 1)
			frames[s.group] = pair
		}
		s.revision, s.document = max(s.revision, c.revision), max(s.document, c.document)
		h.put(s, pair[kind])
	}
	h.instance.adopt()
}

func (h *hub) configurationFrame(c *configuration, whole bool) *wasabistandv1.ControlFrame {
	u := &wasabistandv1.ConfigurationUpdate{
		Revision: c.revision, DocumentRevision: c.document, Drained: c.drained,
		ClaimHomes: h.directory.homes, ControlAddresses: h.directory.all, ControlRegions: h.directory.regions,
	}
	if whole {
		u.Toml = c.toml
	}
	return &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Configuration{Configuration: u}}
}

// pushMembership sends deltas of the lists that changed to the sessions that
// asked for them.
func (h *hub) pushMembership(now time.Time) {
	if !h.dirty {
		return
	}
	h.dirty = false
	if !h.warm(now) {
		h.pushPartial()
		return
	}
	for name, list := range h.interests {
		version := h.registry.Version(name)
		if h.pushed[name] == version {
			continue
		}
		h.pushed[name] = version
		frames := map[uint64]*wasabistandv1.ControlFrame{}
		for s := range list {
			h.pushDelta(s, name, frames)
		}
	}
}

// pushPartial sends what is known of the lists before they are complete. The
// full lists follow, since no version is noted as sent.
func (h *hub) pushPartial() {
	for name, list := range h.interests {
		version := h.registry.Version(name)
		if h.partials[name] == version {
			continue
		}
		h.partials[name] = version
		if f := h.partial(name); f != nil {
			for s := range list {
				h.put(s, f)
			}
		}
	}
}

// partial returns what is known of a list, nil for nothing.
func (h *hub) partial(name string) *wasabistandv1.ControlFrame {
	d := h.registry.Delta(name, 0)
	if d == nil || len(d.GetUpserts()) == 0 {
		return nil
	}
	d.Partial = true
	return &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Membership{Membership: d}}
}

func (h *hub) pushDelta(s *session, name string, frames map[uint64]*wasabistandv1.ControlFrame) {
	base := s.interests[name]
	f, ok := frames[base]
	if !ok {
		if d := h.registry.Delta(name, base); d != nil {
			f = &wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Membership{Membership: d}}
		}
		if frames != nil {
			frames[base] = f
		}
	}
	if f != nil {
		s.interests[name] = f.GetMembership().GetVersion()
		h.put(s, f)
	}
}

// stopSessions refuses all sessions and all that come, and returns what sends
// the refusals.
func (h *hub) stopSessions() (list []*outbox) {
	h.refusing = true
	for s := range h.sessions {
		h.refuse(s, reasonStopping)
		list = append(list, s.out)
	}
	return list
}
