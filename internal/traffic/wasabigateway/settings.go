// Package wasabigateway routes the requests of callers in a node. It matches
// requests by host and path, places each at an instance of the route's service, and
// makes the last admission decision before the local instance. It connects the
// policy packages with connections, links and timers. Other packages check
// configurations and decide which instances exist.
package wasabigateway

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Headers holds the names of the header fields that callers, nodes and upstreams
// use. An empty name disables a field.
type Headers struct {
	// RequestID identifies one attempt of a caller. Upstreams echo it.
	RequestID string
	// Timeout is the sender's timeout in milliseconds.
	Timeout string
	// Signature marks responses that an upstream made.
	Signature string
	// NotRun marks an upstream's response to a request that it did not run.
	NotRun string
	// Expected is the ID of the instance that a request is addressed to.
	Expected string
	// Origin is the service of the node at which a request entered.
	Origin string
	// Instance is the upstream's ID in responses to health checks.
	Instance string
}

// Settings are the settings of a gateway. They are immutable.
type Settings struct {
	instance            string
	service             string
	location            wasabistand.Location
	linkAddress         string
	headers             Headers
	upstream            string
	maxConns            int
	budgetWindow        time.Duration
	budgetRatio         float64
	acceptFor           time.Duration
	refuseAfter         time.Duration
	withdrawAfter       time.Duration
	stopAfter           time.Duration
	drainGrace          time.Duration
	maxBufferedBody     int64
	maxBufferedResponse int
	maxHeldResponse     int64
	maxBufferedBytes    int64
	responseGrace       time.Duration
	queueLimit          int
	instanceWait        time.Duration
	startupLimit        time.Duration
	configurationTime   time.Duration
	maxPlacements       int
}

// NewSettings returns the default settings of the gateway next to one instance of a
// service. upstream is the address at which the instance listens.
func NewSettings(instance, service, upstream string) Settings {
	return Settings{
		instance: instance, service: service, upstream: upstream,
		linkAddress:  "127.0.0.1:7411",
		maxConns:     2048,
		budgetWindow: 10 * time.Second,
		budgetRatio:  0.1,
		// Callers switch to other nodes after two failed checks, one second apart.
		acceptFor: 3 * time.Second,
		// Later requests are refused, so that the shutdown ends.
		refuseAfter: maxRefuseAfter,
		// Requests that still wait are refused while there is time for others to end.
		withdrawAfter: 4 * time.Second,
		stopAfter:     5 * time.Second,
		// Other nodes are informed of a drain within this time; calls from those that
		// are not are refused as not run.
		drainGrace: time.Second,
		// Bodies up to this size are buffered, so that retries can send them again.
		maxBufferedBody:     512 << 10,
		maxBufferedResponse: 256 << 10,
		maxHeldResponse:     8 << 20,
		maxBufferedBytes:    48 << 20,
		// Allows a response that was made in time to travel back between regions.
		responseGrace: 100 * time.Millisecond,
		queueLimit:    400,
		instanceWait:  time.Second,
		// After this time without a configuration, control is unavailable.
		startupLimit: 4 * time.Second,
		// Changes must be applied within this time.
		configurationTime: 2500 * time.Millisecond,
		maxPlacements:     4,
	}
}

// WithLocation returns a copy for another region and failure domain.
func (s Settings) WithLocation(l wasabistand.Location) Settings {
	s.location = l
	return s
}

// WithLinkAddress returns a copy with another address for links from other nodes.
func (s Settings) WithLinkAddress(address string) Settings {
	s.linkAddress = address
	return s
}

// WithHeaders returns a copy with other names of header fields.
func (s Settings) WithHeaders(h Headers) Settings {
	s.headers = h
	return s
}

// WithBudget returns a copy that keeps the retries of a service below ratio of its
// requests in any window.
func (s Settings) WithBudget(window time.Duration, ratio float64) Settings {
	s.budgetWindow, s.budgetRatio = window, ratio
	return s
}

// maxRefuseAfter is the longest time after the start of a shutdown in which requests are
// accepted. By then callers have switched to other nodes, after two failed checks one
// second apart.
const maxRefuseAfter = 3 * time.Second

// WithGrace returns a copy with d as the time for a graceful shutdown: the gateway
// accepts requests for a part of d, then refuses those that still wait, and stops
// waiting for those that run while there is time for an orderly exit.
func (s Settings) WithGrace(d time.Duration) Settings {
	s.acceptFor, s.refuseAfter, s.withdrawAfter, s.stopAfter = d/2, min(d/2, maxRefuseAfter), d*8/12, d*10/12
	return s
}

// WithDrainTime returns a copy that sends no request to the instance later than d
// after the instance reported that it leaves. Other nodes are informed within half
// of d; after that, calls are refused as not run.
func (s Settings) WithDrainTime(d time.Duration) Settings {
	s.drainGrace = d / 2
	return s
}

// WithStartupLimit returns a copy whose requests may wait for a configuration within d
// after the node's start.
func (s Settings) WithStartupLimit(d time.Duration) Settings {
	s.startupLimit = d
	return s
}

// WithConfigurationTime returns a copy for changes that must be applied within d after
// their commit. A node that control has not confirmed for d answers no request as having
// no route, since a change may have added it.
func (s Settings) WithConfigurationTime(d time.Duration) Settings {
	s.configurationTime = d
	return s
}

// bodyMemoryDivisor is the divisor of a process's memory that gives the limit for
// buffered bodies.
const bodyMemoryDivisor = 6

// WithMemory returns a copy for a process that may use n bytes of memory.
func (s Settings) WithMemory(n int64) Settings {
	s.maxBufferedBytes = n / bodyMemoryDivisor
	return s
}

// reservedDescriptors is the number of file descriptors reserved for files, links
// and upstreams.
const reservedDescriptors = 1200

// WithDescriptors returns a copy for a process that may use n file descriptors.
func (s Settings) WithDescriptors(n int) Settings {
	s.maxConns = max(n-reservedDescriptors, 64)
	return s
}

func (s Settings) check() error {
	for _, f := range []struct{ name, value string }{{"Upstream", s.upstream}, {"LinkAddress", s.linkAddress}} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return wasabistand.ErrInvalid.New("%s: %q, allowed is IP:port", f.name, f.value)
		}
	}
	if s.instance == "" || s.service == "" {
		return wasabistand.ErrInvalid.New("Instance %q, Service %q: must not be empty", s.instance, s.service)
	}
	if s.headers.RequestID == "" || s.headers.Timeout == "" {
		return wasabistand.ErrInvalid.New("Headers: RequestID and Timeout must be named")
	}
	if !(s.budgetRatio >= 0) || s.budgetWindow <= 0 {
		return wasabistand.ErrInvalid.New("Budget: ratio %v over %v, allowed are 0 and above over a positive time", s.budgetRatio, s.budgetWindow)
	}
	return nil
}
