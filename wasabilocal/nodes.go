package wasabilocal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabidaemon"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabinode"
	"github.com/wasabistand/wasabistand/wasabiupstream"
)

// cluster is the cluster name that all links of a system use.
const cluster = "local"

// Nodes is a running topology with a node next to each upstream.
type Nodes struct {
	*System
	Control *Control
	Monitor *Monitor

	nodes []*wasabinode.Node
}

// NewNodes starts the upstreams with their nodes, applies the topology's
// configuration and waits until all nodes are ready.
func NewNodes(ctx context.Context, t Topology, seed uint64) (*Nodes, error) {
	n := &Nodes{
		System: newSystem(t, seed),
		// A claim takes a quorum's round trip between failure domains. The round
		// trip to a control instance in the node's own failure domain has no
		// latency.
		Control: NewControl(2 * t.Latencies.Domains),
		Monitor: NewMonitor(),
	}
	if err := n.start(ctx, seed); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	return n, nil
}

func (n *Nodes) start(ctx context.Context, seed uint64) error {
	if _, err := n.Control.Apply(ctx, n.topology.Configuration); err != nil {
		return err
	}
	for _, c := range n.topology.Services {
		for i, at := range n.topology.Locations() {
			w, err := n.startUpstream(c, i, at, n.callViaNode(c))
			if err != nil {
				return err
			}
			if err := n.startNode(w, c, seed+uint64(len(n.nodes))); err != nil {
				return err
			}
		}
	}
	return n.Await(ctx, func(i wasabistand.Instance) bool { return i.State == wasabistand.Ready })
}

// callViaNode makes upstreams send their outgoing calls through their own nodes,
// without retries.
func (n *Nodes) callViaNode(c Service) func(*Worker, wasabiupstream.Settings) wasabiupstream.Settings {
	return func(w *Worker, s wasabiupstream.Settings) wasabiupstream.Settings {
		if len(c.Downstream) == 0 {
			return s
		}
		client := &http.Client{Transport: n.transport(func(*http.Transport) {})}
		return s.WithDownstream(client, func() string { return w.entryURL }, 0, c.Downstream...)
	}
}

func (n *Nodes) startNode(w *Worker, c Service, seed uint64) error {
	dial := n.Network.DialFrom(w.Location)
	link := wasabilink.NewOptions(cluster, w.Name, 1).WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	})
	parts := wasabidaemon.DecisionParts(rand.New(rand.NewPCG(seed, 2)), 0)
	parts.Directory, parts.Claims = n.Control, n.Control.Claims(w.Name)
	parts.Recorder, parts.Link, parts.AnnouncementChanged = n.Monitor, link, n.Control.Announce
	admission := parts.Admission
	parts.Admission = func(limit int, s wasabistand.Service) wasabistand.Admission {
		return n.Monitor.Admission(w.Name, admission(limit, s))
	}
	node, err := wasabinode.New(
		wasabinode.NewSettings(w.Name, w.Service, w.Upstream.URL()).WithIncarnation(1).WithLocation(w.Location).
			WithCapacity(c.Slots, c.Connections).WithMaxOpenCalls(20_000).WithColdTime(0),
		parts)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	n.nodes = append(n.nodes, node)
	n.Network.SetLocation(node.LinkAddress(), w.Location)
	w.entryURL = "http://" + node.TrafficAddress()
	return nil
}

// pollInterval is the interval at which the state of nodes and instances is
// polled.
const pollInterval = 5 * time.Millisecond

// Await waits until the announcement of each node satisfies f.
func (n *Nodes) Await(ctx context.Context, f func(wasabistand.Instance) bool) error {
	for _, node := range n.nodes {
		for !f(node.Announcement()) {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("node %s is %s at revision %d: %w", node, node.Announcement().State, node.Announcement().AppliedRevision, ctx.Err())
			}
		}
	}
	return nil
}

// Apply applies a document and returns the time from its commit until it was
// active on all nodes.
func (n *Nodes) Apply(ctx context.Context, document string) (time.Duration, error) {
	revision, err := n.Control.Apply(ctx, document)
	if err != nil {
		return 0, err
	}
	committedAt := time.Now()
	err = n.Await(ctx, func(i wasabistand.Instance) bool { return i.AppliedRevision >= revision })
	return time.Since(committedAt), err
}

// Drain excludes an instance from routing and returns how long its upstream still
// received calls after the drain was committed. It returns once no call has been
// offered for idleTime.
func (n *Nodes) Drain(ctx context.Context, instance string, idleTime time.Duration) (time.Duration, error) {
	if err := n.Control.Drain(ctx, instance); err != nil {
		return 0, err
	}
	committedAt := time.Now()
	for {
		last := n.Monitor.LastOffer(instance)
		if time.Since(last) >= idleTime && time.Since(committedAt) >= idleTime {
			return max(0, last.Sub(committedAt)), nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return 0, fmt.Errorf("instance %s still gets calls: %w", instance, ctx.Err())
		}
	}
}

// Close stops the nodes and their upstreams and waits for them.
func (n *Nodes) Close() error {
	var err error
	for _, node := range n.nodes {
		err = errors.Join(err, node.Close())
	}
	return errors.Join(err, n.System.Close())
}

// WithImportance returns a copy of document in which a call has another
// importance. It edits the text, as an operator would.
func WithImportance(document, call, importance string) string {
	head, tail, found := strings.Cut(document, fmt.Sprintf("Name = %q\n", call))
	before, after, more := strings.Cut(tail, "Importance = ")
	if !found || !more {
		return document
	}
	_, rest, _ := strings.Cut(after, "\n")
	return fmt.Sprintf("%sName = %q\n%sImportance = %q\n%s", head, call, before, importance, rest)
}
