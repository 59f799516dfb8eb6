package wasabinode

import (
	"net/url"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Settings are the settings of a node: an immutable value.
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
	claimTime       time.Duration
	answerReserve   time.Duration
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

// NewSettings returns the default settings of the node beside one upstream.
// The upstream is an http URL without a path.
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
		// Routes change within a second; an upstream that leaves must get no
		// new work after 3 s.
		leaveTime: 2 * time.Second,
		// Several times the way between regions, for the word to open no
		// more streams to arrive, and for what was sent before it.
		goAwayTime: 100 * time.Millisecond,
		// A claim takes a few milliseconds within a region; one that takes
		// longer than this is better refused than waited for.
		claimTime: 250 * time.Millisecond,
		// An upstream that finishes at the last moment of the caller's patience
		// has worked for nothing: the answer still passes each hop and link.
		answerReserve:   250 * time.Millisecond,
		headerTimeout:   10 * time.Second,
		bodyIdleTimeout: 30 * time.Second,
		idleTimeout:     2 * time.Minute,
		watchInterval:   250 * time.Millisecond,
		// Longer than most upstreams take to fill their caches and pools.
		coldTime:       10 * time.Second,
		maxHeaderBytes: 32 << 10,
		replayBytes:    64 << 10,
		maxOpenCalls:   4096,
		maxCallers:     4096,
	}
}

// WithIncarnation returns a copy with another incarnation. It must rise with
// each start of the same instance.
func (s Settings) WithIncarnation(n uint64) Settings { s.incarnation = n; return s }

// WithLocation returns a copy in another failure domain.
func (s Settings) WithLocation(l wasabistand.Location) Settings { s.location = l; return s }

// WithAddresses returns a copy that listens on other addresses. An empty admin
// address serves no admin endpoint.
func (s Settings) WithAddresses(traffic, link, admin string) Settings {
	s.trafficAddress, s.linkAddress, s.adminAddress = traffic, link, admin
	return s
}

// WithCapacity returns a copy with other slots and connections of the
// upstream.
func (s Settings) WithCapacity(slots, connections int) Settings {
	s.slots, s.connections = slots, connections
	return s
}

// WithDrainTime returns a copy that waits at most d for calls in flight when
// the node leaves.
func (s Settings) WithDrainTime(d time.Duration) Settings { s.drainTime = d; return s }

// WithLeaveTime returns a copy that takes new work for d after it announced
// that it leaves.
func (s Settings) WithLeaveTime(d time.Duration) Settings { s.leaveTime = d; return s }

// WithGoAwayTime returns a copy that keeps links open for d after it asked
// other nodes to open no more streams on them.
func (s Settings) WithGoAwayTime(d time.Duration) Settings { s.goAwayTime = d; return s }

// WithClaimTime returns a copy that waits at most d for a claim.
func (s Settings) WithClaimTime(d time.Duration) Settings { s.claimTime = d; return s }

// WithAnswerReserve returns a copy that ends the work for a request an eighth of
// its caller's patience early, but at most d.
func (s Settings) WithAnswerReserve(d time.Duration) Settings { s.answerReserve = d; return s }

// WithTimeouts returns a copy with other bounds on reading a request's
// headers, on silence within a body and on idle connections.
func (s Settings) WithTimeouts(header, bodyIdle, idle time.Duration) Settings {
	s.headerTimeout, s.bodyIdleTimeout, s.idleTimeout = header, bodyIdle, idle
	return s
}

// WithWatchInterval returns a copy that tries an upstream that refused
// connections again every d.
func (s Settings) WithWatchInterval(d time.Duration) Settings { s.watchInterval = d; return s }

// WithColdTime returns a copy that announces an upstream as cold for at most d
// after it accepts connections.
func (s Settings) WithColdTime(d time.Duration) Settings { s.coldTime = d; return s }

// WithMaxHeaderBytes returns a copy with another bound on a request's headers.
func (s Settings) WithMaxHeaderBytes(n int) Settings { s.maxHeaderBytes = n; return s }

// WithReplayBytes returns a copy that keeps at most n bytes of a body for
// retries.
func (s Settings) WithReplayBytes(n int) Settings { s.replayBytes = n; return s }

// WithMaxOpenCalls returns a copy that holds at most n calls of callers, and n
// calls for the upstream, at once.
func (s Settings) WithMaxOpenCalls(n int) Settings { s.maxOpenCalls = n; return s }

// WithMaxCallers returns a copy that tracks the shares of at most n callers.
func (s Settings) WithMaxCallers(n int) Settings { s.maxCallers = n; return s }

// Instance returns the first announcement of a node with these settings that
// is bound to the addresses.
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

// String returns the instance.
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
