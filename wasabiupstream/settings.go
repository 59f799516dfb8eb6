// Package wasabiupstream implements a fake upstream instance for the
// demonstration, the benchmarks and tests. It has its own slots, queue and
// connection limit, and supports cold start, drain, shedding, cancellation,
// deadlines, outgoing calls, and a health endpoint that can report outdated or
// wrong values. It implements no part of the product's overload control.
package wasabiupstream

import (
	"net/http"
	"time"
)

// Settings is the immutable configuration of a fake upstream.
type Settings struct {
	service       string
	slots         int
	connections   int
	queue         int
	serviceTime   time.Duration
	coldStart     time.Duration
	coldFactor    float64
	responseBytes int
	downstream    []DownstreamCall
	client        *http.Client
	baseURL       func() string
	hopRetries    int
	detached      bool
	ledger        *Ledger
	health        func(actual int) (status, slots int)
}

// DownstreamCall is a call that the upstream makes while it serves a call.
type DownstreamCall struct {
	Service string
	Method  string
	Path    string
	// Parallel makes the call run concurrently with the one before it.
	Parallel bool
}

// NewSettings returns the settings of an upstream of a service with 10 slots, a
// practically unbounded queue and a service time of 10 ms.
func NewSettings(service string) Settings {
	return Settings{
		service:       service,
		slots:         10,
		queue:         1 << 20,
		serviceTime:   10 * time.Millisecond,
		coldFactor:    4,
		responseBytes: 256,
		client:        http.DefaultClient,
		ledger:        NewLedger(),
		health:        func(actual int) (int, int) { return http.StatusOK, actual },
	}
}

// WithSlots returns a copy that runs up to n calls concurrently.
func (s Settings) WithSlots(n int) Settings {
	s.slots = n
	return s
}

// WithConnections returns a copy that accepts at most n connections; further ones
// wait until one closes. 0 means no limit.
func (s Settings) WithConnections(n int) Settings {
	s.connections = n
	return s
}

// WithQueue returns a copy that sheds calls when n calls are queued.
func (s Settings) WithQueue(n int) Settings {
	s.queue = n
	return s
}

// WithServiceTime returns a copy that spends d on each call.
func (s Settings) WithServiceTime(d time.Duration) Settings {
	s.serviceTime = d
	return s
}

// WithColdStart returns a copy that is factor times slower at its start and
// reaches normal speed after d.
func (s Settings) WithColdStart(d time.Duration, factor float64) Settings {
	s.coldStart, s.coldFactor = d, factor
	return s
}

// WithResponseBytes returns a copy whose responses end with n bytes of filler.
func (s Settings) WithResponseBytes(n int) Settings {
	s.responseBytes = n
	return s
}

// WithDownstream returns a copy that makes downstream calls: baseURL returns the
// base URL for each attempt, and each call is retried up to retries times, as
// clients without a shared retry budget do.
func (s Settings) WithDownstream(client *http.Client, baseURL func() string, retries int, calls ...DownstreamCall) Settings {
	s.client, s.baseURL, s.hopRetries, s.downstream = client, baseURL, retries, calls
	return s
}

// WithDetached returns a copy that, if on, ignores deadlines and finishes each call
// although its caller has disconnected, as servers do that do not monitor the
// connection.
func (s Settings) WithDetached(on bool) Settings {
	s.detached = on
	return s
}

// WithLedger returns a copy that records its work in l.
func (s Settings) WithLedger(l *Ledger) Settings {
	s.ledger = l
	return s
}

// WithHealth returns a copy whose health endpoint reports the result of f, which
// receives the actual number of slots.
func (s Settings) WithHealth(f func(actual int) (status, slots int)) Settings {
	s.health = f
	return s
}
