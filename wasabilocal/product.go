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

// cluster is the name that links of one system share.
const cluster = "local"

// Nodes is a running topology with a node beside each upstream.
type Nodes struct {
	*System
	Control *Control
	Watch   *Watch

	nodes []*wasabinode.Node
}

// NewNodes starts upstreams with their nodes and puts the topology's
// configuration into force.
func NewNodes(ctx context.Context, t Topology, seed uint64) (*Nodes, error) {
	n := &Nodes{
		System: newSystem(t, seed),
		// A claim takes a round trip within a region and a quorum's round trip
		// between failure domains of it.
		Control: NewControl(2 * t.Latencies.Domains),
		Watch:   NewWatch(),
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
			w, err := n.startUpstream(c, i, at, n.callNode(c))
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

// callNode lets upstreams call through their own nodes, without retries.
func (n *Nodes) callNode(c Service) func(*Worker, wasabiupstream.Settings) wasabiupstream.Settings {
	return func(w *Worker, s wasabiupstream.Settings) wasabiupstream.Settings {
		if len(c.Below) == 0 {
			return s
		}
		client := &http.Client{Transport: n.transport(func(*http.Transport) {})}
		return s.WithBelow(client, func() string { return w.entry }, 0, c.Below...)
	}
}

func (n *Nodes) startNode(w *Worker, c Service, seed uint64) error {
	dial := n.Network.DialFrom(w.Location)
	link := wasabilink.NewOptions(cluster, w.Name, 1).WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	})
	parts := wasabidaemon.Decisions(rand.New(rand.NewPCG(seed, 2)), 0)
	parts.Directory, parts.Claims = n.Control, n.Control.Claims(w.Name)
	parts.Recorder, parts.Link, parts.Changed = n.Watch, link, n.Control.Announce
	admission := parts.Admission
	parts.Admission = func(limit int, s wasabistand.Service) wasabistand.Admission {
		return n.Watch.Admission(w.Name, admission(limit, s))
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
	n.Network.Place(node.LinkAddress(), w.Location)
	w.entry = "http://" + node.TrafficAddress()
	return nil
}

// awaitPoll is how often nodes are asked for their announcement.
const awaitPoll = 5 * time.Millisecond

// Await waits until the announcement of each node fulfills f.
func (n *Nodes) Await(ctx context.Context, f func(wasabistand.Instance) bool) error {
	for _, node := range n.nodes {
		for !f(node.Announcement()) {
			select {
			case <-time.After(awaitPoll):
			case <-ctx.Done():
				return fmt.Errorf("node %s is %s at revision %d: %w", node, node.Announcement().State, node.Announcement().AppliedRevision, ctx.Err())
			}
		}
	}
	return nil
}

// Apply puts a document into force and returns how long that took on all nodes
// after it was accepted.
func (n *Nodes) Apply(ctx context.Context, document string) (time.Duration, error) {
	revision, err := n.Control.Apply(ctx, document)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	err = n.Await(ctx, func(i wasabistand.Instance) bool { return i.AppliedRevision >= revision })
	return time.Since(accepted), err
}

// Drain takes an instance out of the routes and returns how long its upstream
// still got calls after that was accepted.
func (n *Nodes) Drain(ctx context.Context, instance string, quiet time.Duration) (time.Duration, error) {
	if err := n.Control.Drain(ctx, instance); err != nil {
		return 0, err
	}
	accepted := time.Now()
	for {
		last := n.Watch.LastOffer(instance)
		if time.Since(last) >= quiet && time.Since(accepted) >= quiet {
			return max(0, last.Sub(accepted)), nil
		}
		select {
		case <-time.After(awaitPoll):
		case <-ctx.Done():
			return 0, fmt.Errorf("instance %s still gets calls: %w", instance, ctx.Err())
		}
	}
}

// Close ends the nodes and their upstreams and waits.
func (n *Nodes) Close() error {
	var err error
	for _, node := range n.nodes {
		err = errors.Join(err, node.Close())
	}
	return errors.Join(err, n.System.Close())
}

// WithImportance returns a document in which a call has another importance.
// It is a textual change, as an operator makes it.
func WithImportance(document, call, importance string) string {
	head, tail, found := strings.Cut(document, fmt.Sprintf("Name = %q\n", call))
	before, after, more := strings.Cut(tail, "Importance = ")
	if !found || !more {
		return document
	}
	_, rest, _ := strings.Cut(after, "\n")
	return fmt.Sprintf("%sName = %q\n%sImportance = %q\n%s", head, call, before, importance, rest)
}
