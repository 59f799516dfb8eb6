package wasabigateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
	"github.com/wasabistand/wasabistand/internal/policy/wasabibudget"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
	"github.com/wasabistand/wasabistand/internal/policy/wasabimatch"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// Parts are the dependencies of a gateway.
type Parts struct {
	Directory wasabistand.Directory
	// Announce reports the state of the node's instance to control. It sets the
	// identity of the announcement. isNew is set if another upstream has taken the
	// place of the one that was announced before.
	Announce func(i wasabistand.Instance, isNew bool)
	// Unconfirmed returns how long ago control last confirmed the view; nil if that is
	// unknown.
	Unconfirmed func() time.Duration
	// Link are the options of the links to other nodes.
	Link wasabilink.Options
	// Listener accepts links from other nodes.
	Listener net.Listener
	// Callers accepts connections from callers and from the local instance.
	Callers net.Listener
	Log     zerolog.Logger
	// Random is used only while the gateway's mutex is held.
	Random *rand.Rand
	// Place are the options of the placement.
	Place wasabiplace.Options
	// Admission returns the admission for an instance with the given slots and queue
	// limit.
	Admission func(slots, queue int) wasabistand.Admission
	// Registerer registers the metrics; with nil they are not exported.
	Registerer prometheus.Registerer
	// Now replaces the clock in tests.
	Now func() time.Time
}

// appliedConfig is an applied configuration with its routing table.
type appliedConfig struct {
	revision      uint64
	configuration *wasabistand.Configuration
	table         *wasabimatch.Table
}

// Gateway routes the requests of callers and serves attempts from other nodes at
// the local instance. It is safe for concurrent use.
type Gateway struct {
	settings   Settings
	parts      Parts
	log        zerolog.Logger
	requestLog *requestLog
	metrics    *metrics

	config atomic.Pointer[appliedConfig]
	local  *localInstance
	queue  *admissionQueue
	server *wasabihttp.Server
	links  *wasabilink.Listener
	pool   *wasabilink.Pool

	// updateMu serializes applyView.
	updateMu sync.Mutex
	// mu guards the four fields below and parts.Random. It is held only for short
	// times.
	mu             sync.Mutex
	placer         *wasabiplace.Placer
	budget         *wasabibudget.Budget
	splitSequences map[string]*wasabimatch.QuasiRandom
	instances      map[string][]wasabistand.Instance

	heldBodyBytes   atomic.Int64 // bytes of buffered request bodies
	remoteAttempts  atomic.Int64 // open attempts from other nodes
	ingressRequests atomic.Int64 // open requests from callers
	stoppingSince   atomic.Int64 // start of the shutdown in Unix nanoseconds, 0 before it

	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	// waitCtx ends when a stopping gateway refuses the requests that wait.
	waitCtx  context.Context
	endWaits context.CancelFunc
	wait     sync.WaitGroup
}

// New checks the settings and returns a gateway that has not started.
func New(s Settings, p Parts) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if p.Now == nil {
		p.Now = time.Now
	}
	g := &Gateway{settings: s, parts: p, log: p.Log, splitSequences: map[string]*wasabimatch.QuasiRandom{}, instances: map[string][]wasabistand.Instance{}, started: p.Now()}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.waitCtx, g.endWaits = context.WithCancel(g.ctx)
	g.requestLog = newRequestLog(p.Log, p.Now)
	g.placer = wasabiplace.New(p.Place, s.location, p.Random)
	g.budget = wasabibudget.New(wasabibudget.NewOptions(s.budgetWindow, s.budgetRatio))
	g.queue = newAdmissionQueue(p.Now, p.Admission(1, s.queueLimit))
	g.local = newLocalInstance(g, p.Log)
	g.local.lastAnnounced = g.InitialInstance()
	g.server = wasabihttp.NewServer(g.handleRequest, wasabihttp.Limits{
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
	}, s.maxConns)
	g.server.SetPipelined(g.isPipelinable)
	g.metrics = newMetrics(g, p.Registerer)
	g.requestLog.omitted = g.metrics.omittedLines
	return g, nil
}

// InitialInstance returns the instance that the node announces before the first
// heartbeat of its instance. It has no incarnation.
func (g *Gateway) InitialInstance() wasabistand.Instance {
	return wasabistand.Instance{
		ID: g.settings.instance, Service: g.settings.service,
		LinkAddress: g.settings.linkAddress, Location: g.settings.location,
		Slots: 1, Connections: 1, State: wasabistand.Leaving,
	}
}

// refreshInterval is the interval of checks for state that changes with time.
const refreshInterval = 500 * time.Millisecond

// Start starts serving callers and other nodes.
func (g *Gateway) Start() {
	g.pool = wasabilink.NewPool(g.parts.Link, g.serveStream)
	g.links = wasabilink.Serve(g.parts.Listener, g.parts.Link, g.serveStream)
	g.background(g.watchDirectory)
	g.background(func() {
		if err := g.server.Serve(g.parts.Callers); err != nil {
			g.log.Error().Err(err).Msg("accepting caller connections failed")
		}
	})
}

// background runs f in a goroutine that Close waits for.
func (g *Gateway) background(f func()) { g.wait.Go(f) }

func (g *Gateway) now() time.Time { return g.parts.Now() }

// watchDirectory applies the updates from control until the gateway closes.
func (g *Gateway) watchDirectory() {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		changed := g.parts.Directory.Changed()
		g.applyView()
		select {
		case <-g.ctx.Done():
			return
		case <-changed:
		case <-t.C:
			g.local.refresh()
			g.requestLog.Flush()
		}
	}
}

// applyView applies the current view from control.
func (g *Gateway) applyView() {
	// The view is read with the mutex held, so that an older view is never applied
	// after a newer one.
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	v := g.parts.Directory.View()
	if v == nil || v.Revision == 0 {
		return
	}
	if old := g.config.Load(); old == nil || v.Revision > old.revision {
		table := wasabimatch.New(v.Configuration.Hosts)
		c := v.Configuration
		g.server.SetLimits(wasabihttp.Limits{
			MaxHeaderBytes: c.Clients.MaxHeaderBytes, MaxBodyBytes: c.Clients.MaxBodyBytes,
			HeaderTimeout: c.Clients.HeaderTimeout, IdleTimeout: c.Clients.IdleTimeout,
		})
		g.local.configure(c.Upstreams[g.settings.service])
		g.config.Store(&appliedConfig{revision: v.Revision, configuration: c, table: table})
		g.log.Info().Uint64("Revision", v.Revision).Int("Routes", table.Routes()).Str("Source", v.Source).Msg("configuration in force")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, list := range v.Instances {
		if !isSameSnapshot(g.instances[service], list) {
			g.instances[service] = list
			g.placer.SetInstances(service, list)
		}
	}
}

// isSameSnapshot reports whether two lists are the same snapshot.
func isSameSnapshot(a, b []wasabistand.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Revision returns the revision of the applied configuration, 0 for none.
func (g *Gateway) Revision() uint64 {
	if c := g.config.Load(); c != nil {
		return c.revision
	}
	return 0
}

// Ready reports whether callers should send requests to this node.
func (g *Gateway) Ready() bool { return g.config.Load() != nil && g.stoppingSince.Load() == 0 }

// Heartbeat records a report of the instance. The error is of class
// wasabistand.ErrInvalid for a report that doesn't describe the instance, and of
// wasabiinstance.ErrStale for a superseded one, also of wasabiinstance.ErrDropped if it
// says something else than what is in force.
func (g *Gateway) Heartbeat(r wasabiinstance.Report) error { return g.local.heartbeat(r) }

// Load returns the load of the local instance.
func (g *Gateway) Load() wasabistand.Load { return g.queue.load() }

// Deregister records that the instance deregistered. born is 0 when the instance
// omitted it. The error is of class wasabiinstance.ErrDropped if the gateway tracks
// another incarnation of it.
func (g *Gateway) Deregister(id string, born uint64) error { return g.local.deregister(id, born) }

const (
	// idlePollInterval is the interval at which a stopping gateway checks whether all
	// requests have ended.
	idlePollInterval = 50 * time.Millisecond
	// lastResponsesTimeout bounds the writing of responses to the requests that a
	// stopping gateway ends.
	lastResponsesTimeout = 250 * time.Millisecond
)

// Shutdown announces that the node leaves, serves requests that still arrive for a
// limited time, refuses those that still wait after a longer time, and returns once
// none is open or the time for the shutdown has passed. Requests that run until then
// are answered with an unknown outcome.
func (g *Gateway) Shutdown(ctx context.Context) {
	started := g.now()
	g.stoppingSince.Store(started.UnixNano())
	g.local.stop()
	g.server.Drain()
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	closed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		since := g.now().Sub(started)
		if since < g.settings.acceptFor {
			continue
		}
		if !closed {
			closed = true
			g.links.GoAway("stopping")
			g.server.CloseIdle()
		}
		if since >= g.settings.withdrawAfter {
			g.endWaits()
		}
		if g.isIdle() || since >= g.settings.stopAfter {
			g.log.Info().Int64("Running", g.remoteAttempts.Load()).Int64("Entering", g.ingressRequests.Load()).Msg("gateway stops")
			g.cancel()
			g.server.Cancel()
			g.awaitLastResponses(ctx, t.C)
			return
		}
	}
}

// awaitLastResponses waits a short time until the requests that were ended have their
// responses. ticks are the times at which it checks.
func (g *Gateway) awaitLastResponses(ctx context.Context, ticks <-chan time.Time) {
	ctx, cancel := context.WithTimeout(ctx, lastResponsesTimeout)
	defer cancel()
	for !g.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// isIdle reports whether no request is open.
func (g *Gateway) isIdle() bool { return g.remoteAttempts.Load() == 0 && g.ingressRequests.Load() == 0 }

// Close closes all connections and waits for their goroutines.
func (g *Gateway) Close() error {
	g.cancel()
	err := g.parts.Callers.Close()
	err = errors.Join(err, g.server.Close())
	if g.links != nil {
		err = errors.Join(err, g.links.Close(), g.pool.Close())
	}
	g.wait.Wait()
	g.queue.close()
	g.requestLog.Flush()
	return err
}

// String returns the name of the gateway.
func (g *Gateway) String() string { return "gateway(" + g.settings.instance + ")" }

// refusalHeader returns the header of a response that the node generates itself.
func (g *Gateway) refusalHeader(requestID string) http.Header {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if requestID != "" {
		h[http.CanonicalHeaderKey(g.settings.headers.RequestID)] = []string{requestID}
	}
	return h
}
