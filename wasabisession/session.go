package wasabisession

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

var (
	_ wasabistand.Directory = (*Session)(nil)
	_ wasabistand.Claims    = (*Session)(nil)
)

// Session maintains a node's session with the control instances. It is safe for
// concurrent use.
type Session struct {
	options  Options
	pool     *wasabilink.Pool
	recorder wasabistand.Recorder
	id       string
	claims   *claims

	published atomic.Pointer[viewSnapshot]
	// lastConfirmed is the time at which the applied configuration was the latest
	// committed one, as far as control has confirmed that.
	lastConfirmed atomic.Pointer[time.Time]

	mu                   sync.Mutex
	self                 wasabistand.Instance
	controls             []string // overrides the addresses in options unless nil
	subscriptions        sync.Map // service names
	subscriptionCount    atomic.Int64
	announceChanged      chan struct{} // capacity 1: self changed
	subscriptionsChanged chan struct{} // capacity 1: subscriptions changed

	started time.Time

	// Owned by run.
	state state
	// refusalDetail is what control said about the last refusal.
	refusalDetail string
	candidates    *candidates
	returns       int // attempts to return to the node's region

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// viewSnapshot is a published view with a channel that is closed when the next
// one replaces it.
type viewSnapshot struct {
	view    *wasabistand.View
	changed chan struct{}
}

// New starts and returns a node's session. self is the node's first
// announcement. The recorder may be nil.
func New(o Options, pool *wasabilink.Pool, self wasabistand.Instance, r wasabistand.Recorder) *Session {
	s := &Session{
		options: o, pool: pool, recorder: r, id: self.ID, self: self,
		announceChanged: make(chan struct{}, 1), subscriptionsChanged: make(chan struct{}, 1),
		started: time.Now(), state: newState(self.ID), candidates: newCandidates(self.ID, o),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.published.Store(&viewSnapshot{changed: make(chan struct{})})
	s.claims = newClaims(o, pool, self, s.claimAddresses)
	s.wait.Go(s.run)
	return s
}

// View implements wasabistand.Directory.
func (s *Session) View() *wasabistand.View { return s.published.Load().view }

// Changed implements wasabistand.Directory.
func (s *Session) Changed() <-chan struct{} { return s.published.Load().changed }

// Subscribe implements wasabistand.Directory. Services beyond the limit of
// 1,024 are ignored.
func (s *Session) Subscribe(service string) {
	if service == "" || len(service) > wasabiwire.MaxNameBytes {
		return
	}
	if _, ok := s.subscriptions.Load(service); ok {
		return
	}
	if s.subscriptionCount.Add(1) > int64(s.options.maxSubscriptions) {
		s.subscriptionCount.Add(-1)
		return
	}
	if _, ok := s.subscriptions.LoadOrStore(service, struct{}{}); ok {
		s.subscriptionCount.Add(-1)
		return
	}
	notify(s.subscriptionsChanged)
}

// Announce replaces the node's announcement. The session sets the ID, the incarnation,
// the sequence number and the applied revision. It starts a new incarnation if isNew is
// set, and for an instance that returns after it has left, because control accepts its
// return only so.
func (s *Session) Announce(i wasabistand.Instance, isNew bool) {
	s.mu.Lock()
	i.ID, i.Incarnation, i.Sequence = s.self.ID, s.self.Incarnation, s.self.Sequence
	if isNew || s.self.State == wasabistand.Leaving && i.State != wasabistand.Leaving {
		i.Incarnation++
	}
	s.self = i
	s.mu.Unlock()
	notify(s.announceChanged)
}

// SetControlAddresses replaces the initial addresses of control instances. They
// are used the next time that the session is lost.
func (s *Session) SetControlAddresses(list ...string) {
	s.mu.Lock()
	s.controls = slices.Clone(list)
	s.mu.Unlock()
}

const (
	// reasonStale is control's reason for refusing an announcement that is older than the
	// one it has.
	reasonStale = "stale-announcement"
	// incarnationStep is added to an incarnation that a control instance rejected as
	// stale without naming the one that it has. It is large enough to exceed one that was
	// derived from a fast clock.
	incarnationStep = uint64(time.Hour)
)

// raiseIdentity continues above the announcement that control has after it refused a
// later one: it was made by an earlier process whose clock was ahead, or the instance
// can't continue it.
func (s *Session) raiseIdentity(r *wasabistandv1.SessionRefusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := r.GetKnownIncarnation()
	switch {
	case known == 0 && r.GetReason() == reasonStale:
		s.self.Incarnation += incarnationStep
	case known == s.self.Incarnation && r.GetReason() == reasonStale:
		s.self.Sequence = max(s.self.Sequence, r.GetKnownSequence())
	case known >= s.self.Incarnation && known < math.MaxUint64:
		s.self.Incarnation = known + 1
	}
}

// Stale reports whether no control instance has confirmed the configuration for the
// duration of a lease, so that the view may be outdated.
func (s *Session) Stale() bool {
	return s.lastConfirmed.Load() == nil || s.Unconfirmed() > s.options.lease
}

// Unconfirmed returns how long ago the applied configuration was certainly the latest
// committed one: all changes that were committed earlier are applied. In a region with a
// home group these are the changes that were copied there. Before the first confirmation it
// returns the time since the start.
func (s *Session) Unconfirmed() time.Duration {
	at := s.lastConfirmed.Load()
	if at == nil {
		at = &s.started
	}
	return wasabievent.Elapsed(time.Now(), *at)
}

// confirm records that the applied configuration was the latest one at a time. Only run
// calls it.
func (s *Session) confirm(at time.Time) {
	if old := s.lastConfirmed.Load(); old == nil || at.After(*old) {
		s.lastConfirmed.Store(&at)
	}
}

// Take implements wasabistand.Claims.
func (s *Session) Take(ctx context.Context, c wasabistand.Claim) (wasabistand.ClaimState, error) {
	return s.claims.take(ctx, c)
}

// Settle implements wasabistand.Claims. It returns once the settlement is
// queued; the session retries it until it is recorded or times out. It returns
// an error if the queue is full or the session is closed.
func (s *Session) Settle(_ context.Context, c wasabistand.Claim, t wasabistand.Settlement) error {
	return s.claims.settle(c, t)
}

// Close waits for queued settlements for a bounded time, ends the session and
// waits until it has ended.
func (s *Session) Close() error {
	s.claims.close()
	s.cancel()
	s.wait.Wait()
	return nil
}

// String returns the name of the implementation.
func (s *Session) String() string { return "session" }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Session) record(k wasabistand.EventKind, reason string, fields ...wasabistand.HeaderField) {
	if s.recorder != nil {
		s.recorder.Record(wasabistand.Event{Kind: k, Reason: wasabistand.Reason(reason), Fields: fields})
	}
}

// run keeps one session open at a time, replacing it when it ends. It owns state
// and candidates.
func (s *Session) run() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		if s.controls != nil {
			s.candidates.configured = s.controls
		}
		s.mu.Unlock()
		list, wait := s.candidates.next(time.Now())
		t := time.NewTimer(wait)
		select {
		case <-s.ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		address := s.dialFirst(list)
		if address == "" {
			continue
		}
		reason, after := s.runSession(address)
		if s.ctx.Err() != nil {
			return
		}
		s.candidates.recordFailure(time.Now(), address, after)
		s.record(wasabistand.EventSessionDown, reason, wasabistand.HeaderField{Name: "Control", Value: address}, wasabistand.HeaderField{Name: "Detail", Value: s.refusalDetail},
			revisionField(s.state.revision), numberField("ConfirmedMsAgo", uint64(max(s.Unconfirmed().Milliseconds(), 0))))
		s.refusalDetail = ""
	}
}

// dialResult is the result of dialing one control instance.
type dialResult struct {
	address string
	err     error
}

// dialFirst returns the first address to which a link could be opened, empty for
// none. It starts the next dial after a short delay without waiting for the
// previous one, because in a network partition most addresses may be silent.
func (s *Session) dialFirst(list []string) string {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.responseTimeout)
	defer cancel()
	results := make(chan dialResult, len(list))
	pause := time.NewTimer(0)
	defer pause.Stop()
	started, failed := 0, 0
	for failed < len(list) {
		select {
		case <-pause.C:
			if started < len(list) {
				address := list[started]
				started++
				s.wait.Go(func() {
					_, err := s.pool.Get(ctx, address)
					results <- dialResult{address, err}
				})
				pause.Reset(s.options.dialStagger)
			}
		case r := <-results:
			if r.err == nil {
				return r.address
			}
			failed++
			s.candidates.recordFailure(time.Now(), r.address, 0)
			s.record(wasabistand.EventSessionDown, "connect", wasabistand.HeaderField{Name: "Control", Value: r.address})
			pause.Reset(0)
		case <-ctx.Done():
			for _, a := range list[:started] {
				s.candidates.recordFailure(time.Now(), a, 0)
			}
			return ""
		}
	}
	return ""
}

// runSession runs one session until it ends, and returns the reason and the
// least time to wait before trying the same control instance again.
func (s *Session) runSession(address string) (reason string, after time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.responseTimeout)
	defer cancel()
	link, err := s.pool.Get(ctx, address)
	if err != nil {
		return "connect", 0
	}
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_SESSION)
	if err != nil {
		return "connect", 0
	}
	frames := make(chan *wasabistandv1.ControlFrame, 64)
	ended, quit := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			f := new(wasabistandv1.ControlFrame)
			if stream.Receive(f) != nil {
				return
			}
			select {
			case frames <- f:
			case <-quit:
				return
			}
		}
	}()
	defer func() {
		close(quit)
		// A deadline ends a pending yamux read at once, a close only after
		// seconds.
		_ = stream.SetDeadline(time.Now())
		_ = stream.Close()
		<-ended
	}()
	c := &sessionStream{session: s, stream: stream, address: address, homeReachable: make(chan struct{}, 1)}
	return c.run(frames, ended)
}

// claimAddresses returns the addresses of the home group of a region, falling
// back to the default group.
func (s *Session) claimAddresses(region string) []string {
	v := s.View()
	if v == nil {
		return nil
	}
	if a := v.ClaimAddresses[region]; len(a) > 0 {
		return a
	}
	return v.ClaimAddresses[""]
}
