// Package wasabimesh assembles the processes of a deployment that routes by
// host and path: the node next to an upstream instance, and the control
// instance of a group that forms automatically. It makes no decisions of its
// own.
package wasabimesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
	"github.com/wasabistand/wasabistand/wasabiadmission"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiprocess"
	"github.com/wasabistand/wasabistand/wasabisession"
)

// Timeouts of links. A silent peer is abandoned before the usual timeout of a
// caller expires, and pings stay rare compared with calls.
const (
	linkPingInterval     = 250 * time.Millisecond
	linkSuspectAfter     = time.Second
	linkSilentAfter      = 1500 * time.Millisecond
	linkIdlePingInterval = 10 * time.Second
	linkIdleTimeout      = time.Minute
)

// serverTimeout bounds the reading of a request and the writing of its response
// on the HTTP servers for requests other than traffic.
const serverTimeout = 10 * time.Second

// NodeSettings holds the settings of a node. It is immutable.
type NodeSettings struct {
	Cluster  string
	Gateway  wasabigateway.Settings
	Instance string
	// Callers, Link, Ready, Reports and Metrics are the addresses on which the
	// node listens.
	Callers, Link, Ready, Reports, Metrics string
	// ControlAddresses are the link addresses of some control instances.
	ControlAddresses []string
	Location         wasabistand.Location
}

// Handlers are the HTTP handlers of a node for readiness checks and for reports
// of its instance.
type Handlers struct {
	Ready   http.Handler
	Reports http.Handler
}

// NodeDaemon runs a node as a daemon.
type NodeDaemon struct {
	settings NodeSettings
	log      zerolog.Logger
	handlers func(*wasabigateway.Gateway) Handlers

	pool    *wasabilink.Pool
	session *wasabisession.Session
	gateway *wasabigateway.Gateway
	servers []*http.Server
}

var _ wasabiprocess.Daemon = (*NodeDaemon)(nil)

// NewNode returns a node that has not started. handlers returns the HTTP
// handlers other than those of traffic and metrics.
func NewNode(s NodeSettings, log zerolog.Logger, handlers func(*wasabigateway.Gateway) Handlers) *NodeDaemon {
	return &NodeDaemon{settings: s, log: log, handlers: handlers}
}

// Start implements wasabiprocess.Daemon.
func (n *NodeDaemon) Start(context.Context) error {
	s := n.settings
	// The wall clock yields an incarnation that mostly increases with each start and
	// needs no disk. After a step of the clock, the session raises it.
	incarnation := uint64(time.Now().UnixNano())
	links := linkOptions(s.Cluster, s.Instance, incarnation, n.log)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	link, err := net.Listen("tcp", s.Link)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return errors.Join(err, link.Close())
	}
	n.gateway, err = wasabigateway.New(s.Gateway, wasabigateway.Parts{
		Directory: directory{n}, Announce: func(i wasabistand.Instance, isNew bool) { n.session.Announce(i, isNew) },
		Unconfirmed: func() time.Duration { return n.session.Unconfirmed() },
		Link:        links, Listener: link, Callers: callers, Log: n.log,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Place: wasabiplace.NewOptions(),
		Admission: func(slots, queue int) wasabistand.Admission {
			return wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(slots).WithQueueLimit(queue))
		},
		Registerer: registry,
	})
	if err != nil {
		return errors.Join(err, link.Close(), callers.Close())
	}
	n.pool = wasabilink.NewPool(links, nil)
	n.session = wasabisession.New(sessionOptions(s.ControlAddresses), n.pool, n.gateway.InitialInstance().WithIncarnation(incarnation), recorder{n.log})
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wasabi_session_unconfirmed_seconds", Help: "Time since the configuration was known to be the latest committed one.",
	}, func() float64 { return n.session.Unconfirmed().Seconds() }))
	n.gateway.Start()
	h := n.handlers(n.gateway)
	for address, handler := range map[string]http.Handler{
		s.Ready: h.Ready, s.Reports: h.Reports, s.Metrics: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	} {
		server, err := serve(address, handler, n.log)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, server)
	}
	return nil
}

func sessionOptions(controls []string) wasabisession.Options {
	return wasabisession.NewOptions(controls...).
		WithRenewal(time.Second, 2500*time.Millisecond).
		WithBackoff(100*time.Millisecond, 200*time.Millisecond, 500*time.Millisecond).
		WithResponseTimeout(1500 * time.Millisecond)
}

func linkOptions(cluster, instance string, incarnation uint64, log zerolog.Logger) wasabilink.Options {
	return wasabilink.NewOptions(cluster, instance, incarnation).
		WithHeartbeat(linkPingInterval, linkSuspectAfter, linkSilentAfter).WithIdle(linkIdlePingInterval, linkIdleTimeout).
		WithOnSilent(func(address string) { log.Warn().Str("Address", address).Msg("link silent") })
}

// serve starts an HTTP server for requests other than traffic.
func serve(address string, h http.Handler, log zerolog.Logger) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadTimeout: serverTimeout, WriteTimeout: serverTimeout, IdleTimeout: time.Minute}
	go func() {
		if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error().Str("Address", address).Err(err).Msg("HTTP server failed")
		}
	}()
	return server, nil
}

// directory delegates to the session, which is created after the gateway.
type directory struct{ n *NodeDaemon }

// View implements wasabistand.Directory.
func (d directory) View() *wasabistand.View { return d.n.session.View() }

// Subscribe implements wasabistand.Directory.
func (d directory) Subscribe(service string) { d.n.session.Subscribe(service) }

// Changed implements wasabistand.Directory.
func (d directory) Changed() <-chan struct{} { return d.n.session.Changed() }

// String names the implementation.
func (d directory) String() string { return "session" }

// SetControlAddresses replaces the addresses at which the session looks for control
// instances.
func (n *NodeDaemon) SetControlAddresses(list ...string) { n.session.SetControlAddresses(list...) }

// Shutdown implements wasabiprocess.Daemon.
func (n *NodeDaemon) Shutdown(ctx context.Context) error {
	n.gateway.Shutdown(ctx)
	return nil
}

// Close implements wasabiprocess.Daemon.
func (n *NodeDaemon) Close() error {
	var list []error
	if n.gateway != nil {
		list = append(list, n.gateway.Close())
	}
	for _, s := range n.servers {
		list = append(list, s.Close())
	}
	if n.session != nil {
		list = append(list, n.session.Close(), n.pool.Close())
	}
	return errors.Join(list...)
}

// String returns the role and the instance.
func (n *NodeDaemon) String() string { return "node " + n.settings.Instance }

// recorder writes events to the log.
type recorder struct{ log zerolog.Logger }

// Record implements wasabistand.Recorder.
func (r recorder) Record(e wasabistand.Event) {
	l := r.log.Info().Str("Reason", string(e.Reason))
	for _, f := range e.Fields {
		l = l.Str(f.Name, f.Value)
	}
	l.Msg(string(e.Kind))
}

// String names the implementation.
func (r recorder) String() string { return "log" }
