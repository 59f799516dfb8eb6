package wasabinode

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// Parts are what a node is put together from.
type Parts struct {
	Directory wasabistand.Directory
	Claims    wasabistand.Claims
	Recorder  wasabistand.Recorder
	Levels    wasabistand.Levels
	// Router returns a router that knows the links between regions.
	Router func([]wasabistand.RegionLink) wasabistand.Router
	// Budget returns this instance's retry budget.
	Budget func(wasabistand.RetryPolicy) wasabistand.RetryBudget
	// Allowance returns the retry allowance of a new call tree or of a part
	// of one.
	Allowance func(n int) wasabistand.RequestRetryBudget
	// Admission returns the queue in front of the upstream.
	Admission func(limit int, s wasabistand.Service) wasabistand.Admission
	// Limiter returns the limit of an upstream that has just started.
	Limiter func(slots int) wasabistand.Limiter
	// Link holds the link options with the node's identity.
	Link wasabilink.Options
	// TrafficListener, LinkListener and AdminListener take the place of the
	// addresses in the settings, for callers that must know the bound
	// addresses before they have a Directory. The node closes them.
	TrafficListener, LinkListener, AdminListener net.Listener
	// Clock stamps calls between nodes, nil for no stamps.
	Clock wasabilink.Clock
	// Now is the wall clock, nil for time.Now.
	Now func() time.Time
	// Random spreads resends; it returns numbers in [0, 1) and is safe for
	// concurrent use. Nil is for math/rand.
	Random func() float64
	// Registerer takes the metrics, nil for none.
	Registerer prometheus.Registerer
	// Gatherer serves /metrics, nil for no such endpoint.
	Gatherer prometheus.Gatherer
	// Admin lists more routes of the admin endpoint by pattern.
	Admin map[string]http.Handler
	// Changed is called with each new announcement, from one goroutine at a
	// time. It must not block.
	Changed func(wasabistand.Instance)
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
		{"allowance", p.Allowance != nil},
		{"admission", p.Admission != nil},
		{"limiter", p.Limiter != nil},
	} {
		if !f.set {
			return wasabistand.ErrInvalid.New("%s: missing part", f.name)
		}
	}
	return nil
}
