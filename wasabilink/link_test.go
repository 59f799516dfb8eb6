package wasabilink_test

import (
	"context"
	"errors"
	"io"
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

// network connects dialers to one listener by pipes inside a synctest bubble.
type network struct {
	accept   chan net.Conn
	dropping atomic.Pointer[atomic.Bool] // of the latest connection
	dials    atomic.Int64
}

func newNetwork() *network { return &network{accept: make(chan net.Conn, 16)} }

func (n *network) Accept() (net.Conn, error) {
	c, ok := <-n.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (n *network) Close() error   { defer func() { _ = recover() }(); close(n.accept); return nil }
func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a dial that waits for the kernel to send a lost opening packet again:
// the peer had no power when the dial began, and is back shortly after.
func TestDialSurvivesLostOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		ln := wasabilink.Serve(n, options("b"), echo)
		var closed atomic.Int64
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			switch n.dials.Load() {
			case 0:
				n.dials.Add(1)
				<-ctx.Done()
				return nil, ctx.Err()
			case 1:
				// Opens too late, beside the next attempt.
				c, err := n.dial(ctx, address)
				time.Sleep(700 * time.Millisecond)
				return &countedClose{c, &closed}, err
			}
			return n.dial(ctx, address)
		}
		started := time.Now()
		l, err := wasabilink.Dial(t.Context(), "x", options("a").WithDial(dial), nil)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) <= 800*time.Millisecond, "took %v", time.Since(started))
		time.Sleep(time.Second)
		assert.Equal(t, closed.Load(), int64(1))
		assert.NilError(t, l.Close())
		assert.NilError(t, ln.Close())
	})
}

// countedClose counts the closes of a connection.
type countedClose struct {
	net.Conn
	closed *atomic.Int64
}

func (c *countedClose) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

func (n *network) dial(context.Context, string) (net.Conn, error) {
	n.dials.Add(1)
	a, b := net.Pipe()
	dropping := new(atomic.Bool)
	n.dropping.Store(dropping)
	n.accept <- &droppingConn{Conn: b, dropping: dropping}
	return &droppingConn{Conn: a, dropping: dropping}, nil
}

// droppingConn discards written bytes while dropping is set.
type droppingConn struct {
	net.Conn
	dropping *atomic.Bool
}

func (b *droppingConn) Write(p []byte) (int, error) {
	if b.dropping.Load() {
		return len(p), nil
	}
	return b.Conn.Write(p)
}

// TestLinks runs all cases one after the other in one synctest bubble: yamux
// keeps timers in a global sync.Pool, and a timer of one bubble must not reach
// another. Two garbage collections empty the pool for a repeated run.
func TestLinks(t *testing.T) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		silentLinkEndsStreamsWithinBound(t)
		poolReplacesSuspectLink(t)
		peerOfAnotherClusterIsRefused(t)
		slowStreamDoesNotBlockOthers(t)
		oversizedFrameIsRefused(t)
	})
}

func echo(_ context.Context, _ wasabistandv1.StreamOpen_Kind, s *wasabilink.Stream) {
	for {
		var f wasabistandv1.CallFrame
		if s.Receive(&f) != nil || s.Send(&f) != nil {
			return
		}
	}
}

// Close does not notify the peer while dropping is set.
func (b *droppingConn) Close() error {
	if b.dropping.Load() {
		return b.SetReadDeadline(time.Unix(1, 0))
	}
	return b.Conn.Close()
}

func body(b string) *wasabistandv1.CallFrame {
	return &wasabistandv1.CallFrame{Kind: &wasabistandv1.CallFrame_Body{Body: []byte(b)}}
}

func options(instance string) wasabilink.Options {
	return wasabilink.NewOptions("test", instance, 1)
}

// Guards against calls that wait for a TCP timeout when the peer stops
// responding.
func silentLinkEndsStreamsWithinBound(t *testing.T) {
	t.Helper()
	n := newNetwork()
	ln := wasabilink.Serve(n, options("b"), echo)
	p := wasabilink.NewPool(options("a").WithDial(n.dial), nil)
	l, err := p.Get(t.Context(), "b")
	assert.NilError(t, err)
	s, err := l.Open(wasabistandv1.StreamOpen_KIND_CALL)
	assert.NilError(t, err)
	assert.NilError(t, s.Send(body("x")))
	var f wasabistandv1.CallFrame
	assert.NilError(t, s.Receive(&f))
	assert.Equal(t, string(f.GetBody()), "x")

	n.dropping.Load().Store(true)
	start := time.Now()
	err = s.Receive(&f)
	assert.Assert(t, wasabilink.ErrSilent.Has(err), "%v", err)
	assert.Assert(t, time.Since(start) <= 1600*time.Millisecond, "took %v", time.Since(start))
	assert.NilError(t, s.Close())
	assert.NilError(t, p.Close())
	assert.NilError(t, ln.Close())
}

// Guards against new calls that fail on a suspect link while a new link would
// work.
func poolReplacesSuspectLink(t *testing.T) {
	t.Helper()
	n := newNetwork()
	ln := wasabilink.Serve(n, options("b"), echo)
	p := wasabilink.NewPool(options("a").WithDial(n.dial), nil)
	l, err := p.Get(t.Context(), "b")
	assert.NilError(t, err)
	s, err := l.Open(wasabistandv1.StreamOpen_KIND_CALL)
	assert.NilError(t, err)
	n.dropping.Load().Store(true)
	time.Sleep(900 * time.Millisecond)
	assert.Assert(t, l.Suspect())
	assert.NilError(t, l.Err())
	second, err := p.Get(t.Context(), "b")
	assert.NilError(t, err)
	assert.Assert(t, second != l)
	assert.Equal(t, n.dials.Load(), int64(2))
	assert.NilError(t, s.Close())
	assert.NilError(t, p.Close())
	assert.NilError(t, ln.Close())
}

// Guards against links between processes of different clusters.
func peerOfAnotherClusterIsRefused(t *testing.T) {
	t.Helper()
	n := newNetwork()
	ln := wasabilink.Serve(n, wasabilink.NewOptions("other", "b", 1), echo)
	_, err := wasabilink.Dial(t.Context(), "b", options("a").WithDial(n.dial), nil)
	assert.ErrorContains(t, err, `cluster "other"`)
	assert.NilError(t, ln.Close())
}

// Guards against head-of-line blocking: a slow reader must not block the other
// streams of its link.
func slowStreamDoesNotBlockOthers(t *testing.T) {
	t.Helper()
	n := newNetwork()
	ln := wasabilink.Serve(n, options("b"), func(ctx context.Context, k wasabistandv1.StreamOpen_Kind, s *wasabilink.Stream) {
		if k == wasabistandv1.StreamOpen_KIND_MEMBERS {
			<-ctx.Done() // Never reads.
			return
		}
		echo(ctx, k, s)
	})
	p := wasabilink.NewPool(options("a").WithDial(n.dial), nil)
	l, err := p.Get(t.Context(), "b")
	assert.NilError(t, err)
	slow, err := l.Open(wasabistandv1.StreamOpen_KIND_MEMBERS)
	assert.NilError(t, err)
	go func() {
		for slow.Send(body(string(make([]byte, 32<<10)))) == nil {
		}
	}()
	synctest.Wait()
	s, err := l.Open(wasabistandv1.StreamOpen_KIND_CALL)
	assert.NilError(t, err)
	assert.NilError(t, s.Send(body("y")))
	var f wasabistandv1.CallFrame
	assert.NilError(t, s.Receive(&f))
	assert.Equal(t, string(f.GetBody()), "y")
	assert.NilError(t, p.Close())
	assert.NilError(t, ln.Close())
}

// Guards against frames of unbounded size from a peer.
func oversizedFrameIsRefused(t *testing.T) {
	t.Helper()
	n := newNetwork()
	got := make(chan error, 1)
	ln := wasabilink.Serve(n, options("b").WithMaxFrameBytes(1000), func(_ context.Context, _ wasabistandv1.StreamOpen_Kind, s *wasabilink.Stream) {
		var f wasabistandv1.CallFrame
		got <- s.Receive(&f)
	})
	l, err := wasabilink.Dial(t.Context(), "b", options("a").WithDial(n.dial), nil)
	assert.NilError(t, err)
	s, err := l.Open(wasabistandv1.StreamOpen_KIND_CALL)
	assert.NilError(t, err)
	assert.NilError(t, s.Send(body(string(make([]byte, 2000)))))
	err = <-got
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
	assert.NilError(t, l.Close())
	assert.NilError(t, ln.Close())
}
