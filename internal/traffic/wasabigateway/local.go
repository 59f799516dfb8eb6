package wasabigateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
)

const (
	// probeTimeout bounds one health check. The pause after one that fails doubles from
	// minProbePause to maxProbePause.
	probeTimeout  = 500 * time.Millisecond
	minProbePause = 300 * time.Millisecond
	maxProbePause = time.Second
	// earlyConfirmationTime is how long a health check counts that succeeded before the
	// configuration came. It is repeated meanwhile.
	earlyConfirmationTime = maxProbePause + probeTimeout
	// probeLogInterval is how often a health check that fails in the same way as the one
	// before is logged.
	probeLogInterval = 10 * time.Second
	// upstreamIdleTimeout is used when the upstream sends no keep-alive timeout.
	upstreamIdleTimeout = 5 * time.Second
	// upstreamDialTimeout bounds the opening of a connection on the same machine.
	upstreamDialTimeout = 500 * time.Millisecond
	// defaultHealthPath is used for an upstream without a configured path.
	defaultHealthPath = "/health"
	// defaultMaxConnections is used for an upstream without a configured limit.
	defaultMaxConnections = 256
	// unreachableTimeout is how long an instance may be unreachable without a
	// heartbeat before it is announced as leaving. Heartbeats come every 1.5 s.
	unreachableTimeout = 5 * time.Second
)

// lease permits calls to one incarnation of the local instance.
type lease struct {
	id       string
	lifetime int
	upstream *wasabihttp.Upstream
	// revoked is closed once no further call may be sent to the upstream.
	revoked chan struct{}
}

func (l *lease) isRevoked() bool {
	select {
	case <-l.revoked:
		return true
	default:
		return false
	}
}

// earlyConfirmation is a health check that succeeded before the node had a
// configuration. It counts if the configuration names the path that was asked.
type earlyConfirmation struct {
	lifetime int
	path     string
	at       time.Time
}

// localInstance tracks the instance next to this node.
type localInstance struct {
	gateway *Gateway
	log     zerolog.Logger

	mu               sync.Mutex
	tracker          *wasabiinstance.Tracker
	lease            *lease
	probing          int // the lifetime being probed, 0 for none
	early            earlyConfirmation
	reprobe          chan struct{} // signals a change of the health path
	revokeTimer      *time.Timer
	stopping         bool
	unreachableSince time.Time // when the instance became unreachable, zero if it is reachable
	lastAnnounced    wasabistand.Instance
	maxConns         int
	// healthPath is empty until the node has a configuration.
	healthPath string
}

func newLocalInstance(g *Gateway, log zerolog.Logger) *localInstance {
	return &localInstance{gateway: g, log: log, tracker: wasabiinstance.New(g.settings.service, g.settings.upstream), maxConns: defaultMaxConnections, reprobe: make(chan struct{}, 1)}
}

// currentLease returns the lease under which a call may be sent to the instance.
func (o *localInstance) currentLease(service string) (*lease, *wasabistand.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case service != o.gateway.settings.service:
		return nil, wasabistand.NewRefusal(wasabistand.ReasonNotReady, "this node serves another service")
	case o.lease == nil || !o.tracker.State().Confirmed:
		return nil, wasabistand.NewRefusal(wasabistand.ReasonNotReady, "the instance has not reported yet")
	case o.lease.isRevoked():
		return nil, wasabistand.NewRefusal(wasabistand.ReasonLeaving, "the instance leaves")
	}
	return o.lease, nil
}

// isLeaving reports whether other nodes should send no further calls.
func (o *localInstance) isLeaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopping || !o.tracker.State().AcceptsCalls()
}

// heartbeat records a report of the instance.
func (o *localInstance) heartbeat(r wasabiinstance.Report) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.gateway.now()
	before := o.tracker.State()
	err := o.tracker.Heartbeat(now, r)
	after := o.tracker.State()
	if err == nil {
		o.unreachableSince = time.Time{}
	}
	if err != nil || after.Lifetime != before.Lifetime || after.Leaving != before.Leaving {
		o.log.Info().Str("Instance", r.ID).Uint64("Born", r.Born).Uint64("Sequence", r.Sequence).
			Bool("Leaving", r.Leaving).Int("Slots", r.Slots).Int("Lifetime", after.Lifetime).AnErr("Error", err).Msg("heartbeat")
	}
	if err == nil {
		o.handleChange(now, before)
	}
	return err
}

// deregister records that the instance leaves for good.
func (o *localInstance) deregister(id string, born uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.gateway.now()
	before := o.tracker.State()
	err := o.tracker.Deregister(now, id, born)
	o.log.Info().Str("Instance", id).Uint64("Born", born).AnErr("Error", err).Msg("instance deregisters")
	o.handleChange(now, before)
	return err
}

// handleChange acts on a change of the instance's state. The mutex must be held.
func (o *localInstance) handleChange(now time.Time, before wasabiinstance.State) {
	s := o.tracker.State()
	if s.Lifetime != before.Lifetime {
		o.replaceLease(s)
	}
	if s.Leaving && !before.Leaving || s.Leaving && s.Lifetime != before.Lifetime {
		o.scheduleRevocation(s)
	}
	if s.NeedsConfirmation() && o.probing != s.Lifetime {
		o.probing = s.Lifetime
		l := o.lease
		o.gateway.background(func() { o.probe(l) })
	}
	o.announce(now)
}

// replaceLease replaces the lease for a new incarnation. The mutex must be held.
func (o *localInstance) replaceLease(s wasabiinstance.State) {
	if old := o.lease; old != nil {
		if !old.isRevoked() {
			close(old.revoked)
		}
		_ = old.upstream.Close()
	}
	if o.revokeTimer != nil {
		o.revokeTimer.Stop()
	}
	g := o.gateway
	o.lease = &lease{
		id: s.ID, lifetime: s.Lifetime, revoked: make(chan struct{}),
		upstream: wasabihttp.NewUpstream(wasabihttp.UpstreamOptions{
			Address: g.settings.upstream, MaxConnections: o.maxConns, IdleTimeout: upstreamIdleTimeout,
			DialTimeout: upstreamDialTimeout, EchoHeader: g.settings.headers.RequestID, MaxHeaderBytes: maxResponseHeaderBytes,
		}),
	}
	g.queue.reset(g.parts.Admission(max(s.Slots, 1), g.settings.queueLimit))
}

// maxResponseHeaderBytes bounds the header of an upstream's response.
const maxResponseHeaderBytes = 64 << 10

// scheduleRevocation revokes the lease after drainGrace, within which other nodes
// are informed of the drain. The mutex must be held.
func (o *localInstance) scheduleRevocation(s wasabiinstance.State) {
	l := o.lease
	if l == nil {
		return
	}
	lifetime := s.Lifetime
	o.revokeTimer = time.AfterFunc(o.gateway.settings.drainGrace, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.lease == l && l.lifetime == lifetime && !l.isRevoked() {
			close(l.revoked)
			o.log.Info().Str("Instance", l.id).Msg("instance gets no further calls")
		}
	})
}

// probe repeats the health check of a new incarnation until the instance accepts calls
// or leaves. A check that fails holds only for its moment: the instance may accept calls
// at the next one, or at another path that the configuration names by then.
func (o *localInstance) probe(l *lease) {
	var logged string
	var loggedAt time.Time
	for pause := minProbePause; ; pause = min(2*pause, maxProbePause) {
		path, ok := o.nextProbe(l)
		if !ok {
			return
		}
		err := o.checkHealth(l, path)
		if err == nil && o.confirm(l, path) {
			return
		}
		if now := o.gateway.now(); err != nil && (err.Error() != logged || now.Sub(loggedAt) >= probeLogInterval) {
			logged, loggedAt = err.Error(), now
			o.log.Info().Str("Instance", l.id).Str("Path", path).Dur("Unconfirmed", o.unconfirmedFor()).Err(err).Msg("instance does not confirm that it accepts calls")
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-o.reprobe:
			t.Stop()
		case <-o.gateway.ctx.Done():
			t.Stop()
		}
	}
}

// nextProbe returns the path of the next health check, and whether the incarnation of a
// lease has yet to be asked with success. Before the node has a configuration, that is
// the default path.
func (o *localInstance) nextProbe(l *lease) (path string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return cmp.Or(o.healthPath, defaultHealthPath), o.gateway.ctx.Err() == nil && o.lease == l && o.tracker.State().NeedsConfirmation()
}

// confirm records that the incarnation of a lease accepted calls when it was asked at a
// path. It returns false if that doesn't count, because the configuration names another
// path or is not known yet.
func (o *localInstance) confirm(l *lease, path string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.gateway.now()
	if o.healthPath == "" {
		o.early = earlyConfirmation{lifetime: l.lifetime, path: path, at: now}
		return false
	}
	if path != o.healthPath {
		return false
	}
	before := o.tracker.State()
	o.tracker.Confirm(l.lifetime)
	o.log.Info().Str("Instance", l.id).Msg("instance confirmed that it accepts calls")
	o.handleChange(now, before)
	return true
}

// applyEarly counts a health check that succeeded before the configuration came, if it is
// recent and was made at the path that the configuration names. The mutex must be held.
func (o *localInstance) applyEarly(now time.Time) {
	e := o.early
	o.early = earlyConfirmation{}
	if e.path == o.healthPath && now.Sub(e.at) <= earlyConfirmationTime {
		o.tracker.Confirm(e.lifetime)
		o.log.Info().Int("Lifetime", e.lifetime).Msg("instance confirmed that it accepts calls before the configuration came")
	}
}

// unconfirmedFor returns for how long the instance has been known without accepting
// calls, 0 if it accepts them or leaves.
func (o *localInstance) unconfirmedFor() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.tracker.State()
	if !s.NeedsConfirmation() {
		return 0
	}
	return o.gateway.now().Sub(s.KnownSince)
}

// checkHealth makes one health check. Without an error the instance accepts calls.
func (o *localInstance) checkHealth(l *lease, path string) error {
	ctx, cancel := context.WithTimeout(o.gateway.ctx, probeTimeout)
	defer cancel()
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: o.gateway.settings.upstream, Header: http.Header{"User-Agent": {""}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	call, err := l.upstream.Do(ctx, r.WithContext(ctx))
	if err != nil {
		return err
	}
	defer call.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(call, maxResponseHeaderBytes))
	if id := call.Response.Header.Get(o.gateway.settings.headers.Instance); id != "" && id != l.id {
		return Error.New("another instance responded at the address: %q", id)
	}
	if call.Response.StatusCode != http.StatusOK {
		return Error.New("health check returned status %d", call.Response.StatusCode)
	}
	return nil
}

// markUnreachable records that no connection could be opened.
func (o *localInstance) markUnreachable() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unreachableSince.IsZero() {
		o.unreachableSince = o.gateway.now()
		o.log.Warn().Str("Instance", o.tracker.State().ID).Msg("instance can't be reached")
	}
}

// configure applies the policy that operators configured for the service's
// upstreams, the zero value if there is none.
func (o *localInstance) configure(c wasabistand.UpstreamPolicy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, before := o.gateway.now(), o.tracker.State()
	if path := cmp.Or(c.HealthPath, defaultHealthPath); path != o.healthPath {
		o.healthPath = path
		o.applyEarly(now)
		signalProbe(o.reprobe)
	}
	o.maxConns = cmp.Or(c.MaxConnections, defaultMaxConnections)
	if o.lease != nil {
		o.lease.upstream.SetMaxConnections(o.maxConns)
	}
	o.handleChange(now, before)
}

// signalProbe wakes the health checks without blocking.
func signalProbe(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// stop announces that the node leaves.
func (o *localInstance) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	o.announce(o.gateway.now())
}

// refresh announces changes that come with the passing of time and prunes idle
// connections.
func (o *localInstance) refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.gateway.now()
	o.announce(now)
	if o.lease != nil {
		o.lease.upstream.Prune(now)
	}
}

// announce reports the instance to control when its state has changed. The mutex
// must be held.
func (o *localInstance) announce(now time.Time) {
	s := o.tracker.State()
	i := o.lastAnnounced
	i.State = wasabistand.Leaving
	isLost := !o.unreachableSince.IsZero() && now.Sub(o.unreachableSince) > unreachableTimeout && now.Sub(s.ReportedAt) > unreachableTimeout
	if s.AcceptsCalls() && !o.stopping && !isLost {
		i.State = wasabistand.Ready
		if s.IsCold(now) {
			i.State = wasabistand.Cold
		}
	}
	i.Slots, i.Connections = max(s.Slots, 1), max(o.maxConns, 1)
	if i == o.lastAnnounced {
		return
	}
	isNew := s.Lifetime > 1 && i.Slots != o.lastAnnounced.Slots
	o.lastAnnounced = i
	o.log.Info().Str("State", i.State.String()).Int("Slots", i.Slots).Bool("New", isNew).Msg("announced")
	o.gateway.parts.Announce(i, isNew)
}
