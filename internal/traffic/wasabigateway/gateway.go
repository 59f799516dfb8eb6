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

// Parts are what a gateway is built from.
type Parts struct {
	Directory wasabistand.Directory
	// Announce tells control what the node says of its instance.
	Announce func(wasabistand.Instance)
	// Link are the options of the links to other nodes.
	Link wasabilink.Options
	// Listener takes links of other nodes.
	Listener net.Listener
	// Callers takes connections of callers and of the own instance.
	Callers net.Listener
	Log     zerolog.Logger
	// Random is used under the gateway's lock only.
	Random *rand.Rand
	// Place are the settings of the placement.
	Place wasabiplace.Options
	// Admission makes the queue in front of an instance with the given slots.
	Admission func(slots, queue int) wasabistand.Admission
	// Registerer takes the metrics, nil for none.
	Registerer prometheus.Registerer
	// Incarnation is that of the first announcement.
	Incarnation uint64
	// Now replaces the clock in tests.
	Now func() time.Time
}

// inForce is one configuration, ready for use.
type inForce struct {
	revision  uint64
	contracts *wasabistand.Configuration
	table     *wasabimatch.Table
}

// Gateway is a node's part in routed requests. It is safe for concurrent use.
type Gateway struct {
	settings Settings
	parts    Parts
	log      zerolog.Logger
	journal  *journal
	metrics  *metrics

	config atomic.Pointer[inForce]
	local  *local
	gate   *gate
	server *wasabihttp.Server
	links  *wasabilink.Listener
	pool   *wasabilink.Pool

	updating sync.Mutex
	// The decisions on placing and repeating, each call short.
	mu     sync.Mutex
	placer *wasabiplace.Placer
	budget *wasabibudget.Budget
	spread map[string]*wasabimatch.QuasiRandom
	listed map[string][]wasabistand.Instance

	held     atomic.Int64 // bytes of bodies
	running  atomic.Int64 // attempts of other nodes
	entering atomic.Int64 // requests of callers
	stopping atomic.Int64 // since when, in Unix nanoseconds, 0 for not

	started time.Time
	life    context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// New checks the settings and returns a gateway that has not started.
func New(s Settings, p Parts) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if p.Now == nil {
		p.Now = time.Now
	}
	g := &Gateway{settings: s, parts: p, log: p.Log, spread: map[string]*wasabimatch.QuasiRandom{}, listed: map[string][]wasabistand.Instance{}, started: p.Now()}
	g.life, g.cancel = context.WithCancel(context.Background())
	g.journal = newJournal(p.Log, p.Now)
	g.placer = wasabiplace.New(p.Place, s.location, p.Random)
	g.budget = wasabibudget.New(wasabibudget.NewOptions(s.budgetWindow, s.budgetRatio))
	g.gate = newGate(p.Now, p.Admission(1, s.queueLimit))
	g.local = newLocal(g, p.Log)
	g.local.incarnation = p.Incarnation
	g.local.announced = g.Self()
	g.server = wasabihttp.NewServer(g.enter, wasabihttp.Limits{
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
	}, s.maxConns)
	g.server.SetPipelined(g.pipelined)
	g.metrics = newMetrics(g, p.Registerer)
	g.journal.leftOut = g.metrics.lines
	return g, nil
}

// Self is what the node announces before its instance has reported.
func (g *Gateway) Self() wasabistand.Instance {
	return wasabistand.Instance{
		ID: g.settings.instance, Incarnation: g.parts.Incarnation, Service: g.settings.service,
		LinkAddress: g.settings.linkAddress, Location: g.settings.location,
		Slots: 1, Connections: 1, State: wasabistand.Leaving,
	}
}

// refreshEvery is how often the node looks for changes by the passing of time.
const refreshEvery = 500 * time.Millisecond

// Start begins to serve.
func (g *Gateway) Start() {
	g.pool = wasabilink.NewPool(g.parts.Link, g.serveStream)
	g.links = wasabilink.Serve(g.parts.Listener, g.parts.Link, g.serveStream)
	g.background(g.follow)
	g.background(func() {
		if err := g.server.Serve(g.parts.Callers); err != nil {
			g.log.Error().Err(err).Msg("no more callers are accepted")
		}
	})
}

// background runs f until the gateway closes.
func (g *Gateway) background(f func()) { g.wait.Go(f) }

func (g *Gateway) now() time.Time { return g.parts.Now() }

// follow takes over what control tells.
func (g *Gateway) follow() {
	t := time.NewTicker(refreshEvery)
	defer t.Stop()
	for {
		changed := g.parts.Directory.Changed()
		g.update()
		select {
		case <-g.life.Done():
			return
		case <-changed:
		case <-t.C:
			g.local.refresh()
			g.journal.flush()
		}
	}
}

// update takes over what control tells now.
func (g *Gateway) update() {
	// The view is read under the lock, so that an older one never follows.
	g.updating.Lock()
	defer g.updating.Unlock()
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
		if u, ok := c.Upstreams[g.settings.service]; ok {
			g.local.configure(u)
		}
		g.config.Store(&inForce{revision: v.Revision, contracts: c, table: table})
		g.log.Info().Uint64("Revision", v.Revision).Int("Routes", table.Routes()).Msg("configuration in force")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, list := range v.Instances {
		if !same(g.listed[service], list) {
			g.listed[service] = list
			g.placer.SetInstances(service, list)
		}
	}
}

// same reports whether two lists are the same snapshot.
func same(a, b []wasabistand.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Ready reports whether callers should come here.
func (g *Gateway) Ready() bool { return g.config.Load() != nil && g.stopping.Load() == 0 }

// Heartbeat takes what the instance says of itself. The error is of class
// wasabistand.ErrInvalid for a report that names no instance of this node, and
// of wasabiinstance.ErrStale for one that was overtaken.
func (g *Gateway) Heartbeat(r wasabiinstance.Report) error { return g.local.heartbeat(r) }

// Load returns the occupancy of the own instance.
func (g *Gateway) Load() wasabistand.Load { return g.gate.load() }

// Leave takes the instance's word that it leaves for good. born is 0 when it
// is not said.
func (g *Gateway) Leave(id string, born uint64) { g.local.leave(id, born) }

// idlePoll is how often a stopping gateway looks whether its work is done.
const idlePoll = 50 * time.Millisecond

// Shutdown tells callers and nodes to go elsewhere, serves what they still
// send, and returns once all of it is answered or the time has run out.
func (g *Gateway) Shutdown(ctx context.Context) {
	started := g.now()
	g.stopping.Store(started.UnixNano())
	g.local.stop()
	g.server.Drain()
	t := time.NewTicker(idlePoll)
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
		if g.running.Load() == 0 && g.entering.Load() == 0 || since >= g.settings.stopAfter {
			g.log.Info().Int64("Running", g.running.Load()).Int64("Entering", g.entering.Load()).Msg("gateway stops")
			return
		}
	}
}

// Close ends everything at once and waits.
func (g *Gateway) Close() error {
	g.cancel()
	err := g.parts.Callers.Close()
	err = errors.Join(err, g.server.Close())
	if g.links != nil {
		err = errors.Join(err, g.links.Close(), g.pool.Close())
	}
	g.wait.Wait()
	g.gate.close()
	g.journal.flush()
	return err
}

// String names the gateway.
func (g *Gateway) String() string { return "gateway(" + g.settings.instance + ")" }

// refusalHeader is the header of an answer of the node's own.
func (g *Gateway) refusalHeader(requestID string) http.Header {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if requestID != "" {
		h[http.CanonicalHeaderKey(g.settings.headers.RequestID)] = []string{requestID}
	}
	return h
}
