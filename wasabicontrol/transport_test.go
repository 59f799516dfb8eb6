package wasabicontrol_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// Guards against a control instance that never ends, or sends a member nothing any more,
// because the member's process keeps the link alive and does not read a stream of the
// group. A frame is longer than the window of a stream.
func TestSendToMemberThatDoesNotRead(t *testing.T) {
	ln := listen(t)
	opened := make(chan struct{}, 16)
	stub := wasabilink.Serve(ln, wasabilink.NewOptions("test", "stub", 1).WithMaxFrameBytes(8<<20), func(ctx context.Context, _ wasabistandv1.StreamOpen_Kind, _ *wasabilink.Stream) {
		opened <- struct{}{}
		<-ctx.Done()
	})
	defer func() { assert.Check(t, stub.Close()) }()
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", "control-1", 1).WithMaxFrameBytes(8<<20), nil)
	defer func() { assert.Check(t, pool.Close()) }()
	transport := wasabicontrol.NewTransport(pool)
	message := &wasabistandv1.GroupMessage{Entries: []*wasabistandv1.LogEntry{{Data: make([]byte, 600<<10)}}}
	send := func() {
		transport.Send("stub", ln.Addr().String(), []*wasabistandv1.GroupMessage{message})
		select {
		case <-opened:
		case <-time.After(waitTimeout):
			t.Fatal("no stream is opened")
		}
	}
	send()
	// The stream that blocks is replaced.
	send()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		transport.Close()
	}()
	select {
	case <-closed:
	case <-time.After(waitTimeout):
		t.Fatal("the transport does not close while a frame waits for the member")
	}
}

// Guards against a control instance that reaches no further members after many were
// replaced, because each address that it ever sent to keeps a place.
func TestSendAfterManyReplacements(t *testing.T) {
	ln := listen(t)
	opened := make(chan struct{}, 16)
	stub := wasabilink.Serve(ln, wasabilink.NewOptions("test", "stub", 1), func(ctx context.Context, _ wasabistandv1.StreamOpen_Kind, _ *wasabilink.Stream) {
		opened <- struct{}{}
		<-ctx.Done()
	})
	defer func() { assert.Check(t, stub.Close()) }()
	gone := listen(t)
	assert.NilError(t, gone.Close())
	_, port, err := net.SplitHostPort(gone.Addr().String())
	assert.NilError(t, err)
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", "control-1", 1), nil)
	defer func() { assert.Check(t, pool.Close()) }()
	transport := wasabicontrol.NewTransport(pool)
	defer transport.Close()
	message := []*wasabistandv1.GroupMessage{{}}
	for k := range 100 {
		transport.Send("gone", fmt.Sprintf("127.0.1.%d:%s", k+1, port), message)
	}
	transport.Send("stub", ln.Addr().String(), message)
	select {
	case <-opened:
	case <-time.After(waitTimeout):
		t.Fatal("no stream is opened to the present member")
	}
}
