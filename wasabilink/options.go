// Package wasabilink carries protobuf frames over yamux between the system's
// processes. It detects dead links by heartbeats of its own and selects which
// of several links to a peer is used. What a stream carries and how a call
// handles the loss of its link are up to the packages that use it.
package wasabilink

import (
	"context"
	"net"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("link")

// ErrSilent is the class of errors of a link whose peer stopped responding.
var ErrSilent = errs.Class("link silent")

// Version is the protocol version. Both ends of a link must use the same one.
const Version = 1

// CallVersion is the version of the frames of routed calls. Ends of a link may differ in
// it.
const CallVersion = 1

// Clock is the hybrid logical clock whose times heartbeats exchange, so that
// the times of two processes respect causal order.
type Clock interface {
	Now() wasabistand.HybridTime
	Observe(t wasabistand.HybridTime)
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options holds the settings of links. It is immutable.
type Options struct {
	cluster               string
	instance              string
	incarnation           uint64
	heartbeatInterval     time.Duration
	idleHeartbeatInterval time.Duration
	suspectAfter          time.Duration
	silentAfter           time.Duration
	closeIdleAfter        time.Duration
	maxFrameBytes         int
	maxLinks              int
	clock                 Clock
	dial                  DialFunc
	onSilent              func(address string)
}

// NewOptions returns the default settings for one process of a cluster.
func NewOptions(cluster, instance string, incarnation uint64) Options {
	var d net.Dialer
	return Options{
		cluster:           cluster,
		instance:          instance,
		incarnation:       incarnation,
		heartbeatInterval: 250 * time.Millisecond,
		// An idle link is pinged only often enough to keep the connection's
		// state in middleboxes (NAT, firewalls), so that the cost of
		// heartbeats hardly grows with the number of known instances.
		idleHeartbeatInterval: 10 * time.Second,
		suspectAfter:          500 * time.Millisecond,
		silentAfter:           time.Second,
		closeIdleAfter:        time.Minute,
		maxFrameBytes:         2 << 20,
		maxLinks:              4096,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
	}
}

// WithHeartbeat returns a copy that checks every interval whether anything was
// received while streams were open, and pings the peer if not. A link is
// suspect once the peer has been silent for suspect, and is closed after silent.
func (o Options) WithHeartbeat(interval, suspect, silent time.Duration) Options {
	o.heartbeatInterval, o.suspectAfter, o.silentAfter = interval, suspect, silent
	return o
}

// WithIdle returns a copy that pings idle links every interval and closes
// them after closeAfter.
func (o Options) WithIdle(interval, closeAfter time.Duration) Options {
	o.idleHeartbeatInterval, o.closeIdleAfter = interval, closeAfter
	return o
}

// WithMaxFrameBytes returns a copy that rejects frames of more than n bytes.
func (o Options) WithMaxFrameBytes(n int) Options {
	o.maxFrameBytes = n
	return o
}

// WithMaxLinks returns a copy that bounds the links of a pool or a listener.
func (o Options) WithMaxLinks(n int) Options {
	o.maxLinks = n
	return o
}

// WithClock returns a copy that exchanges hybrid times in heartbeats.
func (o Options) WithClock(c Clock) Options {
	o.clock = c
	return o
}

// WithDial returns a copy that opens connections with d.
func (o Options) WithDial(d DialFunc) Options {
	o.dial = d
	return o
}

// WithOnSilent returns a copy that calls f when a link is closed because the
// peer stopped responding.
func (o Options) WithOnSilent(f func(address string)) Options {
	o.onSilent = f
	return o
}
