package wasabinode

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiconfig"
)

// activeConfig is the configuration that the node applies, with its index.
type activeConfig struct {
	revision      uint64
	configuration *wasabistand.Configuration
	index         *wasabiconfig.Index
}

// activeConfig returns the active configuration, nil before the first.
func (n *Node) activeConfig() *activeConfig { return n.active.Load() }

// followConfiguration applies the configurations and instances that the control
// instances send, until ctx ends.
func (n *Node) followConfiguration(ctx context.Context) {
	for {
		changed := n.directory.Changed()
		if v := n.directory.View(); v != nil && v.Configuration != nil {
			n.apply(v)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) apply(v *wasabistand.View) {
	now := n.now()
	n.router.refresh(now, n.directory)
	current := n.active.Load()
	if current != nil && current.revision >= v.Revision {
		// An older revision never replaces a newer one.
		return
	}
	n.router.configure(now, v.Configuration.Regions)
	n.budget.configure(v.Configuration.Retry)
	n.admitter.configure(n.parts.Admission, v.Configuration.Services[n.settings.service])
	n.active.Store(&activeConfig{revision: v.Revision, configuration: v.Configuration, index: wasabiconfig.NewIndex(v.Configuration)})
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventConfigApplied, Fields: []wasabistand.HeaderField{{Name: "Revision", Value: formatUint(v.Revision)}}})
	n.announce(func(i *wasabistand.Instance) { i.AppliedRevision = v.Revision })
}

// announcement holds the current announcement of the node and the state that it
// is derived from.
type announcement struct {
	notifyMu sync.Mutex // held during AnnouncementChanged, so that its calls are in order
	mu       sync.Mutex
	instance wasabistand.Instance
	leaving  bool
	up       bool // the upstream accepts connections
	wasUp    bool // up was true before
	warm     bool // up was true for the cold time, or the limit reached the slots
}

// Announcement returns the node's current announcement.
func (n *Node) Announcement() wasabistand.Instance {
	a := &n.announced
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instance
}

func (n *Node) state() wasabistand.InstanceState { return n.Announcement().State }

// announceLeaving announces that the node is leaving. This is permanent.
func (n *Node) announceLeaving() {
	n.announced.mu.Lock()
	n.announced.leaving = true
	n.announced.mu.Unlock()
	n.announce(func(*wasabistand.Instance) {})
}

// announce applies change to the announcement, updates its state, and calls
// Parts.AnnouncementChanged if the announcement differs from before.
func (n *Node) announce(change func(*wasabistand.Instance)) {
	a := &n.announced
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	a.mu.Lock()
	before := a.instance
	change(&a.instance)
	a.updateState(n.active.Load() != nil)
	if a.instance == before {
		a.mu.Unlock()
		return
	}
	a.instance.Sequence++
	current := a.instance
	a.mu.Unlock()
	if current.State != before.State {
		n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventInstanceState, Fields: []wasabistand.HeaderField{{Name: "State", Value: current.State.String()}}})
	}
	if n.parts.AnnouncementChanged != nil {
		n.parts.AnnouncementChanged(current)
	}
}

// updateState derives the instance state from the other fields.
func (a *announcement) updateState(configured bool) {
	switch {
	case a.leaving:
		a.instance.State = wasabistand.Leaving
	case !a.up && a.wasUp:
		a.instance.State = wasabistand.Leaving
	case a.up && a.warm && configured:
		a.instance.State = wasabistand.Ready
	case a.up:
		a.instance.State = wasabistand.Cold
	}
}

// upstreamMonitor monitors whether the upstream accepts connections.
type upstreamMonitor struct {
	node            *Node
	address         string
	mu              sync.Mutex
	connectFailures int
	unreachable     chan struct{} // receives when calls could not connect
	limitReached    chan struct{} // receives when the limit has reached the declared slots
}

// connectFailuresBeforeProbe is the number of consecutive calls that must fail
// to connect before the node probes the upstream; if the probe fails too, the
// node announces that it accepts no calls. A single failure may be caused by a
// full accept queue.
const connectFailuresBeforeProbe = 3

func newUpstreamMonitor(n *Node, address string) *upstreamMonitor {
	return &upstreamMonitor{node: n, address: address, unreachable: make(chan struct{}, 1), limitReached: make(chan struct{}, 1)}
}

// observe records the reason with which a call at the upstream ended, "" for a
// response.
func (m *upstreamMonitor) observe(reason wasabistand.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reason != wasabistand.ReasonConnect {
		m.connectFailures = 0
		return
	}
	if m.connectFailures++; m.connectFailures == connectFailuresBeforeProbe {
		select {
		case m.unreachable <- struct{}{}:
		default:
		}
	}
}

// run probes the upstream until it accepts a connection, at the start and
// whenever calls could not connect. While the upstream is up, the results of
// calls suffice and no probes are sent.
func (m *upstreamMonitor) run(ctx context.Context) {
	for {
		for !m.probe(ctx) {
			m.node.setUp(false)
			select {
			case <-ctx.Done():
				return
			case <-time.After(m.node.settings.watchInterval):
			}
		}
		m.node.setUp(true)
		coldTimer := time.NewTimer(m.node.settings.coldTime)
		for up := true; up; {
			select {
			case <-ctx.Done():
				coldTimer.Stop()
				return
			case <-coldTimer.C:
				m.node.setWarm()
			case <-m.limitReached:
				m.node.setWarm()
			case <-m.unreachable:
				up = false
			}
		}
		coldTimer.Stop()
	}
}

// probe reports whether the upstream accepts a connection before ctx ends, and
// within the watch interval or 1 s, whichever is longer.
func (m *upstreamMonitor) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, max(m.node.settings.watchInterval, time.Second))
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", m.address)
	if err != nil {
		return false
	}
	_ = c.Close()
	m.mu.Lock()
	m.connectFailures = 0
	m.mu.Unlock()
	return true
}

func (n *Node) upstreamReachable() bool {
	n.announced.mu.Lock()
	defer n.announced.mu.Unlock()
	return n.announced.up
}

// setWarm records that the upstream is no longer cold, unless it is down.
func (n *Node) setWarm() {
	n.announced.mu.Lock()
	n.announced.warm = n.announced.up
	n.announced.mu.Unlock()
	n.announce(func(*wasabistand.Instance) {})
}

// setUp records whether the upstream accepts connections. After an interruption
// the upstream is cold again and its limit restarts.
func (n *Node) setUp(up bool) {
	a := &n.announced
	a.mu.Lock()
	recovered := up && !a.up && a.wasUp
	a.up, a.wasUp = up, a.wasUp || up
	a.warm = a.warm && up
	a.mu.Unlock()
	if recovered {
		n.admitter.restart()
	}
	n.announce(func(*wasabistand.Instance) {})
}
