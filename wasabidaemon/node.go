package wasabidaemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabinode"
	"github.com/wasabistand/wasabistand/wasabiprocess"
	"github.com/wasabistand/wasabistand/wasabisession"
	"github.com/wasabistand/wasabistand/wasabisettings"
)

// idleTimeout is how long callers' idle connections stay open.
const idleTimeout = 2 * time.Minute

// Node runs a node as a daemon.
type Node struct {
	settings wasabisettings.Node
	log      zerolog.Logger
	pool     *wasabilink.Pool
	session  *wasabisession.Session
	node     *wasabinode.Node
}

var _ wasabiprocess.Daemon = (*Node)(nil)

// NewNode returns a node that has not started.
func NewNode(s wasabisettings.Node, log zerolog.Logger) *Node {
	return &Node{settings: s, log: log}
}

// Start implements wasabiprocess.Daemon.
func (n *Node) Start(context.Context) error {
	s := n.settings
	// The wall clock yields an incarnation that increases with each start and
	// needs no disk.
	incarnation := uint64(time.Now().UnixNano())
	clock := wasabievent.NewClock(time.Now)
	events := wasabievent.NewRing(s.Instance, s.Limits.Events, clock)
	links := wasabilink.NewOptions(s.Cluster, s.Instance, incarnation).WithClock(clock).WithMaxLinks(s.Limits.MaxLinks).
		WithOnSilent(func(address string) {
			events.Record(wasabistand.Event{Kind: wasabistand.EventLinkSilent, Fields: []wasabistand.HeaderField{{Name: "Address", Value: address}}})
			n.log.Warn().Str("Address", address).Msg("link silent")
		})
	location := wasabistand.Location{Region: s.Region, FailureDomain: s.FailureDomain}
	n.pool = wasabilink.NewPool(links, nil)
	n.session = wasabisession.New(wasabisession.NewOptions(s.Control.Addresses...), n.pool, wasabistand.Instance{
		ID: s.Instance, Incarnation: incarnation, Service: s.Upstream.Service,
		LinkAddress: s.Listen.Link, AdminAddress: s.Listen.Admin, Location: location,
		Slots: s.Upstream.Slots, Connections: s.Upstream.Connections, State: wasabistand.Cold,
	}, events)

	registry := prometheus.NewRegistry()
	parts := DecisionParts(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), s.Upstream.ColdStart.Duration)
	parts.Directory, parts.Claims, parts.Recorder = n.session, n.session, events
	parts.Link, parts.Clock = links, clock
	parts.Registerer, parts.Gatherer = registry, registry
	path, handler := eventService(events)
	parts.Admin = map[string]http.Handler{path: handler}
	state := wasabistand.Cold
	parts.AnnouncementChanged = func(i wasabistand.Instance) {
		n.session.Announce(i, false)
		if i.State != state {
			state = i.State
			n.log.Info().Str("State", i.State.String()).Uint64("Revision", i.AppliedRevision).Msg("state changed")
		}
	}
	var err error
	if n.node, err = wasabinode.New(
		wasabinode.NewSettings(s.Instance, s.Upstream.Service, s.Upstream.URL).
			WithIncarnation(incarnation).WithLocation(location).
			WithAddresses(s.Listen.Traffic, s.Listen.Link, s.Listen.Admin).
			WithCapacity(s.Upstream.Slots, s.Upstream.Connections).
			WithDrainTime(s.Limits.DrainTime.Duration).
			WithTimeouts(s.Limits.HeaderTimeout.Duration, s.Limits.BodyIdleTimeout.Duration, idleTimeout).
			WithMaxHeaderBytes(s.Limits.MaxHeaderBytes).WithMaxOpenCalls(s.Limits.MaxOpenCalls).
			WithColdTime(s.Upstream.ColdStart.Duration),
		parts); err != nil {
		return err
	}
	return n.node.Start()
}

// Shutdown implements wasabiprocess.Daemon. The session stays open until Close,
// since it announces that the node is leaving and records the outcomes of claims.
func (n *Node) Shutdown(ctx context.Context) error { return n.node.Shutdown(ctx) }

// Close implements wasabiprocess.Daemon.
func (n *Node) Close() error {
	var err error
	if n.node != nil {
		err = n.node.Close()
	}
	if n.session != nil {
		err = errors.Join(err, n.session.Close())
	}
	if n.pool != nil {
		err = errors.Join(err, n.pool.Close())
	}
	return err
}

// String returns the role and the instance.
func (n *Node) String() string { return "node " + n.settings.Instance }
