package wasabilink_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// closeDelay is how long closing a slowCloseConn takes.
const closeDelay = 200 * time.Millisecond

// slowCloseConn is a connection whose close blocks, as for a pending write.
type slowCloseConn struct{ net.Conn }

func (c slowCloseConn) Close() error {
	time.Sleep(closeDelay)
	return c.Conn.Close()
}

func dialSlowClose(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return slowCloseConn{c}, err
}

// Guards against a closing link that starves the other links of CPU time: the
// readers of its streams spun until the connection was closed, the peers of the
// other links missed heartbeats, and those links then ended the same way.
func TestEndOfLinkWaitsIdly(t *testing.T) {
	const streams = 100
	for _, test := range []struct {
		name string
		end  func(l *wasabilink.Link, ln *wasabilink.Listener) error
	}{
		{"by this end", func(l *wasabilink.Link, _ *wasabilink.Listener) error { return l.Close() }},
		{"by the peer", func(_ *wasabilink.Link, ln *wasabilink.Listener) error { return ln.Close() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			// Two garbage collections empty yamux's pool of timers, some of
			// which belong to the synctest bubbles of other tests.
			runtime.GC()
			runtime.GC()
			defer runtime.GC()
			defer runtime.GC()
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ln := wasabilink.Serve(raw, options("b"), echo)
			l, err := wasabilink.Dial(t.Context(), raw.Addr().String(), options("a").WithDial(dialSlowClose), nil)
			assert.NilError(t, err)
			var readers sync.WaitGroup
			for range streams {
				s, _, err := l.OpenWith(t.Context(), wasabistandv1.StreamOpen_KIND_ROUTED, body("x"))
				assert.NilError(t, err)
				var f wasabistandv1.CallFrame
				assert.NilError(t, s.Receive(&f))
				readers.Go(func() {
					var f wasabistandv1.CallFrame
					if s.Receive(&f) == nil {
						t.Error("received an unexpected frame")
					}
				})
			}
			before := cpuTime(t)
			assert.NilError(t, test.end(l, ln))
			readers.Wait()
			used := cpuTime(t) - before
			assert.Assert(t, used < closeDelay/4, "the end of the link used %v in %v", used, closeDelay)
			assert.NilError(t, l.Close())
			assert.NilError(t, ln.Close())
		})
	}
}
