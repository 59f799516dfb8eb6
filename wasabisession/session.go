package wasabisession

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

var (
	_ wasabistand.Directory = (*Session)(nil)
	_ wasabistand.Claims    = (*Session)(nil)
)

// Session is a node's session with control. It is safe for concurrent use.
type Session struct {
	options  Options
	pool     *wasabilink.Pool
	recorder wasabistand.Recorder
	id       string
	claims   *claims

	published atomic.Pointer[published]
	confirmed atomic.Int64 // when control last answered, in Unix nanoseconds

	mu        sync.Mutex
	self      wasabistand.Instance
	controls  []string // replaces those of the options, nil for none
	interests sync.Map // service names
	count     atomic.Int64
	announced chan struct{} // capacity 1: self changed
	wanted    chan struct{} // capacity 1: interests changed

	// Owned by run.
	state      state
	candidates *candidates

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// published is one snapshot and the channel that is closed at the next.
type published struct {
	view    *wasabistand.View
	changed chan struct{}
}

// New returns a session of a node and starts it. self is the node's first
// announcement. The recorder may be nil.
func New(o Options, pool *wasabilink.Pool, self wasabistand.Instance, r wasabistand.Recorder) *Session {
	s := &Session{
		options: o, pool: pool, recorder: r, id: self.ID, self: self,
		announced: make(chan struct{}, 1), wanted: make(chan struct{}, 1),
		state: newState(self.ID), candidates: newCandidates(self.ID, o),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.published.Store(&published{changed: make(chan struct{})})
	s.claims = newClaims(o, pool, self, s.claimAddresses)
	s.wait.Go(s.run)
	return s
}

// View implements wasabistand.Directory.
func (s *Session) View() *wasabistand.View { return s.published.Load().view }

// Changed implements wasabistand.Directory.
func (s *Session) Changed() <-chan struct{} { return s.published.Load().changed }

// Interest implements wasabistand.Directory. Services beyond the bound of
// 1,024 are ignored.
func (s *Session) Interest(service string) {
	if service == "" || len(service) > wasabiwire.MaxNameBytes {
		return
	}
	if _, ok := s.interests.Load(service); ok {
		return
	}
	if s.count.Add(1) > int64(s.options.maxInterests) {
		s.count.Add(-1)
		return
	}
	if _, ok := s.interests.LoadOrStore(service, struct{}{}); ok {
		s.count.Add(-1)
		return
	}
	signal(s.wanted)
}

// Announce replaces what the node says of itself. The session sets the
// sequence and the revision in force. A higher incarnation is taken over: an
// instance that has left returns only under a new one.
func (s *Session) Announce(i wasabistand.Instance) {
	s.mu.Lock()
	i.ID, i.Incarnation, i.Sequence = s.self.ID, max(i.Incarnation, s.self.Incarnation), s.self.Sequence
	s.self = i
	s.mu.Unlock()
	signal(s.announced)
}

// SetControls replaces the addresses of control instances to start from, for
// the next time that the session is lost.
func (s *Session) SetControls(list ...string) {
	s.mu.Lock()
	s.controls = slices.Clone(list)
	s.mu.Unlock()
}

// staleStep raises an incarnation above one of a clock that ran ahead.
const staleStep = uint64(time.Hour)

// renumber begins a new incarnation after control knew a later one, as after a
// clock that was set back.
func (s *Session) renumber() {
	s.mu.Lock()
	s.self.Incarnation += staleStep
	s.mu.Unlock()
}

// Stale reports whether no control instance has acknowledged the node for a
// lease: the view may be outdated.
func (s *Session) Stale() bool {
	at := s.confirmed.Load()
	return at == 0 || time.Since(time.Unix(0, at)) > s.options.lease
}

// Take implements wasabistand.Claims.
func (s *Session) Take(ctx context.Context, c wasabistand.Claim) (wasabistand.ClaimState, error) {
	return s.claims.take(ctx, c)
}

// Settle implements wasabistand.Claims. It returns once the settlement is
// queued; the session retries it until it is recorded or its time has run
// out. The error says that the queue is full or the session closed.
func (s *Session) Settle(_ context.Context, c wasabistand.Claim, t wasabistand.Settlement) error {
	return s.claims.settle(c, t)
}

// Close records settlements for a bounded time, ends the session and waits.
func (s *Session) Close() error {
	s.claims.close()
	s.cancel()
	s.wait.Wait()
	return nil
}

// String names the implementation.
func (s *Session) String() string { return "session" }

func signal(c chan struct{}) {
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

// run owns the control state: it keeps one session open, one after another.
func (s *Session) run() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		if s.controls != nil {
			s.candidates.settings = s.controls
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
		address := s.reach(list)
		if address == "" {
			continue
		}
		reason, after := s.serve(address)
		if s.ctx.Err() != nil {
			return
		}
		if reason == "stale-announcement" {
			s.renumber()
		}
		s.candidates.fail(time.Now(), address, after)
		s.record(wasabistand.EventSessionDown, reason, wasabistand.HeaderField{Name: "Control", Value: address})
	}
}

// reached is the result of dialing one control instance.
type reached struct {
	address string
	err     error
}

// reach returns the first address to which a link is open, empty for none. An
// address that does not answer holds up the next one for a short time only: in
// a cut most of those in the list may be silent.
func (s *Session) reach(list []string) string {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.answerTimeout)
	defer cancel()
	results := make(chan reached, len(list))
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
					results <- reached{address, err}
				})
				pause.Reset(s.options.dialPause)
			}
		case r := <-results:
			if r.err == nil {
				return r.address
			}
			failed++
			s.candidates.fail(time.Now(), r.address, 0)
			s.record(wasabistand.EventSessionDown, "connect", wasabistand.HeaderField{Name: "Control", Value: r.address})
			pause.Reset(0)
		case <-ctx.Done():
			for _, a := range list[:started] {
				s.candidates.fail(time.Now(), a, 0)
			}
			return ""
		}
	}
	return ""
}

// serve runs one session until it ends and says why.
func (s *Session) serve(address string) (reason string, after time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.answerTimeout)
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
		// yamux ends a pending read at once by a deadline, and only after
		// seconds by a close.
		_ = stream.SetDeadline(time.Now())
		_ = stream.Close()
		<-ended
	}()
	c := &conversation{s: s, stream: stream, address: address}
	return c.run(frames, ended)
}

// claimAddresses returns where claims of a region are made.
func (s *Session) claimAddresses(home string) []string {
	v := s.View()
	if v == nil {
		return nil
	}
	if a := v.ClaimHomes[home]; len(a) > 0 {
		return a
	}
	return v.ClaimHomes[""]
}
