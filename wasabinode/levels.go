package wasabinode

import (
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// levels guards the learned levels by one short-held mutex.
type levels struct {
	mu    sync.Mutex
	inner wasabistand.Levels
}

// learn takes note of what an answer told of an instance. A call fares as
// badly as the worst of what it needs.
func (l *levels) learn(now time.Time, k wasabistand.CallKind, load *wasabistand.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner.Observe(now, k, max(load.Level, load.DownstreamLevel))
}

func (l *levels) refuse(now time.Time, k wasabistand.CallKind, i wasabistand.Importance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.ShouldRefuse(now, k, i)
}

func (l *levels) level(now time.Time, k wasabistand.CallKind) wasabistand.Importance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Level(now, k)
}
