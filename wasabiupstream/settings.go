// Package wasabiupstream is a small stand-in for an upstream instance, for the
// demonstration, the measurements and tests: workers with slots, a queue and
// connections of their own, cold start, drain, shedding, cancellation,
// deadlines, outgoing calls, and a health endpoint that can lag or lie. It
// decides nothing for the product.
package wasabiupstream

import (
	"net/http"
	"time"
)

// Settings describe one stand-in: an immutable value.
type Settings struct {
	service     string
	slots       int
	connections int
	queue       int
	serviceTime time.Duration
	coldStart   time.Duration
	coldFactor  float64
	answerBytes int
	below       []Below
	client      *http.Client
	entry       func() string
	hopRetries  int
	detached    bool
	ledger      *Ledger
	health      func(actual int) (status, slots int)
}

// Below is a call that the stand-in makes while it serves one of its own.
type Below struct {
	Service string
	Method  string
	Path    string
	// Parallel runs the call beside the one before it.
	Parallel bool
}

// NewSettings returns a stand-in of a service with 10 slots, an unbounded
// queue and a service time of 10 ms.
func NewSettings(service string) Settings {
	return Settings{
		service:     service,
		slots:       10,
		queue:       1 << 20,
		serviceTime: 10 * time.Millisecond,
		coldFactor:  4,
		answerBytes: 256,
		client:      http.DefaultClient,
		ledger:      NewLedger(),
		health:      func(actual int) (int, int) { return http.StatusOK, actual },
	}
}

// WithSlots returns a copy that runs n calls at once.
func (s Settings) WithSlots(n int) Settings {
	s.slots = n
	return s
}

// WithConnections returns a copy that holds at most n connections; further ones
// wait until one closes. 0 is for no bound.
func (s Settings) WithConnections(n int) Settings {
	s.connections = n
	return s
}

// WithQueue returns a copy that sheds calls when n wait.
func (s Settings) WithQueue(n int) Settings {
	s.queue = n
	return s
}

// WithServiceTime returns a copy that works for d on each call.
func (s Settings) WithServiceTime(d time.Duration) Settings {
	s.serviceTime = d
	return s
}

// WithColdStart returns a copy that works factor times slower at first, back
// to normal after d.
func (s Settings) WithColdStart(d time.Duration, factor float64) Settings {
	s.coldStart, s.coldFactor = d, factor
	return s
}

// WithAnswerBytes returns a copy whose answers have a body of n bytes more.
func (s Settings) WithAnswerBytes(n int) Settings {
	s.answerBytes = n
	return s
}

// WithBelow returns a copy that makes outgoing calls: entry returns the base
// URL for each attempt, and each call is tried again up to retries times, as
// clients without a shared bound do.
func (s Settings) WithBelow(client *http.Client, entry func() string, retries int, calls ...Below) Settings {
	s.client, s.entry, s.hopRetries, s.below = client, entry, retries, calls
	return s
}

// WithDetached returns a copy that finishes each call although its caller has
// gone, as servers do that do not watch the connection, and that ignores
// deadlines.
func (s Settings) WithDetached(on bool) Settings {
	s.detached = on
	return s
}

// WithLedger returns a copy that accounts its work in l.
func (s Settings) WithLedger(l *Ledger) Settings {
	s.ledger = l
	return s
}

// WithHealth returns a copy whose health endpoint answers what f says, however
// many slots there actually are.
func (s Settings) WithHealth(f func(actual int) (status, slots int)) Settings {
	s.health = f
	return s
}
