package wasabinode

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiconfig"
)

// view is a snapshot of control with its index.
type view struct {
	revision  uint64
	contracts *wasabistand.Configuration
	index     *wasabiconfig.Index
}

// snapshot returns the configuration in force, nil before the first.
func (n *Node) snapshot() *view { return n.view.Load() }

// follow puts what control sends into force.
func (n *Node) follow(ctx context.Context) {
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
	current := n.view.Load()
	if current != nil && current.revision >= v.Revision {
		// A configuration is never reverted.
		return
	}
	n.router.configure(now, v.Configuration.Regions)
	n.budget.configure(v.Configuration.Retry)
	n.admitter.configure(n.parts.Admission, v.Configuration.Services[n.settings.service])
	n.view.Store(&view{revision: v.Revision, contracts: v.Configuration, index: wasabiconfig.NewIndex(v.Configuration)})
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventConfigApplied, Fields: []wasabistand.HeaderField{{Name: "Revision", Value: formatUint(v.Revision)}}})
	n.announce(func(i *wasabistand.Instance) { i.AppliedRevision = v.Revision })
}

// announcement is what the node says of itself.
type announcement struct {
	telling  sync.Mutex // held while Changed runs, so that it sees one order
	mu       sync.Mutex
	instance wasabistand.Instance
	leaving  bool
	up       bool // the upstream accepts connections
	seen     bool // it has done so before
	warm     bool // it has done so for a while
}

// Announcement returns what the node says of itself now.
func (n *Node) Announcement() wasabistand.Instance {
	a := &n.announced
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instance
}

func (n *Node) state() wasabistand.InstanceState { return n.Announcement().State }

// depart announces that the node leaves. It stays so.
func (n *Node) depart() {
	n.announced.mu.Lock()
	n.announced.leaving = true
	n.announced.mu.Unlock()
	n.announce(func(*wasabistand.Instance) {})
}

// announce changes the announcement and tells the change.
func (n *Node) announce(change func(*wasabistand.Instance)) {
	a := &n.announced
	a.telling.Lock()
	defer a.telling.Unlock()
	a.mu.Lock()
	before := a.instance
	change(&a.instance)
	a.settle(n.view.Load() != nil)
	if a.instance == before {
		a.mu.Unlock()
		return
	}
	a.instance.Sequence++
	now := a.instance
	a.mu.Unlock()
	if now.State != before.State {
		n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventInstanceState, Fields: []wasabistand.HeaderField{{Name: "State", Value: now.State.String()}}})
	}
	if n.parts.Changed != nil {
		n.parts.Changed(now)
	}
}

// settle derives the state from what is known.
func (a *announcement) settle(configured bool) {
	switch {
	case a.leaving:
		a.instance.State = wasabistand.Leaving
	case !a.up && a.seen:
		a.instance.State = wasabistand.Leaving
	case a.up && a.warm && configured:
		a.instance.State = wasabistand.Ready
	case a.up:
		a.instance.State = wasabistand.Cold
	}
}

// watch finds out whether the upstream accepts connections.
type watch struct {
	node    *Node
	address string
	mu      sync.Mutex
	refused int
	wake    chan struct{} // calls find the upstream closed
	full    chan struct{} // the limit has reached the declared slots
}

// refusedBeforeDown is how many calls in a row find the upstream closed
// before the node announces that it takes no work. One refusal may be a full
// accept queue.
const refusedBeforeDown = 3

func newWatch(n *Node, address string) *watch {
	return &watch{node: n, address: address, wake: make(chan struct{}, 1), full: make(chan struct{}, 1)}
}

// observe takes note of how a call at the upstream ended.
func (w *watch) observe(reason wasabistand.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason != wasabistand.ReasonConnect {
		w.refused = 0
		return
	}
	if w.refused++; w.refused == refusedBeforeDown {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// run tries the upstream until it accepts a connection, at the start and each
// time when calls find it closed. While it works its own calls tell enough.
func (w *watch) run(ctx context.Context) {
	for {
		for !w.try(ctx) {
			w.node.setUp(false)
			select {
			case <-ctx.Done():
				return
			case <-time.After(w.node.settings.watchInterval):
			}
		}
		w.node.setUp(true)
		warm := time.NewTimer(w.node.settings.coldTime)
		for up := true; up; {
			select {
			case <-ctx.Done():
				warm.Stop()
				return
			case <-warm.C:
				w.node.setWarm()
			case <-w.full:
				w.node.setWarm()
			case <-w.wake:
				up = false
			}
		}
		warm.Stop()
	}
}

// try waits for ctx too, so it is bounded by the interval.
func (w *watch) try(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, max(w.node.settings.watchInterval, time.Second))
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", w.address)
	if err != nil {
		return false
	}
	_ = c.Close()
	w.mu.Lock()
	w.refused = 0
	w.mu.Unlock()
	return true
}

func (n *Node) reachable() bool {
	n.announced.mu.Lock()
	defer n.announced.mu.Unlock()
	return n.announced.up
}

// setWarm records that the upstream is no longer cold.
func (n *Node) setWarm() {
	n.announced.mu.Lock()
	n.announced.warm = n.announced.up
	n.announced.mu.Unlock()
	n.announce(func(*wasabistand.Instance) {})
}

// setUp records whether the upstream accepts connections. One that comes back
// starts cold.
func (n *Node) setUp(up bool) {
	a := &n.announced
	a.mu.Lock()
	returned := up && !a.up && a.seen
	a.up, a.seen = up, a.seen || up
	a.warm = a.warm && up
	a.mu.Unlock()
	if returned {
		n.admitter.restart()
	}
	n.announce(func(*wasabistand.Instance) {})
}
