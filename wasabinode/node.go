// Package wasabinode implements the node (sidecar) of one upstream. The node
// accepts calls from callers, forwards each over a link to an instance, and
// serves the calls that other nodes send for its own upstream. It owns the
// sockets, clocks and goroutines; admission, retry and routing decisions are
// made by the components in Parts.
package wasabinode

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabicall"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Error is the class of this package's errors.
var Error = errs.Class("node")

// Node is the sidecar of one upstream instance. It is safe for concurrent use.
type Node struct {
	settings  Settings
	parts     Parts
	directory wasabistand.Directory
	now       func() time.Time
	random    func() float64

	calls              *wasabicall.Registry
	dependencies       *wasabicall.Dependencies
	levels             *levels
	router             *router
	callerLimits       *callerLimits
	admitter           *admitter
	upstream           *upstream
	monitor            *upstreamMonitor
	metrics            *metrics
	active             atomic.Pointer[activeConfig]
	claimSequence      atomic.Uint64
	pendingSettlements atomic.Int64
	openStreams        atomic.Int64
	budget             *budget

	ingressCalls  openCalls
	upstreamCalls openCalls

	announced announcement

	traffic, admin *http.Server
	trafficAddress net.Addr
	adminAddress   net.Addr
	links          *wasabilink.Listener
	pool           *wasabilink.Pool

	// callsCtx is cancelled when the calls in flight are aborted.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
	background  sync.WaitGroup
	watching    sync.WaitGroup
	stop        context.CancelFunc
	closing     sync.Once
}

// New returns a node. It opens no listener before Start.
func New(s Settings, p Parts) (*Node, error) {
	base, err := s.check()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := p.check(); err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{settings: s, parts: p, directory: p.Directory, now: p.Now, random: p.Random}
	if n.now == nil {
		n.now = time.Now
	}
	if n.random == nil {
		n.random = rand.Float64
	}
	n.calls, n.dependencies = wasabicall.New(), wasabicall.NewDependencies()
	n.levels, n.router, n.callerLimits = &levels{inner: p.Levels}, newRouter(p.Router), newCallerLimits(s.maxCallers)
	n.budget = &budget{make: p.Budget}
	n.ingressCalls.max, n.upstreamCalls.max = s.maxOpenCalls, s.maxOpenCalls
	n.upstream = newUpstream(base, s.connections, n.now)
	n.admitter = newAdmitter(n.now, s.slots, p.Limiter, func(limit int) wasabistand.Admission {
		return p.Admission(limit, wasabistand.Service{Name: s.service})
	})
	n.admitter.onLimitChange, n.admitter.onLevelChange = n.limitChanged, n.levelChanged
	n.monitor = newUpstreamMonitor(n, base.Host)
	if n.metrics, err = newMetrics(n, p.Registerer); err != nil {
		return nil, Error.Wrap(err)
	}
	n.announced.instance = s.Instance(s.linkAddress, s.adminAddress)
	n.callsCtx, n.cancelCalls = context.WithCancel(context.Background())
	return n, nil
}

// Start opens the listeners and serves them in the background.
func (n *Node) Start() error {
	traffic, err := listen(n.parts.TrafficListener, n.settings.trafficAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	link, err := listen(n.parts.LinkListener, n.settings.linkAddress)
	if err != nil {
		return Error.Wrap(errs.Combine(err, traffic.Close()))
	}
	admin := n.parts.AdminListener
	if admin != nil || n.settings.adminAddress != "" {
		if admin, err = listen(admin, n.settings.adminAddress); err != nil {
			return Error.Wrap(errs.Combine(err, traffic.Close(), link.Close()))
		}
		n.adminAddress = admin.Addr()
	}
	n.trafficAddress = traffic.Addr()
	n.pool = wasabilink.NewPool(n.parts.Link, nil)
	n.announced.mu.Lock()
	n.announced.instance = n.settings.Instance(link.Addr().String(), n.AdminAddress())
	n.announced.mu.Unlock()
	n.links = wasabilink.Serve(link, n.parts.Link, n.serveStream)
	if n.parts.AnnouncementChanged != nil {
		n.parts.AnnouncementChanged(n.Announcement())
	}
	n.traffic = n.server(n)
	n.background.Go(func() { _ = n.traffic.Serve(traffic) })
	if admin != nil {
		n.admin = n.server(n.adminRoutes())
		n.background.Go(func() { _ = n.admin.Serve(admin) })
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.watching.Go(func() { n.followConfiguration(ctx) })
	n.watching.Go(func() { n.monitor.run(ctx) })
	return nil
}

func listen(ln net.Listener, address string) (net.Listener, error) {
	if ln != nil {
		return ln, nil
	}
	return net.Listen("tcp", address)
}

type connKey struct{}

func (n *Node) server(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		ReadHeaderTimeout: n.settings.headerTimeout,
		IdleTimeout:       n.settings.idleTimeout,
		MaxHeaderBytes:    n.settings.maxHeaderBytes,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          discardLog,
	}
}

// TrafficAddress returns the bound address for callers. It may be called only
// after Start.
func (n *Node) TrafficAddress() string { return n.trafficAddress.String() }

// LinkAddress returns the bound address for links from other nodes. It may be
// called only after Start.
func (n *Node) LinkAddress() string { return n.links.Addr().String() }

// AdminAddress returns the bound address of the admin endpoint, empty for none.
func (n *Node) AdminAddress() string {
	if n.adminAddress == nil {
		return ""
	}
	return n.adminAddress.String()
}

// String returns the instance ID.
func (n *Node) String() string { return n.settings.instance }

// Shutdown stops the node gracefully: no call in flight is interrupted before
// the drain time has passed. It returns the context's error when calls were
// still open. The caller of Shutdown closes the node's session with the control
// instances afterwards.
func (n *Node) Shutdown(ctx context.Context) error {
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventShutdown})
	n.announceLeaving()
	drainCtx, cancel := context.WithTimeout(ctx, n.settings.drainTime)
	defer cancel()
	select {
	case <-time.After(n.settings.leaveTime):
	case <-ctx.Done():
	}
	n.ingressCalls.close()
	n.upstreamCalls.close()
	// The upstream makes outgoing calls only while it serves a call, so none
	// can be added once the served calls have ended.
	err := errors.Join(n.upstreamCalls.wait(drainCtx), n.ingressCalls.wait(drainCtx))
	if err == nil {
		// A response may still be buffered after its handler has returned.
		err = errors.Join(n.traffic.Shutdown(drainCtx), n.awaitStreams(drainCtx))
	}
	return errors.Join(err, n.Close())
}

// streamPollInterval is how often a node that is shutting down checks whether
// all streams have ended.
const streamPollInterval = 5 * time.Millisecond

// awaitStreams waits until other nodes have no open streams to this node and no
// claim settlement is pending. Otherwise a call that is sent on a closing link
// would be reported as unknown although it was certainly not run.
func (n *Node) awaitStreams(ctx context.Context) error {
	n.links.GoAway("leaving")
	goAwayEnd := time.Now().Add(n.settings.goAwayTime)
	for time.Now().Before(goAwayEnd) || n.openStreams.Load() > 0 || n.pendingSettlements.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(streamPollInterval):
		}
	}
	return nil
}

// Close stops the node immediately, aborts open calls, and waits for the node's
// goroutines.
func (n *Node) Close() error {
	n.closing.Do(func() {
		n.ingressCalls.close()
		n.upstreamCalls.close()
		if n.stop == nil {
			n.cancelCalls()
			return
		}
		n.stop()
		n.watching.Wait()
		n.cancelCalls()
		_ = n.traffic.Close()
		if n.admin != nil {
			_ = n.admin.Close()
		}
		_ = n.links.Close()
		_ = n.pool.Close()
		// Both counts fall to 0 since callsCtx is cancelled.
		_ = n.upstreamCalls.wait(context.Background())
		_ = n.ingressCalls.wait(context.Background())
		n.background.Wait()
		n.upstream.close()
	})
	n.admitter.close()
	return nil
}

func (n *Node) timestamp() *wasabistandv1.HybridTime {
	if n.parts.Clock == nil {
		return nil
	}
	return wasabiwire.FromHybridTime(n.parts.Clock.Now())
}

func (n *Node) observeTime(t *wasabistandv1.HybridTime) {
	if n.parts.Clock != nil && t != nil {
		n.parts.Clock.Observe(wasabiwire.ToHybridTime(t))
	}
}
