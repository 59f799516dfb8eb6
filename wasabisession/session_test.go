package wasabisession_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiconfig"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabisession"
)

// fakeControl is a fake control instance on a real socket.
type fakeControl struct {
	t        testing.TB
	address  string
	listener *wasabilink.Listener
	// sessions passes each session to the test, which serves it until it closes
	// release.
	sessions chan *fakeStream
	// requests passes the claim requests of all streams to the test.
	requests chan claimRequest
	// refusalWritten is set once a refusal with the reason "stopping" was written to a
	// connection.
	refusalWritten atomic.Bool
}

// refusalListener sets a flag once a refusal was written on one of its connections.
type refusalListener struct {
	net.Listener
	written *atomic.Bool
}

func (l refusalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return refusalConn{c, l.written}, err
}

type refusalConn struct {
	net.Conn
	written *atomic.Bool
}

func (c refusalConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if bytes.Contains(p, []byte("stopping")) {
		c.written.Store(true)
	}
	return n, err
}

type claimRequest struct {
	*wasabistandv1.ClaimRequest
	stream *fakeStream
}

type fakeStream struct {
	*wasabilink.Stream
	release chan struct{}
}

func newControl(t testing.TB) *fakeControl {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &fakeControl{t: t, address: ln.Addr().String(), sessions: make(chan *fakeStream, 16), requests: make(chan claimRequest, 64)}
	c.listener = wasabilink.Serve(refusalListener{ln, &c.refusalWritten}, wasabilink.NewOptions("test", "control", 1), func(ctx context.Context, kind wasabistandv1.StreamOpen_Kind, s *wasabilink.Stream) {
		k := &fakeStream{Stream: s, release: make(chan struct{})}
		if kind == wasabistandv1.StreamOpen_KIND_SESSION {
			c.sessions <- k
		} else {
			go c.readClaimRequests(k)
		}
		select {
		case <-ctx.Done():
		case <-k.release:
		}
	})
	t.Cleanup(func() { assert.Check(t, c.listener.Close()) })
	return c
}

func (c *fakeControl) readClaimRequests(s *fakeStream) {
	for {
		r := claimRequest{ClaimRequest: new(wasabistandv1.ClaimRequest), stream: s}
		if s.Receive(r.ClaimRequest) != nil {
			return
		}
		c.requests <- r
	}
}

// nextSession returns the next session and its start message.
func (c *fakeControl) nextSession() (*fakeStream, *wasabistandv1.SessionStart) {
	s := <-c.sessions
	var f wasabistandv1.NodeFrame
	assert.NilError(c.t, s.Receive(&f))
	return s, f.GetStart()
}

func (s *fakeStream) sendConfiguration(t testing.TB, u *wasabistandv1.ConfigurationUpdate) {
	t.Helper()
	assert.NilError(t, s.Send(&wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Configuration{Configuration: u}}))
}

func (s *fakeStream) sendRefusal(t testing.TB, reason string) {
	t.Helper()
	assert.NilError(t, s.Send(&wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Refusal{Refusal: &wasabistandv1.SessionRefusal{Reason: reason}}}))
}

type eventRecorder chan wasabistand.Event

func (r eventRecorder) Record(e wasabistand.Event) { r <- e }
func (r eventRecorder) String() string             { return "test" }

func (r eventRecorder) await(kind wasabistand.EventKind) wasabistand.Event {
	for e := range r {
		if e.Kind == kind {
			return e
		}
	}
	panic("closed")
}

func newSession(t testing.TB, o wasabisession.Options) (*wasabisession.Session, eventRecorder) {
	t.Helper()
	r := make(eventRecorder, 1024)
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", "reports-1", 7), nil)
	s := wasabisession.New(o.WithBackoff(time.Millisecond, 10*time.Millisecond, 50*time.Millisecond), pool, wasabistand.Instance{
		ID: "reports-1", Incarnation: 7, Service: "reports", LinkAddress: "127.0.0.1:1", Slots: 1, Connections: 1,
		State: wasabistand.Ready, Location: wasabistand.Location{Region: "here", FailureDomain: "a"},
	}, r)
	t.Cleanup(func() {
		assert.Check(t, s.Close())
		assert.Check(t, pool.Close())
	})
	return s, r
}

func awaitView(s *wasabisession.Session, ok func(*wasabistand.View) bool) *wasabistand.View {
	for {
		changed := s.Changed()
		if v := s.View(); v != nil && ok(v) {
			return v
		}
		<-changed
	}
}

const document = "[[Callers]]\nName = \"office\"\nPatience = \"2s\"\n"

func compact(t testing.TB, document string) []byte {
	t.Helper()
	b, err := wasabiconfig.Compact(document)
	assert.NilError(t, err)
	return b
}

// Guards against a running node that reverts to an older configuration, and
// against one that loses its configuration because a new document does not parse.
func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	c := newControl(t)
	s, events := newSession(t, wasabisession.NewOptions(c.address))
	k, start := c.nextSession()
	assert.Equal(t, start.GetRevision(), uint64(0))
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 5, DocumentRevision: 5, Document: compact(t, document), Drained: []string{"reports-1"}})
	v := awaitView(s, func(*wasabistand.View) bool { return true })
	assert.Equal(t, v.Configuration.Callers["office"].MaxTimeout, 2*time.Second)
	assert.Assert(t, v.Drained)

	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 4, DocumentRevision: 4, Document: compact(t, document)})
	assert.Equal(t, events.await(wasabistand.EventSessionDown).Reason, wasabistand.Reason("older-revision"))
	close(k.release)
	assert.Equal(t, s.View().Revision, uint64(5))

	k, start = c.nextSession()
	assert.Equal(t, start.GetRevision(), uint64(5))
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 6, DocumentRevision: 6, Document: compact(t, "Callers = 1")})
	for events.await(wasabistand.EventConfigRefused).Reason != "parse" {
		continue
	}
	// Revision 6 ended the drain, but its document was not applied.
	v = awaitView(s, func(v *wasabistand.View) bool { return !v.Drained })
	assert.Equal(t, v.Revision, uint64(5))
	assert.Equal(t, v.Configuration.Callers["office"].MaxTimeout, 2*time.Second)
	k.sendRefusal(t, "stopping")
	assert.Equal(t, events.await(wasabistand.EventSessionDown).Reason, wasabistand.Reason("stopping"))
}

// Guards against an instance list that lacks instances because a delta was lost,
// and against one that mixes the versions of two control instances.
func TestDeltaWithWrongBaseRequestsFullList(t *testing.T) {
	c := newControl(t)
	s, _ := newSession(t, wasabisession.NewOptions(c.address))
	s.Subscribe("archive")
	k, _ := c.nextSession()
	interest := func() map[string]uint64 {
		for {
			var f wasabistandv1.NodeFrame
			assert.NilError(t, k.Receive(&f))
			if f.GetInterest() != nil {
				return f.GetInterest().GetServices()
			}
		}
	}
	delta := func(base, version uint64, id string) {
		i := &wasabistandv1.Instance{Id: id, Service: "archive", LinkAddress: "127.0.0.1:2", Region: "here", FailureDomain: "a", Slots: 1, Connections: 1, State: wasabistandv1.InstanceState_INSTANCE_STATE_READY}
		d := &wasabistandv1.MembershipDelta{Service: "archive", BaseVersion: base, Version: version, Upserts: []*wasabistandv1.Instance{i}}
		assert.NilError(t, k.Send(&wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Membership{Membership: d}}))
	}
	assert.DeepEqual(t, interest(), map[string]uint64{"archive": 0})
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 1})
	delta(0, 3, "archive-1")
	awaitView(s, func(v *wasabistand.View) bool { return len(v.Instances["archive"]) == 1 })
	delta(4, 5, "archive-2")
	for interest()["archive"] != 0 {
		continue
	}
	delta(0, 5, "archive-3")
	v := awaitView(s, func(v *wasabistand.View) bool { return v.Instances["archive"][0].ID == "archive-3" })
	assert.Equal(t, len(v.Instances["archive"]), 1)
}

// newClaimSession starts a session whose claims are sent to the fake.
func newClaimSession(t testing.TB, o func(wasabisession.Options) wasabisession.Options) (*fakeControl, *wasabisession.Session) {
	c := newControl(t)
	s, _ := newSession(t, o(wasabisession.NewOptions(c.address)))
	k, _ := c.nextSession()
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 1, ClaimHomes: map[string]*wasabistandv1.AddressList{"": {Addresses: []string{c.address}}}})
	awaitView(s, func(*wasabistand.View) bool { return true })
	return c, s
}

func newClaim() wasabistand.Claim {
	return wasabistand.Claim{Caller: "office", Service: "reports", Key: "key", HomeRegion: "here", Call: 3, Deadline: time.Now().Add(time.Minute)}
}

func (r claimRequest) respond(t testing.TB, state wasabistandv1.ClaimResponse_State) {
	t.Helper()
	assert.NilError(t, r.stream.Send(&wasabistandv1.ClaimResponse{Id: r.GetId(), State: state}))
}

func assertRefused(t testing.TB, err error) {
	t.Helper()
	var r *wasabistand.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Equal(t, r.Outcome, wasabistand.NotRun)
	assert.Equal(t, r.Reason, wasabistand.ReasonClaim)
}

// Guards against a key that stays held because its grant arrived after the call
// was refused: the caller could not retry until the claim's deadline.
func TestLateGrantIsReleased(t *testing.T) {
	c, s := newClaimSession(t, func(o wasabisession.Options) wasabisession.Options {
		return o.WithClaims(50*time.Millisecond, time.Minute)
	})
	w := newClaim()
	// A take that times out before a stream is open sends nothing.
	for len(c.requests) == 0 {
		w.Call++
		_, err := s.Take(t.Context(), w)
		assertRefused(t, err)
	}
	take := <-c.requests
	take.respond(t, wasabistandv1.ClaimResponse_STATE_GRANTED)
	for r := range c.requests {
		if r.GetSettle().GetOwner().GetCall() == take.GetTake().GetOwner().GetCall() {
			assert.Assert(t, r.GetSettle().GetReleased())
			assert.Equal(t, r.GetSettle().GetOwner().GetIncarnation(), uint64(7))
			r.respond(t, wasabistandv1.ClaimResponse_STATE_SETTLED)
			return
		}
	}
}

// Guards against a claim that stays held because it was granted in the log while
// the response was lost with the stream.
func TestClaimWithLostResponseIsReleased(t *testing.T) {
	c, s := newClaimSession(t, func(o wasabisession.Options) wasabisession.Options {
		return o.WithClaims(50*time.Millisecond, time.Minute)
	})
	ended := make(chan error, 1)
	go func() {
		_, err := s.Take(t.Context(), newClaim())
		ended <- err
	}()
	// Close the stream of every take without responding, until the release
	// arrives.
	for r := range c.requests {
		if r.GetSettle() != nil {
			assert.Assert(t, r.GetSettle().GetReleased())
			r.respond(t, wasabistandv1.ClaimResponse_STATE_SETTLED)
			break
		}
		close(r.stream.release)
	}
	assertRefused(t, <-ended)
}

// Guards against an unbounded queue of settlements while the home group is
// unreachable.
func TestSettlementsAreBounded(t *testing.T) {
	_, s := newClaimSession(t, func(o wasabisession.Options) wasabisession.Options {
		return o.WithMaxSettlements(2, 1000).WithCloseTimeout(10 * time.Millisecond)
	})
	settle := func(body int) error {
		return s.Settle(t.Context(), newClaim(), wasabistand.Settlement{Outcome: wasabistand.Answered, Response: &wasabistand.RecordedResponse{Status: 200, Body: make([]byte, body)}})
	}
	assert.ErrorContains(t, settle(2000), "1000 bytes")
	assert.NilError(t, settle(10))
	assert.NilError(t, settle(10))
	assert.ErrorContains(t, settle(10), "at most 2")
	assert.NilError(t, s.Close())
	assert.ErrorContains(t, settle(10), "closed")
}

// Guards against a session that, in a network partition, waits for one silent
// control instance after another before it finds one that responds.
func TestSilentControlsDoNotDelaySession(t *testing.T) {
	var addresses []string
	for range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		addresses = append(addresses, ln.Addr().String())
	}
	c := newControl(t)
	s, _ := newSession(t, wasabisession.NewOptions(append(addresses, c.address)...).WithResponseTimeout(time.Hour))
	k, _ := c.nextSession()
	defer close(k.release)
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 1, DocumentRevision: 1, Document: compact(t, document)})
	awaitView(s, func(v *wasabistand.View) bool { return v.Revision == 1 })
}

// Guards against an instance list that loses instances because a control
// instance has just started and does not have the complete list yet.
func TestPartialListAddsOnly(t *testing.T) {
	c := newControl(t)
	s, _ := newSession(t, wasabisession.NewOptions(c.address))
	s.Subscribe("archive")
	k, _ := c.nextSession()
	send := func(d *wasabistandv1.MembershipDelta, ids ...string) {
		d.Service = "archive"
		for _, id := range ids {
			d.Upserts = append(d.Upserts, &wasabistandv1.Instance{Id: id, Service: "archive", LinkAddress: "127.0.0.1:2", Region: "here", FailureDomain: "a", Slots: 1, Connections: 1, State: wasabistandv1.InstanceState_INSTANCE_STATE_READY})
		}
		assert.NilError(t, k.Send(&wasabistandv1.ControlFrame{Kind: &wasabistandv1.ControlFrame_Membership{Membership: d}}))
	}
	size := func(n int) { awaitView(s, func(v *wasabistand.View) bool { return len(v.Instances["archive"]) == n }) }
	k.sendConfiguration(t, &wasabistandv1.ConfigurationUpdate{Revision: 1})
	send(&wasabistandv1.MembershipDelta{Version: 7}, "1", "2")
	size(2)
	send(&wasabistandv1.MembershipDelta{Version: 3, Partial: true}, "3")
	size(3)
	send(&wasabistandv1.MembershipDelta{Version: 4}, "3")
	size(1)
}
