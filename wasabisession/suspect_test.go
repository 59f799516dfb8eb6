package wasabisession_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabisession"
)

// pausedConn is a connection whose reads wait while paused is locked.
type pausedConn struct {
	net.Conn
	paused *sync.RWMutex
}

func (c pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.paused.RLock()
	defer c.paused.RUnlock()
	return n, err
}

// Guards against a session that never closes, because the stream for its claims was
// replaced while the link did not answer, and the link recovered.
func TestSessionClosesAfterSuspectLink(t *testing.T) {
	c := newControl(t)
	var first sync.RWMutex
	var dials atomic.Int32
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		return pausedConn{conn, &first}, nil
	}
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", "reports-1", 7).WithDial(dial).WithHeartbeat(20*time.Millisecond, 100*time.Millisecond, time.Hour), nil)
	defer pool.Close()
	s := wasabisession.New(wasabisession.NewOptions(c.address).WithRenewal(time.Hour, time.Hour).WithClaims(5*time.Second, time.Second).WithCloseTimeout(100*time.Millisecond), pool, wasabistand.Instance{
		ID: "reports-1", Incarnation: 7, Service: "reports", LinkAddress: "127.0.0.1:1", Slots: 1, Connections: 1,
		State: wasabistand.Ready, Location: wasabistand.Location{Region: "here", FailureDomain: "a"},
	}, nil)
	k, _ := c.nextSession()
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 1, ClaimHomes: map[string]*wasabistandv1.AddressList{"": {Addresses: []string{c.address}}}})
	awaitView(s, func(*wasabistand.View) bool { return true })
	go func() {
		for r := range c.requests {
			if r.GetTake() != nil {
				_ = r.stream.Send(&wasabistandv1.ClaimResponse{Id: r.GetId(), State: wasabistandv1.ClaimResponse_STATE_GRANTED})
			}
		}
	}()
	take := func() {
		t.Helper()
		_, err := s.Take(t.Context(), newClaim())
		assert.NilError(t, err)
	}
	take()
	first.Lock()
	time.Sleep(300 * time.Millisecond)
	take()
	first.Unlock()
	time.Sleep(100 * time.Millisecond)
	closed := make(chan error)
	go func() { closed <- s.Close() }()
	select {
	case err := <-closed:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the session does not close")
	}
}
