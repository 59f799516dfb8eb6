package wasabinode

import (
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// levels guards the learned levels and combines what the instances of one
// service tell: a call need not be refused early while one of them takes it.
type levels struct {
	mu    sync.Mutex
	inner wasabistand.Levels
	heard map[string]map[string]heard
}

type heard struct {
	level wasabistand.Importance
	at    time.Time
}

// heardFor is how long the word of an instance counts, as long as a level.
const heardFor = time.Second

func newLevels(inner wasabistand.Levels) *levels {
	return &levels{inner: inner, heard: map[string]map[string]heard{}}
}

func (l *levels) learn(now time.Time, k wasabistand.CallKind, instance string, load *wasabistand.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	service := l.heard[k.Service]
	if service == nil {
		service = map[string]heard{}
		l.heard[k.Service] = service
	}
	service[instance] = heard{level: load.Level, at: now}
	lowest := load.Level
	for id, h := range service {
		if now.Sub(h.at) >= heardFor {
			delete(service, id)
			continue
		}
		lowest = min(lowest, h.level)
	}
	l.inner.Learn(now, k, max(lowest, load.LevelBelow))
}

func (l *levels) refuse(now time.Time, k wasabistand.CallKind, i wasabistand.Importance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Refuse(now, k, i)
}

func (l *levels) level(now time.Time, k wasabistand.CallKind) wasabistand.Importance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Level(now, k)
}
