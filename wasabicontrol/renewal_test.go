package wasabicontrol_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabimember"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// rawNode is a node's end of a session whose frames the test writes and reads itself.
type rawNode struct {
	t      *testing.T
	stream *wasabilink.Stream
}

// rawNode opens a session that starts with the given frame.
func (c *cluster) rawNode(t *testing.T, control, id string, start *wasabistandv1.SessionStart) *rawNode {
	t.Helper()
	i := instance(id, "reports", 1)
	i.Sequence, i.AppliedRevision = 1, start.GetRevision()
	return c.rawSession(t, control, start, i)
}

// rawSession opens a session that starts with the given frame and announcement.
func (c *cluster) rawSession(t *testing.T, control string, start *wasabistandv1.SessionStart, i wasabistand.Instance) *rawNode {
	t.Helper()
	pool := wasabilink.NewPool(wasabilink.NewOptions("test", i.ID, 1), nil)
	t.Cleanup(func() { assert.Check(t, pool.Close()) })
	link, err := pool.Get(t.Context(), c.links[control])
	assert.NilError(t, err)
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_SESSION)
	assert.NilError(t, err)
	n := &rawNode{t, stream}
	n.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Start{Start: start}})
	n.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Announce{Announce: wasabiwire.FromInstance(i)}})
	return n
}

func (n *rawNode) send(f *wasabistandv1.NodeFrame) {
	n.t.Helper()
	assert.NilError(n.t, n.stream.Send(f))
}

func (n *rawNode) renew(r *wasabistandv1.Renewal) {
	n.t.Helper()
	n.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Renew{Renew: r}})
}

func (n *rawNode) receive() *wasabistandv1.ControlFrame {
	n.t.Helper()
	f := new(wasabistandv1.ControlFrame)
	assert.NilError(n.t, n.stream.Receive(f))
	return f
}

// configuration returns the next configuration update.
func (n *rawNode) configuration() *wasabistandv1.ConfigurationUpdate {
	n.t.Helper()
	for {
		if u := n.receive().GetConfiguration(); u != nil {
			return u
		}
	}
}

// ack returns the next acknowledgement.
func (n *rawNode) ack() *wasabistandv1.RenewalAck {
	n.t.Helper()
	for {
		if a := n.receive().GetRenewed(); a != nil {
			return a
		}
	}
}

// logBuffer collects the lines of a cluster.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the lines that contain a text.
func (l *logBuffer) lines(text string) (list []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range strings.Lines(l.b.String()) {
		if strings.Contains(s, text) {
			list = append(list, s)
		}
	}
	return list
}

// assertMetric checks a line of the metrics of a control instance.
func (c *cluster) assertMetric(t *testing.T, id, name string, value int) {
	t.Helper()
	response, err := http.Get("http://" + c.apis[id] + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	line := fmt.Sprintf("\n%s %d\n", name, value)
	assert.Assert(t, strings.Contains(string(b), line), "no line %q", line)
}

// Guards against a node that holds another revision than the one sent to it, unnoticed.
func TestReportedRevisionIsCompared(t *testing.T) {
	log := new(logBuffer)
	c := newCluster(t, 1, 0, nil)
	c.kill("control-1")
	c.log = log
	c.restart("control-1")
	first := c.mustApply("control-1", 0, "first", "1s")
	n := c.rawNode(t, "control-1", "raw-1", &wasabistandv1.SessionStart{})
	assert.Equal(t, n.configuration().GetRevision(), first)
	n.renew(&wasabistandv1.Renewal{Sequence: 1, RevisionInForce: first})
	n.ack()
	c.assertMetric(t, "control-1", "wasabi_control_sessions_behind", 0)
	second := c.mustApply("control-1", first, "second", "2s")
	third := c.mustApply("control-1", second, "third", "3s")
	for n.configuration().GetRevision() < third {
		continue
	}
	n.renew(&wasabistandv1.Renewal{Sequence: 1, RevisionInForce: first})
	n.ack()
	c.assertMetric(t, "control-1", "wasabi_control_sessions_behind", 1)
	c.assertMetric(t, "control-1", "wasabi_control_session_revision_distance", int(third-first))
	n.renew(&wasabistandv1.Renewal{Sequence: 1, RevisionInForce: third + 7})
	n.ack()
	c.assertMetric(t, "control-1", "wasabi_control_reports_ahead_total", 1)
	assert.Equal(t, len(log.lines("session ahead")), 1)
	assert.Equal(t, len(log.lines("session started")), 1)
	assert.Equal(t, len(log.lines("change confirmed")), 3)
	assert.Assert(t, len(log.lines("configuration pushed")) > 0)
	status, err := c.operator("control-1", readToken).Status(t.Context(), connect.NewRequest(&wasabistandv1.StatusRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, status.Msg.GetInstances()[0].GetRevisionInForce(), third)
}

// renewUntilAck renews and returns the configuration that came before the
// acknowledgement, nil for none.
func (n *rawNode) renewUntilAck(r *wasabistandv1.Renewal) (u *wasabistandv1.ConfigurationUpdate) {
	n.t.Helper()
	n.renew(r)
	for {
		f := n.receive()
		if f.GetRenewed() != nil {
			return u
		}
		if f.GetConfiguration() != nil {
			u = f.GetConfiguration()
		}
	}
}

// staleNode returns a node that was sent two revisions and holds the first.
func (c *cluster) staleNode(t *testing.T) (n *rawNode, first, second uint64) {
	t.Helper()
	first = c.mustApply("control-1", 0, "first", "1s")
	n = c.rawNode(t, "control-1", "raw-1", &wasabistandv1.SessionStart{})
	n.configuration()
	n.renewUntilAck(&wasabistandv1.Renewal{Sequence: 1, RevisionInForce: first})
	second = c.mustApply("control-1", first, "second", "2s")
	assert.Equal(t, n.configuration().GetRevision(), second)
	return n, first, second
}

// Guards against a node that stays at an earlier revision after a push was lost, and
// against resends to a node whose renewal has crossed a push.
func TestLostPushIsSentAgain(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	n, first, second := c.staleNode(t)
	old := &wasabistandv1.Renewal{Sequence: 1, RevisionInForce: first}
	assert.Assert(t, n.renewUntilAck(old) == nil, "a renewal that crosses a push is no loss")
	var again *wasabistandv1.ConfigurationUpdate
	for k := 0; again == nil && k < 30; k++ {
		time.Sleep(100 * time.Millisecond)
		again = n.renewUntilAck(old)
	}
	assert.Equal(t, again.GetRevision(), second)
	assert.Assert(t, len(again.GetDocument()) > 0)
	assert.Assert(t, n.renewUntilAck(old) == nil, "resends are limited")
}

// Guards against a wait for a node that knows what it lacks, and against an update
// without the document that the node lacks.
func TestMissingUpdateIsSentAtOnce(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	n, first, second := c.staleNode(t)
	r := &wasabistandv1.Renewal{Sequence: 1, RevisionInForce: first, Number: 1, DocumentRevision: first, LacksUpdate: true}
	u := n.renewUntilAck(r)
	assert.Equal(t, u.GetRevision(), second)
	assert.Assert(t, len(u.GetDocument()) > 0)
	assert.Assert(t, n.renewUntilAck(r) == nil, "resends are limited")
	n.renewUntilAck(&wasabistandv1.Renewal{Sequence: 1, RevisionInForce: second, Number: 2, DocumentRevision: second})
	third := c.mustApply("control-1", second, "third", "3s")
	assert.Equal(t, n.configuration().GetRevision(), third)
	r = &wasabistandv1.Renewal{Sequence: 1, RevisionInForce: second, Number: 3, DocumentRevision: third, LacksUpdate: true}
	u = n.renewUntilAck(r)
	assert.Equal(t, u.GetRevision(), third)
	assert.Equal(t, len(u.GetDocument()), 0)
}

// Guards against a lost document that is not sent again for up to a minute, because the
// node could not apply an earlier one.
func TestLaterDocumentIsSentAgainAtOnce(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	n, first, second := c.staleNode(t)
	r := &wasabistandv1.Renewal{Sequence: 1, RevisionInForce: first, Number: 1, DocumentRevision: first, LacksUpdate: true}
	assert.Equal(t, n.renewUntilAck(r).GetRevision(), second)
	third := c.mustApply("control-1", second, "third", "3s")
	assert.Equal(t, n.configuration().GetRevision(), third)
	assert.Equal(t, n.renewUntilAck(r).GetRevision(), third)
}

// Guards against a node that starts a session without the document of its revision and
// is not sent it, also beside nodes of earlier versions.
func TestSessionStartNamesDocument(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	for _, test := range []struct {
		id      string
		start   *wasabistandv1.SessionStart
		isWhole bool
	}{
		{"earlier-version", &wasabistandv1.SessionStart{Revision: revision}, false},
		{"held", &wasabistandv1.SessionStart{Revision: revision, DocumentRevision: proto.Uint64(revision)}, false},
		{"refused", &wasabistandv1.SessionStart{Revision: revision, DocumentRevision: proto.Uint64(0)}, true},
	} {
		u := c.rawNode(t, "control-1", test.id, test.start).configuration()
		assert.Equal(t, len(u.GetDocument()) > 0, test.isWhole, test.id)
	}
}

// Guards against acknowledgements that don't name the lists as they were sent before, so
// that nodes ask for lists that they have.
func TestAcknowledgementNamesLists(t *testing.T) {
	c := newCluster(t, 1, 0, nil)
	revision := c.mustApply("control-1", 0, "first", "1s")
	n := c.rawNode(t, "control-1", "raw-1", &wasabistandv1.SessionStart{})
	versions := map[string]uint64{}
	// check renews and compares the lists that came before the acknowledgement.
	check := func() {
		t.Helper()
		n.renew(&wasabistandv1.Renewal{Sequence: 1, RevisionInForce: revision, Number: 1})
		for {
			f := n.receive()
			if d := f.GetMembership(); d != nil && !d.GetPartial() {
				versions[d.GetService()] = d.GetVersion()
			}
			if a := f.GetRenewed(); a != nil {
				assert.Equal(t, a.GetLists(), wasabimember.VersionsDigest(maps.All(versions)))
				return
			}
		}
	}
	check()
	n.send(&wasabistandv1.NodeFrame{Kind: &wasabistandv1.NodeFrame_Interest{Interest: &wasabistandv1.Interest{Services: map[string]uint64{"archive": 0, "reports": 0}}}})
	for k := 0; len(versions) < 2; k++ {
		check()
		time.Sleep(10 * time.Millisecond)
	}
	before := versions["archive"]
	c.node("archive-1", "archive", 1, "control-1")
	for versions["archive"] == before {
		check()
		time.Sleep(10 * time.Millisecond)
	}
	check()
}

// Guards against a control instance that acknowledges renewals as if its quorum had just
// confirmed its state, while others commit changes.
func TestAcknowledgementNamesAgeOfConfirmation(t *testing.T) {
	c := newCluster(t, 3, 0, func(s wasabicontrol.Settings) wasabicontrol.Settings {
		return s.WithConfirm(200*time.Millisecond, 100*time.Millisecond, waitTimeout)
	})
	first := c.mustApply("control-1", 0, "first", "1s")
	n := c.rawNode(t, "control-1", "raw-1", &wasabistandv1.SessionStart{})
	n.configuration()
	renew := func() *wasabistandv1.RenewalAck {
		n.renew(&wasabistandv1.Renewal{Sequence: 1, RevisionInForce: first, Number: 1})
		return n.ack()
	}
	for renew().GetConfirmedMsAgo() > 150 {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, renew().GetRevision(), first)
	c.sides["control-1"].Store(1)
	cut := time.Now()
	second := c.mustApply("control-2", first, "second", "2s")
	time.Sleep(max(0, time.Until(cut.Add(time.Second))))
	a := renew()
	assert.Equal(t, a.GetRevision(), first)
	// A round may have begun just before the cut.
	assert.Assert(t, a.GetConfirmedMsAgo() >= 700, "%d ms", a.GetConfirmedMsAgo())
	c.sides["control-1"].Store(0)
	for a.GetRevision() < second || a.GetConfirmedMsAgo() > 150 {
		time.Sleep(10 * time.Millisecond)
		a = renew()
	}
}
