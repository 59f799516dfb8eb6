package wasabicall

import (
	"sync"

	"github.com/wasabistand/wasabistand"
)

// Needs learns which kinds of calls a kind of call needs further down. It is
// safe for concurrent use.
type Needs struct {
	mu    sync.Mutex
	kinds map[wasabistand.CallKind]*need
}

type need struct {
	calls    int
	children map[wasabistand.CallKind]int
}

const (
	// needWindow is after how many calls the counts are halved, so that a
	// changed upstream is relearned within a few hundred calls.
	needWindow = 256
	// maxKinds and maxChildren bound the memory; a configuration's calls of
	// one service and their direct needs lie far below.
	maxKinds    = 1024
	maxChildren = 64
)

// NewNeeds returns an empty table.
func NewNeeds() *Needs { return &Needs{kinds: map[wasabistand.CallKind]*need{}} }

// Ran records one finished call of a kind.
func (n *Needs) Ran(k wasabistand.CallKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.get(k)
	if d == nil {
		return
	}
	if d.calls++; d.calls < needWindow {
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

// Made records that a call of kind k made a call of kind child.
func (n *Needs) Made(k, child wasabistand.CallKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.get(k)
	if d == nil {
		return
	}
	if _, ok := d.children[child]; ok || len(d.children) < maxChildren {
		d.children[child]++
	}
}

// Level returns the highest level among the kinds that at least half of the
// calls of kind k need. A call that is made rarely must not keep all others
// out.
func (n *Needs) Level(k wasabistand.CallKind, level func(wasabistand.CallKind) wasabistand.Importance) wasabistand.Importance {
	n.mu.Lock()
	defer n.mu.Unlock()
	top := wasabistand.Low
	d := n.kinds[k]
	if d == nil {
		return top
	}
	for c, count := range d.children {
		if 2*count >= d.calls {
			top = max(top, level(c))
		}
	}
	return top
}

// String names the implementation.
func (n *Needs) String() string { return "needs" }

func (n *Needs) get(k wasabistand.CallKind) *need {
	d := n.kinds[k]
	if d == nil && len(n.kinds) < maxKinds {
		d = &need{children: map[wasabistand.CallKind]int{}}
		n.kinds[k] = d
	}
	return d
}
