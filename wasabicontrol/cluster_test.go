package wasabicontrol_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabisession"
)

// waitTimeout ends a test that would hang. It affects no other result.
const waitTimeout = 60 * time.Second

// cluster is a set of control instances in one process that use real sockets and
// disks.
type cluster struct {
	t         testing.TB
	dir       string
	ids       []string
	links     map[string]string
	apis      map[string]string
	groups    []wasabicontrol.Group
	joins     map[string]bool
	instances map[string]*wasabicontrol.Instance
	// sides are the sides of a network partition by control instance. Control
	// instances reach only their own side; nodes reach all instances.
	sides map[string]*atomic.Int32
	// mu guards links and sides, since dialing goroutines read them while
	// instances are added.
	mu     sync.Mutex
	modify func(wasabicontrol.Settings) wasabicontrol.Settings
	// log receives the lines of the instances that are started later, nil for none.
	log  io.Writer
	disk func(id string) wasabidisk.FS
}

// newCluster starts a cluster whose first home members also form the home group
// of the region "here". There is no home group if home is 0.
func newCluster(t testing.TB, size, home int, modify func(wasabicontrol.Settings) wasabicontrol.Settings) *cluster {
	t.Helper()
	return newClusterOnDisks(t, size, home, modify, func(string) wasabidisk.FS { return nil })
}

// newClusterOnDisks is like newCluster with a file system for each instance, nil for
// that of the operating system.
func newClusterOnDisks(t testing.TB, size, home int, modify func(wasabicontrol.Settings) wasabicontrol.Settings, disk func(id string) wasabidisk.FS) *cluster {
	t.Helper()
	c := &cluster{
		disk: disk,
		t:    t, dir: t.TempDir(), joins: map[string]bool{}, links: map[string]string{}, apis: map[string]string{},
		instances: map[string]*wasabicontrol.Instance{}, sides: map[string]*atomic.Int32{}, modify: modify,
	}
	root := wasabicontrol.Group{Name: wasabicontrol.RootGroup}
	listeners := map[string][2]net.Listener{}
	for i := range size {
		id := fmt.Sprintf("control-%d", i+1)
		c.ids = append(c.ids, id)
		listeners[id] = [2]net.Listener{listen(t), listen(t)}
		c.links[id], c.apis[id] = listeners[id][0].Addr().String(), listeners[id][1].Addr().String()
		c.sides[id] = new(atomic.Int32)
		root.Members = append(root.Members, wasabicontrol.Member{ID: id, Address: c.links[id]})
	}
	c.groups = []wasabicontrol.Group{root}
	if home > 0 {
		c.groups = append(c.groups, wasabicontrol.Group{Name: "home", Region: "here", Members: root.Members[:home]})
	}
	t.Cleanup(c.close)
	for _, id := range c.ids {
		c.start(id, listeners[id])
	}
	return c
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return ln
}

var errIsolated = errors.New("isolated")

// partitionConn drops written data while its ends are on different sides of the
// partition.
type partitionConn struct {
	net.Conn
	from, to *atomic.Int32
}

func (c *partitionConn) Write(p []byte) (int, error) {
	if c.from.Load() != c.to.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cluster) start(id string, listeners [2]net.Listener) {
	c.t.Helper()
	log := zerolog.Nop()
	if c.log != nil {
		log = zerolog.New(c.log)
	}
	groups := slices.Clone(c.groups)
	groups[0].Join = c.joins[id]
	s := wasabicontrol.NewSettings("test", id, filepath.Join(c.dir, id)).
		WithAddresses(c.links[id], c.apis[id]).WithGroups(groups...).
		WithLocation(wasabistand.Location{Region: "here", FailureDomain: id}).
		WithLease(time.Second).
		WithTokens(
			wasabicontrol.Token{Name: "committee", Token: changeToken, Right: wasabicontrol.Change},
			wasabicontrol.Token{Name: "board", Token: readToken, Right: wasabicontrol.Read},
		)
	if c.modify != nil {
		s = c.modify(s)
	}
	i, err := wasabicontrol.New(s, wasabicontrol.Parts{
		Log: &log, LinkListener: listeners[0], APIListener: listeners[1], Disk: c.disk(id),
		Links: func(o wasabilink.Options) wasabilink.Options { return o.WithDial(c.dial(id)) },
	})
	assert.NilError(c.t, err)
	assert.NilError(c.t, i.Start())
	c.instances[id] = i
}

// dial returns a dial function that fails across the partition.
func (c *cluster) dial(from string) wasabilink.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c.mu.Lock()
		fromSide := c.sides[from]
		toSide := fromSide
		for id, a := range c.links {
			if a == address {
				toSide = c.sides[id]
			}
		}
		c.mu.Unlock()
		if fromSide.Load() != toSide.Load() {
			return nil, errIsolated
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &partitionConn{Conn: conn, from: fromSide, to: toSide}, nil
	}
}

// restart starts a stopped instance with its previous data folder and addresses.
func (c *cluster) restart(id string) {
	c.t.Helper()
	var list [2]net.Listener
	for k, a := range []string{c.links[id], c.apis[id]} {
		ln, err := net.Listen("tcp", a)
		assert.NilError(c.t, err)
		list[k] = ln
	}
	c.start(id, list)
}

func (c *cluster) close() {
	for id := range c.instances {
		c.kill(id)
	}
}

func (c *cluster) kill(id string) {
	assert.Check(c.t, c.instances[id].Close())
	delete(c.instances, id)
	// A request on a kept connection of the instance would fail after its restart.
	http.DefaultClient.CloseIdleConnections()
}

const (
	changeToken = "a-token-that-may-change"
	readToken   = "a-token-that-may-only-read"
)

func (c *cluster) operator(id, token string) wasabistandv1connect.OperatorServiceClient {
	bearer := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, r)
		}
	})
	return wasabistandv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+c.apis[id], connect.WithInterceptors(bearer))
}

func identity(name string) *wasabistandv1.CommandIdentity {
	return &wasabistandv1.CommandIdentity{Id: name + "-0123456789abcdef", IssuedUnixMs: time.Now().UnixMilli()}
}

func document(timeout string) string {
	return "[[Callers]]\nName = \"office\"\nPatience = \"" + timeout + "\"\n"
}

func (c *cluster) apply(id string, r *wasabistandv1.ApplyRequest) (*wasabistandv1.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	response, err := c.operator(id, changeToken).Apply(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (c *cluster) mustApply(id string, expected uint64, name, timeout string) uint64 {
	c.t.Helper()
	r := &wasabistandv1.ApplyRequest{Command: identity(name), ExpectedRevision: expected, Toml: document(timeout)}
	// The first command may arrive before the first election.
	for {
		a, err := c.apply(id, r)
		if err == nil {
			return a.GetRevision()
		}
		assert.Equal(c.t, connect.CodeOf(err), connect.CodeUnavailable, "%v", err)
	}
}

// node is a fake node: a session with its link pool.
type node struct {
	*wasabisession.Session
	pool *wasabilink.Pool
	// sessionEnds receives the reason of each session that ended.
	sessionEnds chan wasabistand.Reason
	// silent is incremented to make all open connections drop data.
	silent atomic.Int32
	// listRequests counts the requests for lists that were sent already.
	listRequests atomic.Int32
}

// dial opens a connection that drops written data once n.silent is incremented.
func (n *node) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	now := new(atomic.Int32)
	now.Store(n.silent.Load())
	return &partitionConn{Conn: conn, from: &n.silent, to: now}, nil
}

// Record implements wasabistand.Recorder.
func (n *node) Record(e wasabistand.Event) {
	if e.Kind == wasabistand.EventListsResent {
		n.listRequests.Add(1)
	}
	if e.Kind == wasabistand.EventSessionDown {
		select {
		case n.sessionEnds <- e.Reason:
		default:
		}
	}
}

func (c *cluster) node(id, service string, incarnation uint64, controls ...string) *node {
	c.t.Helper()
	var addresses []string
	for _, k := range controls {
		addresses = append(addresses, c.links[k])
	}
	n := &node{sessionEnds: make(chan wasabistand.Reason, 64)}
	n.pool = wasabilink.NewPool(wasabilink.NewOptions("test", id, incarnation).WithDial(n.dial), nil)
	o := wasabisession.NewOptions(addresses...).WithBackoff(20*time.Millisecond, 50*time.Millisecond, 500*time.Millisecond)
	n.Session = wasabisession.New(o, n.pool, instance(id, service, incarnation), n)
	c.t.Cleanup(func() {
		n.close()
		// No test loses a frame within a session.
		assert.Check(c.t, n.listRequests.Load() == 0, "%s asked for lists that it was sent", id)
	})
	return n
}

func instance(id, service string, incarnation uint64) wasabistand.Instance {
	return wasabistand.Instance{
		ID: id, Incarnation: incarnation, Service: service, LinkAddress: "127.0.0.1:1", Slots: 10, Connections: 100,
		State: wasabistand.Ready, Location: wasabistand.Location{Region: "here", FailureDomain: "a"},
	}
}

func (n *node) close() {
	_ = n.Close()
	_ = n.pool.Close()
}

// await waits for a view for which ok returns true.
func (n *node) await(t testing.TB, what string, ok func(*wasabistand.View) bool) *wasabistand.View {
	t.Helper()
	timeout := time.NewTimer(waitTimeout)
	defer timeout.Stop()
	for {
		changed := n.Changed()
		if v := n.View(); v != nil && ok(v) {
			return v
		}
		select {
		case <-changed:
		case <-timeout.C:
			t.Fatalf("no view: %s; latest %+v", what, n.View())
		}
	}
}

func atLeast(revision uint64) func(*wasabistand.View) bool {
	return func(v *wasabistand.View) bool { return v.Revision >= revision }
}

// leader returns the ID of root's leader as reported by a running instance.
func (c *cluster) leader(t testing.TB) string {
	t.Helper()
	for {
		for id := range c.instances {
			s, err := c.operator(id, readToken).Status(t.Context(), connect.NewRequest(&wasabistandv1.StatusRequest{}))
			if err == nil && c.instances[s.Msg.GetGroups()[0].GetLeader()] != nil {
				return s.Msg.GetGroups()[0].GetLeader()
			}
		}
	}
}
