// Package wasabinode is the node that runs beside one upstream: it takes the
// calls of callers, brings each to an instance over a link, and serves the
// calls that other nodes send for its own upstream. It owns sockets, clocks
// and goroutines; what to admit, refuse, retry and choose is decided by the
// parts that it is given.
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

// Node runs beside one upstream. It is safe for concurrent use.
type Node struct {
	settings  Settings
	parts     Parts
	directory wasabistand.Directory
	now       func() time.Time
	random    func() float64

	calls    *wasabicall.Registry
	needs    *wasabicall.Dependencies
	levels   *levels
	router   *router
	shares   *shares
	admitter *admitter
	upstream *upstream
	watch    *watch
	metrics  *metrics
	view     atomic.Pointer[view]
	claimed  atomic.Uint64
	settling atomic.Int64
	streams  atomic.Int64
	budget   *budget

	entering inflight
	serving  inflight

	announced announcement

	traffic, admin *http.Server
	trafficAddress net.Addr
	adminAddress   net.Addr
	links          *wasabilink.Listener
	pool           *wasabilink.Pool

	// life ends when calls in flight are given up.
	life       context.Context
	giveUp     context.CancelFunc
	background sync.WaitGroup
	watching   sync.WaitGroup
	stop       context.CancelFunc
	closing    sync.Once
}

// New returns a node that does nothing until Start.
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
	n.calls, n.needs = wasabicall.New(), wasabicall.NewDependencies()
	n.levels, n.router, n.shares = &levels{inner: p.Levels}, newRouter(p.Router), newShares(s.maxCallers)
	n.budget = &budget{make: p.Budget}
	n.entering.max, n.serving.max = s.maxOpenCalls, s.maxOpenCalls
	n.upstream = newUpstream(base, s.connections, n.now)
	n.admitter = newAdmitter(n.now, s.slots, p.Limiter, func(limit int) wasabistand.Admission {
		return p.Admission(limit, wasabistand.Service{Name: s.service})
	})
	n.admitter.onLimit, n.admitter.onLevel = n.limitChanged, n.levelChanged
	n.watch = newWatch(n, base.Host)
	if n.metrics, err = newMetrics(n, p.Registerer); err != nil {
		return nil, Error.Wrap(err)
	}
	n.announced.instance = s.Instance(s.linkAddress, s.adminAddress)
	n.life, n.giveUp = context.WithCancel(context.Background())
	return n, nil
}

// Start opens the listeners and serves.
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
	if n.parts.Changed != nil {
		n.parts.Changed(n.Announcement())
	}
	n.traffic = n.server(n)
	n.background.Go(func() { _ = n.traffic.Serve(traffic) })
	if admin != nil {
		n.admin = n.server(n.adminRoutes())
		n.background.Go(func() { _ = n.admin.Serve(admin) })
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.watching.Go(func() { n.follow(ctx) })
	n.watching.Go(func() { n.watch.run(ctx) })
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

// TrafficAddress returns where callers reach the node, after Start.
func (n *Node) TrafficAddress() string { return n.trafficAddress.String() }

// LinkAddress returns where other nodes reach the node, after Start.
func (n *Node) LinkAddress() string { return n.links.Addr().String() }

// AdminAddress returns where the admin endpoint is, empty for none.
func (n *Node) AdminAddress() string {
	if n.adminAddress == nil {
		return ""
	}
	return n.adminAddress.String()
}

// String returns the instance.
func (n *Node) String() string { return n.settings.instance }

// Shutdown leaves gracefully: no call in flight is interrupted before the
// drain time. It returns the context's error when calls were still open. The
// caller ends the node's session with control afterwards.
func (n *Node) Shutdown(ctx context.Context) error {
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventShutdown})
	n.depart()
	drain, cancel := context.WithTimeout(ctx, n.settings.drainTime)
	defer cancel()
	select {
	case <-time.After(n.settings.leaveTime):
	case <-ctx.Done():
	}
	n.entering.close()
	n.serving.close()
	// Calls of the upstream are made by calls that it serves, so none can be
	// added once those have ended.
	err := errors.Join(n.serving.wait(drain), n.entering.wait(drain))
	if err == nil {
		// An answer may still be in a buffer when its handler has returned.
		err = errors.Join(n.traffic.Shutdown(drain), n.quiet(drain))
	}
	return errors.Join(err, n.Close())
}

// quietPoll is how often a leaving node looks whether all streams have ended.
const quietPoll = 5 * time.Millisecond

// quiet returns once other nodes send nothing more and no claim is being
// settled. A call that is sent on a closing link would be reported as unknown
// although it was certainly not run.
func (n *Node) quiet(ctx context.Context) error {
	n.links.GoAway("leaving")
	until := time.Now().Add(n.settings.goAwayTime)
	for time.Now().Before(until) || n.streams.Load() > 0 || n.settling.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(quietPoll):
		}
	}
	return nil
}

// Close ends the node at once and waits for all that it owns.
func (n *Node) Close() error {
	n.closing.Do(func() {
		n.entering.close()
		n.serving.close()
		if n.stop == nil {
			n.giveUp()
			return
		}
		n.stop()
		n.watching.Wait()
		n.giveUp()
		_ = n.traffic.Close()
		if n.admin != nil {
			_ = n.admin.Close()
		}
		_ = n.links.Close()
		_ = n.pool.Close()
		// Both counts fall to 0 since life has ended.
		_ = n.serving.wait(context.Background())
		_ = n.entering.wait(context.Background())
		n.background.Wait()
		n.upstream.close()
	})
	n.admitter.close()
	return nil
}

func (n *Node) stamp() *wasabistandv1.HybridTime {
	if n.parts.Clock == nil {
		return nil
	}
	return wasabiwire.FromHybridTime(n.parts.Clock.Now())
}

func (n *Node) observe(t *wasabistandv1.HybridTime) {
	if n.parts.Clock != nil && t != nil {
		n.parts.Clock.Observe(wasabiwire.ToHybridTime(t))
	}
}
