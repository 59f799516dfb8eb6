package wasabinode_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiadmission"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabilevel"
	"github.com/wasabistand/wasabistand/wasabilimit"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabinode"
	"github.com/wasabistand/wasabistand/wasabiretry"
	"github.com/wasabistand/wasabistand/wasabiroute"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDirectory is a Directory whose view is set by the test.
type fakeDirectory struct {
	mu      sync.Mutex
	view    *wasabistand.View
	changed chan struct{}
}

func newFakeDirectory() *fakeDirectory { return &fakeDirectory{changed: make(chan struct{})} }

func (d *fakeDirectory) View() *wasabistand.View { d.mu.Lock(); defer d.mu.Unlock(); return d.view }
func (d *fakeDirectory) Subscribe(string)        {}
func (d *fakeDirectory) String() string          { return "fake" }
func (d *fakeDirectory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *fakeDirectory) set(v *wasabistand.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	close(d.changed)
	d.changed = make(chan struct{})
}

// fakeClaims is a table of claims that never expire.
type fakeClaims struct {
	mu      sync.Mutex
	table   map[string]*claimEntry
	settled chan wasabistand.Settlement
}

type claimEntry struct {
	claim wasabistand.Claim
	state wasabistand.ClaimState
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{table: map[string]*claimEntry{}, settled: make(chan wasabistand.Settlement, 100)}
}

func (c *fakeClaims) Take(_ context.Context, m wasabistand.Claim) (wasabistand.ClaimState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := m.Caller + "/" + m.Service + "/" + m.Key
	e := c.table[k]
	if e == nil {
		c.table[k] = &claimEntry{claim: m, state: wasabistand.ClaimState{Status: wasabistand.ClaimHeld}}
		return wasabistand.ClaimState{Status: wasabistand.ClaimGranted}, nil
	}
	if e.claim.Fingerprint != m.Fingerprint {
		return wasabistand.ClaimState{Status: wasabistand.ClaimMismatch}, nil
	}
	return e.state, nil
}

func (c *fakeClaims) Settle(_ context.Context, m wasabistand.Claim, s wasabistand.Settlement) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := m.Caller + "/" + m.Service + "/" + m.Key
	e := c.table[k]
	switch s.Outcome {
	case wasabistand.NotRun:
		delete(c.table, k)
	case wasabistand.Answered:
		e.state = wasabistand.ClaimState{Status: wasabistand.ClaimAnswered, Response: s.Response}
	default:
		e.state = wasabistand.ClaimState{Status: wasabistand.ClaimUnknown}
	}
	c.settled <- s
	return nil
}

func (c *fakeClaims) String() string { return "fake" }

// mesh is a set of nodes that share one configuration and one list of instances.
type mesh struct {
	t             testing.TB
	claims        *fakeClaims
	nodes         []*wasabinode.Node
	instances     map[string][]wasabistand.Instance
	dirs          []*fakeDirectory
	rings         map[string]*wasabievent.Ring
	configuration *wasabistand.Configuration
	client        *http.Client
	dial          wasabilink.DialFunc
	settings      func(wasabinode.Settings) wasabinode.Settings
	parts         func(id string, p wasabinode.Parts) wasabinode.Parts
}

func newMesh(t testing.TB) *mesh {
	tr := &http.Transport{}
	m := &mesh{t: t, claims: newFakeClaims(), instances: map[string][]wasabistand.Instance{}, rings: map[string]*wasabievent.Ring{}, client: &http.Client{Transport: tr}, configuration: newConfiguration()}
	t.Cleanup(tr.CloseIdleConnections)
	return m
}

func newConfiguration() *wasabistand.Configuration {
	calls := []wasabistand.CallPolicy{
		{Name: "Read", Method: "GET", Path: "/read/{rest...}", Importance: wasabistand.Normal, Idempotent: true},
		{Name: "Put", Method: "PUT", Path: "/put", Importance: wasabistand.Normal, Idempotent: true},
		{Name: "Small", Method: "POST", Path: "/small", Importance: wasabistand.Normal, Idempotent: true, MaxBodyBytes: 100},
		{Name: "Approve", Method: "POST", Path: "/approve", Importance: wasabistand.High},
	}
	c := &wasabistand.Configuration{
		Services: map[string]wasabistand.Service{},
		Callers: map[string]wasabistand.Caller{
			"client":                  {Name: "client", MaxTimeout: time.Minute},
			"greedy":                  {Name: "greedy", MaxTimeout: time.Minute, CallsPerSecond: 0.001, Burst: 2},
			wasabistand.DefaultCaller: {Name: wasabistand.DefaultCaller, MaxTimeout: time.Minute},
		},
		Retry: wasabistand.RetryPolicy{PerRequest: 3, SharePercent: 10, MinPerSecond: 100},
	}
	for _, s := range []string{"a", "b", "c"} {
		c.Services[s] = wasabistand.Service{Name: s, Calls: calls, QueueLimit: 10}
	}
	return c
}

// add starts an upstream that serves h, and its node.
func (m *mesh) add(id, service string, h http.HandlerFunc) *wasabinode.Node {
	m.t.Helper()
	up := httptest.NewServer(h)
	m.t.Cleanup(up.Close)
	return m.addWithUpstream(id, service, up.URL)
}

func (m *mesh) addWithUpstream(id, service, upstream string) *wasabinode.Node {
	m.t.Helper()
	s := wasabinode.NewSettings(id, service, upstream).WithIncarnation(1).WithLeaveTime(0)
	if m.settings != nil {
		s = m.settings(s)
	}
	link := wasabilink.NewOptions("test", id, 1)
	if m.dial != nil {
		link = link.WithDial(m.dial)
	}
	clock := wasabievent.NewClock(time.Now)
	ring := wasabievent.NewRing(id, 1000, clock)
	d := newFakeDirectory()
	p := newParts(d, m.claims, ring, link)
	if m.parts != nil {
		p = m.parts(id, p)
	}
	n, err := wasabinode.New(s, p)
	assert.NilError(m.t, err)
	assert.NilError(m.t, n.Start())
	m.t.Cleanup(func() { assert.NilError(m.t, n.Close()) })
	m.nodes, m.dirs, m.rings[id] = append(m.nodes, n), append(m.dirs, d), ring
	m.instances[service] = append(m.instances[service], n.Announcement().WithState(wasabistand.Ready))
	return n
}

func newParts(d wasabistand.Directory, c wasabistand.Claims, r wasabistand.Recorder, link wasabilink.Options) wasabinode.Parts {
	return wasabinode.Parts{
		Directory: d,
		Claims:    c,
		Recorder:  r,
		Levels:    wasabilevel.New(wasabilevel.NewOptions()),
		Router: func(l []wasabistand.RegionLink) wasabistand.Router {
			return wasabiroute.New(rand.New(rand.NewPCG(1, 2)), wasabiroute.NewOptions().WithRegionLinks(l))
		},
		Budget: func(c wasabistand.RetryPolicy) wasabistand.RetryBudget {
			return wasabiretry.NewBudget(wasabiretry.NewBudgetOptions().WithSharePercent(c.SharePercent).WithMinPerSecond(c.MinPerSecond))
		},
		RequestRetryBudget: func(n int) wasabistand.RequestRetryBudget { return wasabiretry.NewRequestBudget(n) },
		Admission: func(limit int, s wasabistand.Service) wasabistand.Admission {
			return wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(limit).WithQueueLimit(s.QueueLimit).WithPreempt(s.PreemptLowerImportance))
		},
		Limiter: func(slots int) wasabistand.Limiter { return wasabilimit.New(wasabilimit.NewOptions(slots)) },
		Link:    link,
	}
}

// awaitReady sends the configuration and all instances to each node and waits
// until the nodes are ready.
func (m *mesh) awaitReady() {
	for _, d := range m.dirs {
		d.set(&wasabistand.View{Revision: 1, Configuration: m.configuration, Instances: m.instances})
	}
	for _, n := range m.nodes {
		eventually(m.t, func() bool { ok, _ := n.Ready(); return ok })
	}
}

// eventually polls until f returns true. The bound of 20 s is reached only in
// case of a fault.
func eventually(t testing.TB, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition did not come true")
		}
	}
}

func request(t testing.TB, n *wasabinode.Node, method, service, path string, headers ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.TrafficAddress()+path, nil)
	assert.NilError(t, err)
	r.Header.Set("Wasabi-Service", service)
	r.Header.Set("Wasabi-Caller", "client")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return ln
}
