package wasabicall

import (
	"sync"

	"github.com/wasabistand/wasabistand"
)

// Dependencies records which kinds of outgoing calls each kind of call depends
// on. It is safe for concurrent use.
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
func (d *Dependencies) RecordCall(k wasabistand.CallKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.countsOf(k)
	if counts == nil {
		return
	}
	if counts.calls++; counts.calls < halvingInterval {
		return
	}
	counts.calls /= 2
	for c, count := range counts.children {
		if count /= 2; count == 0 {
			delete(counts.children, c)
			continue
		}
		counts.children[c] = count
	}
}

// RecordOutgoing records that a call of kind k made an outgoing call of kind
// child.
func (d *Dependencies) RecordOutgoing(k, child wasabistand.CallKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.countsOf(k)
	if counts == nil {
		return
	}
	if _, ok := counts.children[child]; ok || len(counts.children) < maxChildren {
		counts.children[child]++
	}
}

// Level returns the highest level among the kinds that at least half of the
// calls of kind k depend on. A dependency that is rarely called must not cause
// all calls of kind k to be refused.
func (d *Dependencies) Level(k wasabistand.CallKind, level func(wasabistand.CallKind) wasabistand.Importance) wasabistand.Importance {
	d.mu.Lock()
	defer d.mu.Unlock()
	highest := wasabistand.Low
	counts := d.kinds[k]
	if counts == nil {
		return highest
	}
	for c, count := range counts.children {
		if 2*count >= counts.calls {
			highest = max(highest, level(c))
		}
	}
	return highest
}

// String returns the name of the table.
func (d *Dependencies) String() string { return "needs" }

func (d *Dependencies) countsOf(k wasabistand.CallKind) *dependencyCounts {
	counts := d.kinds[k]
	if counts == nil && len(d.kinds) < maxKinds {
		counts = &dependencyCounts{children: map[wasabistand.CallKind]int{}}
		d.kinds[k] = counts
	}
	return counts
}
