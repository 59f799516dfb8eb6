package wasabicall

import (
	"sync"

	"github.com/wasabistand/wasabistand"
)

// Dependencies records which kinds of outgoing calls each kind of call depends on. It
// is safe for concurrent use.
type Dependencies struct {
	mu    sync.Mutex
	kinds map[wasabistand.CallKind]*dependencyCounts
}

type dependencyCounts struct {
	calls    int
	children map[wasabistand.CallKind]int
}

const (
	// halvingInterval is the number of calls after which the counts are
	// halved, so that a change of the upstream is reflected within a few
	// hundred calls.
	halvingInterval = 256
	// maxKinds and maxChildren limit memory use; the calls of one service and
	// their direct dependencies are normally far fewer.
	maxKinds    = 1024
	maxChildren = 64
)

// NewDependencies returns an empty table.
func NewDependencies() *Dependencies {
	return &Dependencies{kinds: map[wasabistand.CallKind]*dependencyCounts{}}
}

// RecordCall records a finished call of kind k.
func (n *Dependencies) RecordCall(k wasabistand.CallKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.countsOf(k)
	if d == nil {
		return
	}
	if d.calls++; d.calls < halvingInterval {
		return
	}
	d.calls /= 2
	for c, count := range d.children {
		if count /= 2; count == 0 {
			delete(d.children, c)
			continue
		}
		d.children[c] = count
	}
}

// RecordOutgoing records that a call of kind k made an outgoing call of kind child.
func (n *Dependencies) RecordOutgoing(k, child wasabistand.CallKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.countsOf(k)
	if d == nil {
		return
	}
	if _, ok := d.children[child]; ok || len(d.children) < maxChildren {
		d.children[child]++
	}
}

// Level returns the highest level among the kinds that at least half of the
// calls of kind k depend on. A dependency that is rarely called must not cause
// all calls of kind k to be refused.
func (n *Dependencies) Level(k wasabistand.CallKind, level func(wasabistand.CallKind) wasabistand.Importance) wasabistand.Importance {
	n.mu.Lock()
	defer n.mu.Unlock()
	highest := wasabistand.Low
	d := n.kinds[k]
	if d == nil {
		return highest
	}
	for c, count := range d.children {
		if 2*count >= d.calls {
			highest = max(highest, level(c))
		}
	}
	return highest
}

// String returns the name of the table.
func (n *Dependencies) String() string { return "needs" }

func (n *Dependencies) countsOf(k wasabistand.CallKind) *dependencyCounts {
	d := n.kinds[k]
	if d == nil && len(n.kinds) < maxKinds {
		d = &dependencyCounts{children: map[wasabistand.CallKind]int{}}
		n.kinds[k] = d
	}
	return d
}
