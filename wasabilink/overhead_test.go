package wasabilink_test

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// countingConn counts the writes of one end of a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// countingDialer returns a DialFunc for n that counts the writes of the dialing
// end.
func countingDialer(n *network, writes *atomic.Int64) wasabilink.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := n.dial(ctx, address)
		return &countingConn{c, writes}, err
	}
}

// TestLinkOverhead runs its cases in one synctest bubble, as TestLinks does.
func TestLinkOverhead(t *testing.T) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		callIsSentInOneWrite(t)
		busyLinkIsNotPinged(t)
		unansweredPingEndsLink(t)
		closeDoesNotWaitForPeer(t)
		contextEndsDuringFailedOpen(t)
	})
}

// Guards against sending the frames that open and close streams in separate
// packets, each of which wakes the peer.
func callIsSentInOneWrite(t *testing.T) {
	t.Helper()
	const calls = 100
	n := newNetwork()
	var writes atomic.Int64
	ln := wasabilink.Serve(n, options("b"), func(_ context.Context, _ wasabistandv1.StreamOpen_Kind, s *wasabilink.Stream) {
		var f wasabistandv1.CallFrame
		if s.Receive(&f) == nil {
			_ = s.Send(&f)
		}
	})
	l, err := wasabilink.Dial(t.Context(), "b", options("a").WithDial(countingDialer(n, &writes)), nil)
	assert.NilError(t, err)
	before := writes.Load()
	for range calls {
		s, _, err := l.OpenWith(t.Context(), wasabistandv1.StreamOpen_KIND_ROUTED, body("x"))
		assert.NilError(t, err)
		var f wasabistandv1.CallFrame
		assert.NilError(t, s.Receive(&f))
		s.Finish()
	}
	assert.Equal(t, writes.Load()-before, int64(calls))
	assert.NilError(t, l.Close())
	assert.NilError(t, ln.Close())
}

// Guards against pings on links whose call traffic shows that the peer is alive.
func busyLinkIsNotPinged(t *testing.T) {
	t.Helper()
	const calls = 50
	n := newNetwork()
	var writes atomic.Int64
	ln := wasabilink.Serve(n, options("b"), echo)
	l, err := wasabilink.Dial(t.Context(), "b", options("a").WithDial(countingDialer(n, &writes)), nil)
	assert.NilError(t, err)
	before := writes.Load()
	s, err := l.Open(wasabistandv1.StreamOpen_KIND_CALL)
	assert.NilError(t, err)
	for range calls {
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, s.Send(body("x")))
		var f wasabistandv1.CallFrame
		assert.NilError(t, s.Receive(&f))
	}
	// The only other write opens the stream.
	assert.Equal(t, writes.Load()-before, int64(calls+1))
	assert.NilError(t, l.Close())
	assert.NilError(t, ln.Close())
}

// Guards against a link that stays open although frames were lost on it: bytes
// received later must not cancel an unanswered ping.
func unansweredPingEndsLink(t *testing.T) {
	t.Helper()
	n := newNetwork()
	ln := wasabilink.Serve(n, options("b"), sendPeriodically)
	l, err := wasabilink.Dial(t.Context(), "b", options("a").WithDial(n.dial), nil)
	assert.NilError(t, err)
	s, _, err := l.OpenWith(t.Context(), wasabistandv1.StreamOpen_KIND_ROUTED, body("x"))
	assert.NilError(t, err)
	dropping := n.dropping.Load()
	time.Sleep(time.Second)
	start := time.Now()
	dropping.Store(true)
	time.Sleep(600 * time.Millisecond)
	dropping.Store(false)
	for err == nil {
		var f wasabistandv1.CallFrame
		err = s.Receive(&f)
	}
	assert.Assert(t, time.Since(start) <= 1600*time.Millisecond, "took %v", time.Since(start))
	assert.NilError(t, l.Close())
	assert.NilError(t, ln.Close())
}

// sendPeriodically sends a frame every 100 ms in response to a call.
func sendPeriodically(ctx context.Context, _ wasabistandv1.StreamOpen_Kind, s *wasabilink.Stream) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.Send(body("y")) != nil {
				return
			}
		}
	}
}

// blockedConn is a connection whose writes, once blocked, wait for its close.
type blockedConn struct {
	net.Conn
	blocked *atomic.Bool
	closed  chan struct{}
}

func (s *blockedConn) Write(p []byte) (int, error) {
	if s.blocked.Load() {
		<-s.closed
		return 0, net.ErrClosed
	}
	return s.Conn.Write(p)
}

func (s *blockedConn) Close() error {
	close(s.closed)
	return s.Conn.Close()
}

// Guards against a close that waits for a peer which does not read, while the
// link's yamux readers spin.
func closeDoesNotWaitForPeer(t *testing.T) {
	t.Helper()
	n := newNetwork()
	ln := wasabilink.Serve(n, options("b"), echo)
	var blocked atomic.Bool
	l, err := wasabilink.Dial(t.Context(), "b", options("a").WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := n.dial(ctx, address)
		return &blockedConn{c, &blocked, make(chan struct{})}, err
	}), nil)
	assert.NilError(t, err)
	blocked.Store(true)
	_, _, err = l.OpenWith(t.Context(), wasabistandv1.StreamOpen_KIND_ROUTED, body("x"))
	assert.NilError(t, err)
	synctest.Wait()
	start := time.Now()
	assert.NilError(t, l.Close())
	assert.Equal(t, time.Since(start), time.Duration(0))
	assert.NilError(t, ln.Close())
}

// Guards against a crash of the whole process when the context is canceled
// concurrently with a failed opening of a stream.
func contextEndsDuringFailedOpen(t *testing.T) {
	t.Helper()
	const calls = 2000
	n := newNetwork()
	ln := wasabilink.Serve(n, options("b"), echo)
	l, err := wasabilink.Dial(t.Context(), "b", options("a").WithMaxFrameBytes(1<<10).WithDial(n.dial), nil)
	assert.NilError(t, err)
	large := body(string(make([]byte, 4<<10)))
	for range calls {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, sent, err := l.OpenWith(ctx, wasabistandv1.StreamOpen_KIND_ROUTED, large)
		assert.ErrorContains(t, err, "frame of")
		assert.Assert(t, !sent)
	}
	assert.NilError(t, l.Close())
	assert.NilError(t, ln.Close())
}
