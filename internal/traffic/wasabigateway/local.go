package wasabigateway

import (
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
	// probeTimeout bounds one health check, probeRetry is the pause after one
	// that said nothing.
	probeTimeout = 500 * time.Millisecond
	probeRetry   = 300 * time.Millisecond
	// upstreamIdle is used where the upstream names no time of its own.
	upstreamIdle = 5 * time.Second
	// upstreamDial bounds the opening of a connection on the same machine.
	upstreamDial = 500 * time.Millisecond
	// defaultConnections stands for an upstream whose bound is not declared.
	defaultConnections = 256
	// silentAfter is for how long an instance may be unreachable without a
	// heartbeat, of which one comes each 1.5 s, before it is announced as
	// leaving.
	silentAfter = 5 * time.Second
)

// lease is the right to use one incarnation of the own instance.
type lease struct {
	id       string
	lifetime int
	slots    int
	upstream *wasabihttp.Upstream
	// cut is closed once no further call may be passed on.
	cut chan struct{}
}

func (l *lease) cutNow() bool {
	select {
	case <-l.cut:
		return true
	default:
		return false
	}
}

// local is the instance beside this node.
type local struct {
	gateway *Gateway
	log     zerolog.Logger

	mu          sync.Mutex
	tracker     *wasabiinstance.Tracker
	lease       *lease
	probing     int // the lifetime that is asked, 0 for none
	cutTimer    *time.Timer
	stopping    bool
	lostAt      time.Time // since when the instance can't be reached
	announced   wasabistand.Instance
	incarnation uint64
	maxConns    int
	healthPath  string
}

func newLocal(g *Gateway, log zerolog.Logger) *local {
	return &local{gateway: g, log: log, tracker: wasabiinstance.New(g.settings.service), maxConns: defaultConnections, healthPath: "/health"}
}

// serving returns the lease under which a call may be passed on.
func (o *local) serving(service string) (*lease, *wasabistand.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case service != o.gateway.settings.service:
		return nil, wasabistand.NewRefusal(wasabistand.ReasonNotReady, "this node serves another service")
	case o.lease == nil || !o.tracker.State().Confirmed:
		return nil, wasabistand.NewRefusal(wasabistand.ReasonNotReady, "the instance has not reported yet")
	case o.lease.cutNow():
		return nil, wasabistand.NewRefusal(wasabistand.ReasonLeaving, "the instance leaves")
	}
	return o.lease, nil
}

// leaving reports whether others should send nothing more.
func (o *local) leaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopping || !o.tracker.State().AcceptsCalls()
}

// heartbeat takes what the instance says of itself.
func (o *local) heartbeat(r wasabiinstance.Report) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.gateway.now()
	before := o.tracker.State()
	err := o.tracker.Heartbeat(now, r)
	after := o.tracker.State()
	if err == nil {
		o.lostAt = time.Time{}
	}
	if err != nil || after.Lifetime != before.Lifetime || after.Leaving != before.Leaving {
		o.log.Info().Str("Instance", r.ID).Uint64("Born", r.Born).Uint64("Sequence", r.Sequence).
			Bool("Leaving", r.Leaving).Int("Slots", r.Slots).Int("Lifetime", after.Lifetime).AnErr("Error", err).Msg("heartbeat")
	}
	if err == nil {
		o.follow(now, before)
	}
	return err
}

// leave takes the instance's word that it leaves for good.
func (o *local) leave(id string, born uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.gateway.now()
	before := o.tracker.State()
	known := o.tracker.Deregister(now, id, born)
	o.log.Info().Str("Instance", id).Uint64("Born", born).Bool("Known", known).Msg("instance deregisters")
	o.follow(now, before)
}

// follow acts on a change of what is known. The mutex is held.
func (o *local) follow(now time.Time, before wasabiinstance.State) {
	s := o.tracker.State()
	if s.Lifetime != before.Lifetime {
		o.begin(s)
	}
	if s.Leaving && !before.Leaving || s.Leaving && s.Lifetime != before.Lifetime {
		o.cutSoon(s)
	}
	if s.Known && !s.Confirmed && !s.Leaving && o.probing != s.Lifetime {
		o.probing = s.Lifetime
		l, path := o.lease, o.healthPath
		o.gateway.background(func() { o.probe(l, path) })
	}
	o.announce(now)
}

// begin replaces the lease for a new incarnation. The mutex is held.
func (o *local) begin(s wasabiinstance.State) {
	if old := o.lease; old != nil {
		if !old.cutNow() {
			close(old.cut)
		}
		_ = old.upstream.Close()
	}
	if o.cutTimer != nil {
		o.cutTimer.Stop()
	}
	g := o.gateway
	o.lease = &lease{
		id: s.ID, lifetime: s.Lifetime, slots: s.Slots, cut: make(chan struct{}),
		upstream: wasabihttp.NewUpstream(wasabihttp.UpstreamOptions{
			Address: g.settings.upstream, MaxConnections: o.maxConns, IdleTimeout: upstreamIdle,
			DialTimeout: upstreamDial, EchoHeader: g.settings.headers.RequestID, MaxHeaderBytes: maxAnswerHeader,
		}),
	}
	g.gate.reset(g.parts.Admission(max(s.Slots, 1), g.settings.queueLimit))
}

// maxAnswerHeader bounds the head of an upstream's answer.
const maxAnswerHeader = 64 << 10

// cutSoon ends the lease once other nodes have heard of the drain. The mutex
// is held.
func (o *local) cutSoon(s wasabiinstance.State) {
	l := o.lease
	if l == nil {
		return
	}
	lifetime := s.Lifetime
	o.cutTimer = time.AfterFunc(o.gateway.settings.drainGrace, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.lease == l && l.lifetime == lifetime && !l.cutNow() {
			close(l.cut)
			o.log.Info().Str("Instance", l.id).Msg("instance gets no further calls")
		}
	})
}

// probe asks a new incarnation whether it takes work, until it says so.
func (o *local) probe(l *lease, path string) {
	for o.gateway.life.Err() == nil && !l.cutNow() {
		takes, err := o.ask(l, path)
		if err == nil {
			o.mu.Lock()
			now := o.gateway.now()
			before := o.tracker.State()
			o.tracker.Confirm(now, l.lifetime, takes)
			o.log.Info().Str("Instance", l.id).Bool("TakesWork", takes).Msg("instance asked")
			o.follow(now, before)
			o.mu.Unlock()
			return
		}
		o.log.Info().Str("Instance", l.id).Err(err).Msg("instance not asked yet")
		t := time.NewTimer(probeRetry)
		select {
		case <-t.C:
		case <-o.gateway.life.Done():
			t.Stop()
		}
	}
}

// ask makes one health check. An error means that it says nothing.
func (o *local) ask(l *lease, path string) (takesWork bool, err error) {
	ctx, cancel := context.WithTimeout(o.gateway.life, probeTimeout)
	defer cancel()
	names := o.gateway.settings.headers
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: o.gateway.settings.upstream, Header: http.Header{"User-Agent": {""}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	call, err := l.upstream.Do(ctx, r.WithContext(ctx))
	if err != nil {
		return false, err
	}
	defer call.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(call, maxAnswerHeader))
	h := call.Answer.Header
	if id := h.Get(names.Instance); id != "" && id != l.id {
		return false, Error.New("the instance at the address is %q", id)
	}
	switch {
	case call.Answer.StatusCode == http.StatusOK:
		return true, nil
	case call.Answer.StatusCode == http.StatusServiceUnavailable && h.Get(names.NotRun) == "":
		return false, nil
	}
	return false, Error.New("health check answered with %d", call.Answer.StatusCode)
}

// unreachable notes that no connection could be opened.
func (o *local) unreachable() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lostAt.IsZero() {
		o.lostAt = o.gateway.now()
		o.log.Warn().Str("Instance", o.tracker.State().ID).Msg("instance can't be reached")
	}
}

// configure takes what operators declare of the service's upstreams.
func (o *local) configure(c wasabistand.UpstreamPolicy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.HealthPath != "" {
		o.healthPath = c.HealthPath
	}
	if c.MaxConnections > 0 {
		o.maxConns = c.MaxConnections
		if o.lease != nil {
			o.lease.upstream.SetMaxConnections(c.MaxConnections)
		}
	}
}

// stop announces that the node leaves.
func (o *local) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	o.announce(o.gateway.now())
}

// refresh announces what changes by the passing of time.
func (o *local) refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.gateway.now()
	o.announce(now)
	if o.lease != nil {
		o.lease.upstream.Prune(now)
	}
}

// announce tells control when the instance's state has changed. The mutex is
// held.
func (o *local) announce(now time.Time) {
	s := o.tracker.State()
	i := o.announced
	i.State = wasabistand.Leaving
	lost := !o.lostAt.IsZero() && now.Sub(o.lostAt) > silentAfter && now.Sub(s.ReportedAt) > silentAfter
	if s.AcceptsCalls() && !o.stopping && !lost {
		i.State = wasabistand.Ready
		if s.IsCold(now) {
			i.State = wasabistand.Cold
		}
	}
	i.Slots, i.Connections = max(s.Slots, 1), max(o.maxConns, 1)
	if i == o.announced {
		return
	}
	if o.announced.State == wasabistand.Leaving && i.State != wasabistand.Leaving || s.Lifetime > 1 && i.Slots != o.announced.Slots {
		o.incarnation++
		i.Incarnation = o.incarnation
	}
	o.announced = i
	o.log.Info().Str("State", i.State.String()).Int("Slots", i.Slots).Uint64("Incarnation", i.Incarnation).Msg("announced")
	o.gateway.parts.Announce(i)
}
