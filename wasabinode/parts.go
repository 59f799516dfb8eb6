package wasabinode

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// Parts holds the components of a node. Fields are required unless their comment
// allows nil.
type Parts struct {
	Directory wasabistand.Directory
	Claims    wasabistand.Claims
	Recorder  wasabistand.Recorder
	Levels    wasabistand.Levels
	// Router returns a router for the given links between regions.
	Router func([]wasabistand.RegionLink) wasabistand.Router
	// Budget returns the retry budget of this instance.
	Budget func(wasabistand.RetryPolicy) wasabistand.RetryBudget
	// RequestRetryBudget returns a request retry budget of n retries, for a new
	// call tree or for a part of one.
	RequestRetryBudget func(n int) wasabistand.RequestRetryBudget
	// Admission returns the admission queue of the upstream.
	Admission func(limit int, s wasabistand.Service) wasabistand.Admission
	// Limiter returns the concurrency limiter of an upstream that has just
	// started.
	Limiter func(slots int) wasabistand.Limiter
	// Link holds the link options, including the node's identity.
	Link wasabilink.Options
	// TrafficListener, LinkListener and AdminListener replace the addresses in
	// the settings when not nil, for programs that must know the bound
	// addresses before they have a Directory. The node closes them.
	TrafficListener, LinkListener, AdminListener net.Listener
	// Clock supplies the timestamps of calls between nodes, nil for none.
	Clock wasabilink.Clock
	// Now is the wall clock, nil for time.Now.
	Now func() time.Time
	// Random returns numbers in [0, 1) for the jitter of Retry-After. It must
	// be safe for concurrent use. Nil selects math/rand.
	Random func() float64
	// Registerer registers the metrics, nil for none.
	Registerer prometheus.Registerer
	// Gatherer provides the metrics for /metrics, nil for no such endpoint.
	Gatherer prometheus.Gatherer
	// Admin holds additional routes of the admin endpoint by pattern. It may be
	// nil.
	Admin map[string]http.Handler
	// AnnouncementChanged is called with each new announcement, by one goroutine
	// at a time. It must not block. It may be nil.
	AnnouncementChanged func(wasabistand.Instance)
}

func (p Parts) check() error {
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"directory", p.Directory != nil},
		{"claims", p.Claims != nil},
		{"recorder", p.Recorder != nil},
		{"levels", p.Levels != nil},
		{"router", p.Router != nil},
		{"budget", p.Budget != nil},
		{"allowance", p.RequestRetryBudget != nil},
		{"admission", p.Admission != nil},
		{"limiter", p.Limiter != nil},
	} {
		if !f.set {
			return wasabistand.ErrInvalid.New("%s: missing part", f.name)
		}
	}
	return nil
}
