package wasabinode

import (
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// levels serializes access to the observed admission levels. Its mutex is held
// only briefly.
type levels struct {
	mu    sync.Mutex
	inner wasabistand.Levels
}

// observe records the load that a response reported for an instance. The level
// that counts is the stricter of the instance's own and that of its downstream
// calls.
func (l *levels) observe(now time.Time, k wasabistand.CallKind, load *wasabistand.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner.Observe(now, k, max(load.Level, load.DownstreamLevel))
}

func (l *levels) shouldRefuse(now time.Time, k wasabistand.CallKind, i wasabistand.Importance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.ShouldRefuse(now, k, i)
}

func (l *levels) level(now time.Time, k wasabistand.CallKind) wasabistand.Importance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Level(now, k)
}
