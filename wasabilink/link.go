package wasabilink

import (
	"context"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// handshakeTimeout bounds the exchange of hellos, so that a peer that connects
// and sends nothing does not hold resources.
const handshakeTimeout = 5 * time.Second

// sessionCloseTimeout bounds the wait for the reader of a closed connection.
// With a network connection, the reader ends at once.
const sessionCloseTimeout = time.Second

// rejectionLinger is how long a listener that rejects a hello keeps the
// connection open for the dialer to read the listener's own hello.
const rejectionLinger = time.Second

// processStart is the origin of the monotonic times in this package. The
// heartbeats of all links of the process are aligned to it, so that one wake-up
// serves them all.
var processStart = time.Now()

// monotonicNow returns the monotonic time since processStart. Wall-clock time
// may jump.
func monotonicNow() time.Duration { return time.Since(processStart) }

// timeUnset is the monotonic time that means "none".
const timeUnset = time.Duration(math.MinInt64)

// atomicTime is a monotonic time that is safe for concurrent use.
type atomicTime struct{ nanos atomic.Int64 }

func (t *atomicTime) store(d time.Duration) { t.nanos.Store(int64(d)) }
func (t *atomicTime) load() time.Duration   { return time.Duration(t.nanos.Load()) }

// Handler serves one stream that the peer opened. The context is canceled when
// the link ends. The stream is closed when the handler returns.
type Handler func(ctx context.Context, kind wasabistandv1.StreamOpen_Kind, s *Stream)

// Peer identifies the process at the other end of a link.
type Peer struct {
	Instance    string
	Incarnation uint64
	// CallVersion is the version of the frames of routed calls that the process knows.
	CallVersion uint32
}

// Link is one connection to a peer with its multiplexed streams. It is safe for
// concurrent use.
type Link struct {
	options Options
	address string
	conn    *frameConn
	session *yamux.Session
	control *Stream
	peer    Peer
	handler Handler

	streams atomic.Int64
	lastUse atomicTime
	reads   pendingReads
	// activeSince is when the number of open streams last rose from zero.
	activeSince atomicTime
	// unansweredSince is the start of the peer's silence while a ping is
	// unanswered, timeUnset if none is.
	unansweredSince atomicTime
	goneAway        atomic.Bool

	ctx       context.Context
	cancel    context.CancelCauseFunc
	wait      sync.WaitGroup
	closeOnce sync.Once
}

func yamuxConfig(o Options) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = 1024
	c.ConnectionWriteTimeout = 5 * time.Second
	// On an idle link, a deferred close frame may wait for the next ping.
	c.StreamCloseTimeout = 2*o.idleHeartbeatInterval + c.ConnectionWriteTimeout
	// The link's own pings detect a peer that does not respond.
	c.StreamOpenTimeout = 0
	c.LogOutput = io.Discard
	return c
}

// Dial opens a link to an address. With a nil handler, streams that the peer
// opens are closed.
func Dial(ctx context.Context, address string, o Options, h Handler) (*Link, error) {
	conn, err := openConn(ctx, address, o.dial)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return newLink(ctx, conn, address, o, h, true)
}

func newLink(ctx context.Context, conn net.Conn, address string, o Options, h Handler, client bool) (*Link, error) {
	deadline := time.Now().Add(handshakeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	open := yamux.Server
	if client {
		open = yamux.Client
	}
	l := &Link{options: o, address: address, handler: h}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.conn = newFrameConn(conn, l.handleReadError)
	var err error
	if l.session, err = open(l.conn, yamuxConfig(o)); err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, l.closeSession)
	err = l.handshake(client, deadline)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		l.cancel(Error.Wrap(err))
		l.closeSession()
		return nil, Error.Wrap(err)
	}
	l.lastUse.store(monotonicNow())
	l.unansweredSince.store(timeUnset)
	l.wait.Add(3)
	go l.readControl()
	go l.runHeartbeat()
	go l.acceptStreams()
	return l, nil
}

func (l *Link) handshake(client bool, deadline time.Time) error {
	timer := time.AfterFunc(time.Until(deadline), l.closeSession)
	defer timer.Stop()
	var raw *yamux.Stream
	var err error
	if client {
		raw, err = l.session.OpenStream()
	} else {
		raw, err = l.session.AcceptStream()
	}
	if err != nil {
		return err
	}
	l.control = newStream(l, raw)
	l.streams.Add(-1) // The control stream does not count as use.
	local := &wasabistandv1.LinkHello{Cluster: l.options.cluster, Version: Version, Instance: l.options.instance, Incarnation: l.options.incarnation, CallVersion: CallVersion}
	// This send may fail because the peer rejected the link and closed it; the
	// hello that the peer sent before still shows the reason.
	sendErr := l.control.Send(&wasabistandv1.LinkControl{Kind: &wasabistandv1.LinkControl_Hello{Hello: local}})
	var frame wasabistandv1.LinkControl
	if err := l.control.Receive(&frame); err != nil {
		return err
	}
	if err := l.checkHello(frame.GetHello()); err != nil {
		if !client {
			// The dialer must read this end's hello before the connection closes.
			_ = l.control.SetDeadline(time.Now().Add(rejectionLinger))
			_ = l.control.Receive(&frame)
		}
		return err
	}
	return sendErr
}

// checkHello validates the peer's hello and stores the peer's identity.
func (l *Link) checkHello(remote *wasabistandv1.LinkHello) error {
	switch {
	case remote == nil:
		return Error.New("first frame is not a hello")
	case remote.Cluster != l.options.cluster:
		return Error.New("peer %q is of cluster %q, allowed is %q", remote.Instance, remote.Cluster, l.options.cluster)
	case remote.Version != Version:
		return Error.New("peer %q has protocol version %d, allowed is %d", remote.Instance, remote.Version, Version)
	}
	l.peer = Peer{Instance: remote.Instance, Incarnation: remote.Incarnation, CallVersion: remote.CallVersion}
	return nil
}

// Peer returns the identity of the process at the other end.
func (l *Link) Peer() Peer { return l.peer }

// Address returns the dialed or remote address.
func (l *Link) Address() string { return l.address }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.ctx.Done() }

// Err returns why the link ended, nil while it is open.
func (l *Link) Err() error {
	if l.ctx.Err() == nil {
		return nil
	}
	return context.Cause(l.ctx)
}

// Suspect reports whether a ping is unanswered and the peer's silence has
// reached the suspicion timeout.
func (l *Link) Suspect() bool {
	since := l.unansweredSince.load()
	return since != timeUnset && monotonicNow()-since >= l.options.suspectAfter
}

// Usable reports whether new streams should be opened on the link.
func (l *Link) Usable() bool {
	return l.ctx.Err() == nil && !l.goneAway.Load() && !l.Suspect()
}

// Streams returns the number of open streams.
func (l *Link) Streams() int { return int(l.streams.Load()) }

// Open opens a stream of the given kind without sending a frame to the peer's
// handler. An error means that the handler received no frame.
func (l *Link) Open(kind wasabistandv1.StreamOpen_Kind) (*Stream, error) {
	s, err := l.open()
	if err != nil {
		return nil, err
	}
	if err := s.Send(&wasabistandv1.StreamOpen{Kind: kind}); err != nil {
		_ = s.Close()
		return nil, err
	}
	s.wrote.Store(false)
	return s, nil
}

// OpenWith opens a stream of the given kind and sends its first frame together
// with the opening. On an error, it reports whether the frame may have been
// sent. Canceling the context aborts a write that the peer does not read.
func (l *Link) OpenWith(ctx context.Context, kind wasabistandv1.StreamOpen_Kind, first proto.Message) (*Stream, bool, error) {
	s, err := l.open()
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(expired) })
	defer stop()
	if err := s.send(&wasabistandv1.StreamOpen{Kind: kind}, first); err != nil {
		sent := s.Wrote()
		_ = s.Close()
		return nil, sent, err
	}
	return s, true, nil
}

func (l *Link) open() (*Stream, error) {
	if err := l.Err(); err != nil {
		return nil, err
	}
	raw, err := l.session.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return newStream(l, raw), nil
}

// GoAway asks the peer to open no more streams.
func (l *Link) GoAway(reason string) {
	_ = l.control.Send(&wasabistandv1.LinkControl{Kind: &wasabistandv1.LinkControl_GoAway{GoAway: &wasabistandv1.LinkGoAway{Reason: reason}}})
}

// Close closes the link and waits for its handlers to return.
func (l *Link) Close() error {
	l.end(Error.New("link closed"))
	l.wait.Wait()
	l.conn.waitForWriters()
	return nil
}

// String returns the peer and its address.
func (l *Link) String() string { return l.peer.Instance + "@" + l.address }

func (l *Link) end(cause error) {
	l.closeOnce.Do(func() {
		l.cancel(cause)
		l.conn.yieldToWriter()
		l.closeSession()
	})
}

// handleReadError ends the reads of all streams when the connection has failed,
// before yamux learns of it.
func (l *Link) handleReadError(err error) {
	l.cancel(Error.Wrap(err))
	l.reads.end()
}

// closeSession ends the reads of all streams, then closes the connection, which
// ends the session's reader, and then the session. Otherwise the readers of the
// streams would spin from the shutdown of the session until yamux has ended each
// stream, and contend with it for their locks.
func (l *Link) closeSession() {
	l.reads.end()
	_ = l.conn.Close()
	limit := time.NewTimer(sessionCloseTimeout)
	defer limit.Stop()
	select {
	case <-l.session.CloseChan():
	case <-limit.C:
	}
	_ = l.session.Close()
}

func (l *Link) acceptStreams() {
	defer l.wait.Done()
	for {
		raw, err := l.session.AcceptStream()
		if err != nil {
			l.end(Error.Wrap(err))
			return
		}
		s := newStream(l, raw)
		if l.handler == nil {
			_ = s.Close()
			continue
		}
		l.wait.Go(func() {
			defer s.Close()
			var open wasabistandv1.StreamOpen
			if err := s.Receive(&open); err != nil {
				return
			}
			l.handler(l.ctx, open.Kind, s)
		})
	}
}

func (l *Link) readControl() {
	defer l.wait.Done()
	for {
		var frame wasabistandv1.LinkControl
		if err := l.control.Receive(&frame); err != nil {
			l.end(Error.Wrap(err))
			return
		}
		switch k := frame.Kind.(type) {
		case *wasabistandv1.LinkControl_Ping:
			l.observe(k.Ping.Time)
			pong := &wasabistandv1.LinkPong{Sequence: k.Ping.Sequence, Time: l.now()}
			if err := l.control.Send(&wasabistandv1.LinkControl{Kind: &wasabistandv1.LinkControl_Pong{Pong: pong}}); err != nil {
				l.end(Error.Wrap(err))
				return
			}
		case *wasabistandv1.LinkControl_Pong:
			l.observe(k.Pong.Time)
			l.unansweredSince.store(timeUnset)
		case *wasabistandv1.LinkControl_GoAway:
			l.goneAway.Store(true)
		}
	}
}
