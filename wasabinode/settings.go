package wasabinode

import (
	"net/url"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Settings holds the settings of a node. It is an immutable value.
type Settings struct {
	instance        string
	incarnation     uint64
	service         string
	location        wasabistand.Location
	trafficAddress  string
	linkAddress     string
	adminAddress    string
	upstream        string
	slots           int
	connections     int
	drainTime       time.Duration
	leaveTime       time.Duration
	goAwayTime      time.Duration
	claimTimeout    time.Duration
	responseReserve time.Duration
	headerTimeout   time.Duration
	bodyIdleTimeout time.Duration
	idleTimeout     time.Duration
	watchInterval   time.Duration
	coldTime        time.Duration
	maxHeaderBytes  int
	replayBytes     int
	maxOpenCalls    int
	maxCallers      int
}

// NewSettings returns the default settings of the node of one upstream. The
// upstream is an http URL without a path.
func NewSettings(instance, service, upstream string) Settings {
	return Settings{
		instance:       instance,
		incarnation:    uint64(time.Now().UnixNano()),
		service:        service,
		location:       wasabistand.Location{Region: "local", FailureDomain: "local"},
		trafficAddress: "127.0.0.1:0",
		linkAddress:    "127.0.0.1:0",
		adminAddress:   "127.0.0.1:0",
		upstream:       upstream,
		slots:          16,
		connections:    64,
		drainTime:      time.Minute,
		// Routes change within 1 s, and an instance that leaves must get no new
		// calls after 3 s.
		leaveTime: 2 * time.Second,
		// Several times the latency between regions: the go-away message must
		// arrive, and so must the streams that were opened before.
		goAwayTime: 100 * time.Millisecond,
		// A claim takes a few milliseconds within a region; refusing the call is
		// better than waiting longer than this.
		claimTimeout: 250 * time.Millisecond,
		// The response still passes each hop and link, so an upstream that
		// finishes just before the caller's deadline would do wasted work.
		responseReserve: 250 * time.Millisecond,
		headerTimeout:   10 * time.Second,
		bodyIdleTimeout: 30 * time.Second,
		idleTimeout:     2 * time.Minute,
		watchInterval:   250 * time.Millisecond,
		// Longer than most upstreams need to fill their caches and connection
		// pools.
		coldTime:       10 * time.Second,
		maxHeaderBytes: 32 << 10,
		replayBytes:    64 << 10,
		maxOpenCalls:   4096,
		maxCallers:     4096,
	}
}

// WithIncarnation returns a copy with another incarnation. It must increase with
// each start of the same instance.
func (s Settings) WithIncarnation(n uint64) Settings { s.incarnation = n; return s }

// WithLocation returns a copy with another region and failure domain.
func (s Settings) WithLocation(l wasabistand.Location) Settings { s.location = l; return s }

// WithAddresses returns a copy that listens on other addresses. An empty admin
// address disables the admin endpoint.
func (s Settings) WithAddresses(traffic, link, admin string) Settings {
	s.trafficAddress, s.linkAddress, s.adminAddress = traffic, link, admin
	return s
}

// WithCapacity returns a copy with another number of slots and connections of
// the upstream.
func (s Settings) WithCapacity(slots, connections int) Settings {
	s.slots, s.connections = slots, connections
	return s
}

// WithDrainTime returns a copy that waits at most d for calls in flight on
// shutdown.
func (s Settings) WithDrainTime(d time.Duration) Settings { s.drainTime = d; return s }

// WithLeaveTime returns a copy that accepts new calls for d after it announced
// that it leaves.
func (s Settings) WithLeaveTime(d time.Duration) Settings { s.leaveTime = d; return s }

// WithGoAwayTime returns a copy that keeps links open for at least d after it
// asked other nodes to open no more streams on them.
func (s Settings) WithGoAwayTime(d time.Duration) Settings { s.goAwayTime = d; return s }

// WithClaimTimeout returns a copy that waits at most d for a claim.
func (s Settings) WithClaimTimeout(d time.Duration) Settings { s.claimTimeout = d; return s }

// WithResponseReserve returns a copy that reserves an eighth of a call's timeout,
// at most d, for returning the response: the upstream's deadline is earlier by
// that time.
func (s Settings) WithResponseReserve(d time.Duration) Settings { s.responseReserve = d; return s }

// WithTimeouts returns a copy with other timeouts for reading a request's
// headers, for pauses within a body and for idle connections.
func (s Settings) WithTimeouts(header, bodyIdle, idle time.Duration) Settings {
	s.headerTimeout, s.bodyIdleTimeout, s.idleTimeout = header, bodyIdle, idle
	return s
}

// WithWatchInterval returns a copy that probes an unreachable upstream every d.
func (s Settings) WithWatchInterval(d time.Duration) Settings { s.watchInterval = d; return s }

// WithColdTime returns a copy that announces its instance as cold for at most d
// after the upstream began to accept connections.
func (s Settings) WithColdTime(d time.Duration) Settings { s.coldTime = d; return s }

// WithMaxHeaderBytes returns a copy with another limit for the size of a
// request's headers.
func (s Settings) WithMaxHeaderBytes(n int) Settings { s.maxHeaderBytes = n; return s }

// WithReplayBytes returns a copy that buffers at most n bytes of a request body
// for retries.
func (s Settings) WithReplayBytes(n int) Settings { s.replayBytes = n; return s }

// WithMaxOpenCalls returns a copy that allows at most n open calls from callers,
// and n open calls for the upstream.
func (s Settings) WithMaxOpenCalls(n int) Settings { s.maxOpenCalls = n; return s }

// WithMaxCallers returns a copy that tracks the rate limits of at most n callers.
func (s Settings) WithMaxCallers(n int) Settings { s.maxCallers = n; return s }

// Instance returns the initial announcement of a node with these settings and
// the bound addresses.
func (s Settings) Instance(link, admin string) wasabistand.Instance {
	return wasabistand.Instance{
		ID:           s.instance,
		Incarnation:  s.incarnation,
		Sequence:     1,
		Service:      s.service,
		LinkAddress:  link,
		AdminAddress: admin,
		Location:     s.location,
		Slots:        s.slots,
		Connections:  s.connections,
		State:        wasabistand.Cold,
	}
}

// String returns the instance ID.
func (s Settings) String() string { return s.instance }

func (s Settings) check() (*url.URL, error) {
	u, err := url.Parse(s.upstream)
	switch {
	case err != nil:
		return nil, wasabistand.ErrInvalid.New("upstream: %v", err)
	case u.Scheme != "http" || u.Host == "" || u.Path != "" && u.Path != "/":
		return nil, wasabistand.ErrInvalid.New("upstream: %q, allowed is http://IP:port", s.upstream)
	case s.instance == "":
		return nil, wasabistand.ErrInvalid.New("instance: empty, allowed is a name")
	case s.service == "":
		return nil, wasabistand.ErrInvalid.New("service: empty, allowed is a name")
	}
	for _, f := range []struct {
		name  string
		value int
	}{
		{"slots", s.slots},
		{"connections", s.connections},
		{"max header bytes", s.maxHeaderBytes},
		{"max open calls", s.maxOpenCalls},
		{"max callers", s.maxCallers},
	} {
		if f.value < 1 {
			return nil, wasabistand.ErrInvalid.New("%s: %d, allowed is at least 1", f.name, f.value)
		}
	}
	if s.connections < s.slots {
		return nil, wasabistand.ErrInvalid.New("connections: %d, allowed is at least the %d slots", s.connections, s.slots)
	}
	return u, nil
}
