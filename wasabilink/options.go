// Package wasabilink carries protobuf frames over yamux between the system's
// processes. It decides whether a link is alive, by heartbeats of its own, and
// which of several links to a peer is used. It does not decide what a stream
// carries, nor what the loss of a link means for a call.
package wasabilink

import (
	"context"
	"net"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("link")

// ErrSilent is the class of errors of a link that stopped answering.
var ErrSilent = errs.Class("link silent")

// Version is the protocol version that both ends of a link must share.
const Version = 1

// Clock stamps heartbeats, so that the clocks of two processes keep cause
// before effect.
type Clock interface {
	Now() wasabistand.HybridTime
	Observe(t wasabistand.HybridTime)
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options are the settings of links: an immutable value.
type Options struct {
	cluster       string
	instance      string
	incarnation   uint64
	heartbeat     time.Duration
	idleHeartbeat time.Duration
	suspect       time.Duration
	silent        time.Duration
	idleClose     time.Duration
	maxFrameBytes int
	maxLinks      int
	clock         Clock
	dial          DialFunc
	onSilent      func(address string)
}

// NewOptions returns the default settings for one process of a cluster.
func NewOptions(cluster, instance string, incarnation uint64) Options {
	var d net.Dialer
	return Options{
		cluster:     cluster,
		instance:    instance,
		incarnation: incarnation,
		heartbeat:   250 * time.Millisecond,
		// An idle link is only probed often enough to keep the state in
		// middleboxes, so that heartbeats cost nothing per instance known.
		idleHeartbeat: 10 * time.Second,
		suspect:       500 * time.Millisecond,
		silent:        time.Second,
		idleClose:     time.Minute,
		maxFrameBytes: 2 << 20,
		maxLinks:      4096,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
	}
}

// WithHeartbeat returns a copy that looks every interval whether the peer has
// said anything while streams were open, and pings it if not. A link is
// suspect once the peer has been quiet for suspect, and ends after silent.
func (o Options) WithHeartbeat(interval, suspect, silent time.Duration) Options {
	o.heartbeat, o.suspect, o.silent = interval, suspect, silent
	return o
}

// WithIdle returns a copy that pings idle links every interval and closes
// them after closeAfter.
func (o Options) WithIdle(interval, closeAfter time.Duration) Options {
	o.idleHeartbeat, o.idleClose = interval, closeAfter
	return o
}

// WithMaxFrameBytes returns a copy that refuses larger frames.
func (o Options) WithMaxFrameBytes(n int) Options {
	o.maxFrameBytes = n
	return o
}

// WithMaxLinks returns a copy that bounds the links of a pool.
func (o Options) WithMaxLinks(n int) Options {
	o.maxLinks = n
	return o
}

// WithClock returns a copy that exchanges hybrid time in heartbeats.
func (o Options) WithClock(c Clock) Options {
	o.clock = c
	return o
}

// WithDial returns a copy that opens connections by d.
func (o Options) WithDial(d DialFunc) Options {
	o.dial = d
	return o
}

// WithOnSilent returns a copy that calls f when a link goes silent.
func (o Options) WithOnSilent(f func(address string)) Options {
	o.onSilent = f
	return o
}
