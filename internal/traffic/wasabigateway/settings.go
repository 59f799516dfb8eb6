// Package wasabigateway is a node's part in routed requests: it takes requests
// of callers by host and path, places each at an instance of the route's
// service, and is the last gate in front of its own instance. It drives the
// decision parts with connections, links and timers. What a configuration may
// say, and which instances exist, is decided elsewhere.
package wasabigateway

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Headers names the header fields that callers, nodes and upstreams use. An
// empty name leaves a field out.
type Headers struct {
	// RequestID identifies one attempt of a caller. Upstreams repeat it.
	RequestID string
	// Timeout is how many milliseconds the sender waits.
	Timeout string
	// Signature stands on answers that an upstream made.
	Signature string
	// NotRun stands on an upstream's answer to a request that it did not run.
	NotRun string
	// Expected is the instance that a request is meant for.
	Expected string
	// Origin is the service on whose instance's side a request began.
	Origin string
	// Instance is the upstream's name in answers to health checks.
	Instance string
}

// Settings are the settings of a gateway: an immutable value.
type Settings struct {
	instance      string
	service       string
	location      wasabistand.Location
	linkAddress   string
	headers       Headers
	upstream      string
	maxConns      int
	budgetWindow  time.Duration
	budgetRatio   float64
	acceptFor     time.Duration
	refuseAfter   time.Duration
	stopAfter     time.Duration
	drainGrace    time.Duration
	bodyBytes     int64
	answerBytes   int
	bufferBytes   int64
	answerGrace   time.Duration
	queueLimit    int
	firstUse      time.Duration
	firstSession  time.Duration
	maxPlacements int
}

// NewSettings returns the default settings of the gateway beside one instance
// of a service, which listens at an address.
func NewSettings(instance, service, upstream string) Settings {
	return Settings{
		instance: instance, service: service, upstream: upstream,
		linkAddress:  "127.0.0.1:7411",
		maxConns:     2048,
		budgetWindow: 10 * time.Second,
		budgetRatio:  0.1,
		// Callers turn elsewhere after two failed checks, one second apart.
		acceptFor: 3 * time.Second,
		// Whoever still comes is sent away, so that the stop ends.
		refuseAfter: 3500 * time.Millisecond,
		stopAfter:   5 * time.Second,
		// Other nodes hear of a drain within this time; those that have not
		// are refused as not run.
		drainGrace: time.Second,
		// Bodies up to this size are held, so that they can be sent again.
		bodyBytes:   512 << 10,
		answerBytes: 256 << 10,
		bufferBytes: 48 << 20,
		// The way back of an answer that was made in time, between regions.
		answerGrace: 100 * time.Millisecond,
		queueLimit:  400,
		firstUse:    time.Second,
		// A session with a control group that answers opens within some round
		// trips between regions.
		firstSession:  150 * time.Millisecond,
		maxPlacements: 4,
	}
}

// WithLocation returns a copy for another region and failure domain.
func (s Settings) WithLocation(l wasabistand.Location) Settings {
	s.location = l
	return s
}

// WithLinkAddress returns a copy that other nodes reach elsewhere.
func (s Settings) WithLinkAddress(address string) Settings {
	s.linkAddress = address
	return s
}

// WithHeaders returns a copy with other names of header fields.
func (s Settings) WithHeaders(h Headers) Settings {
	s.headers = h
	return s
}

// WithBudget returns a copy that keeps the repeats of a service below ratio of
// its requests in any window.
func (s Settings) WithBudget(window time.Duration, ratio float64) Settings {
	s.budgetWindow, s.budgetRatio = window, ratio
	return s
}

// WithGrace returns a copy that has d for a graceful stop: it takes requests
// for a part of it, and ends what is left while there is time to end in order.
func (s Settings) WithGrace(d time.Duration) Settings {
	s.acceptFor, s.refuseAfter, s.stopAfter = d/2, d*7/12, d*10/12
	return s
}

// WithDrainTime returns a copy that passes on no request later than d after
// the instance said that it leaves. Half of the time is left to other nodes,
// to hear of it.
func (s Settings) WithDrainTime(d time.Duration) Settings {
	s.drainGrace = d / 2
	return s
}

// WithFirstSession returns a copy whose first requests wait for d until the
// session with control is open.
func (s Settings) WithFirstSession(d time.Duration) Settings {
	s.firstSession = d
	return s
}

// bodyShare is the part of a process's memory that bodies may take.
const bodyShare = 6

// WithMemory returns a copy for a process that may use n bytes.
func (s Settings) WithMemory(n int64) Settings {
	s.bufferBytes = n / bodyShare
	return s
}

// reservedDescriptors are left to files, links and upstreams.
const reservedDescriptors = 1200

// WithDescriptors returns a copy for a process that may use n descriptors.
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
