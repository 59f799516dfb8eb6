package wasabimesh_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/process/wasabimesh"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabisession"
)

const (
	// contactWindow is the time without faults after which machines are in touch.
	contactWindow = 3 * time.Second
	sampleEvery   = 20 * time.Millisecond
	// finalTime is the contact window and the time to catch up, 4 s.
	finalTime     = contactWindow + 4*time.Second
	maxFinalTime  = 40 * time.Second
	controlCount  = 5
	seedCount     = 3
	operatorCount = 4
)

// Environment variables that replace the seed and the length of a run, and name a file
// for the logs of its control instances.
const (
	seedVariable    = "WASABI_STRESS_SEED"
	secondsVariable = "WASABI_STRESS_SECONDS"
	logVariable     = "WASABI_STRESS_LOG"
)

// member is a control instance. The mutex of stress guards daemon and isGone.
type member struct {
	id, folder string
	changing   sync.Mutex // held during a start and an end, since faults may overlap
	settings   wasabimesh.ControlSettings
	daemon     *wasabimesh.ControlDaemon
	isGone     bool // another member has replaced it
}

// stressNode is a node with a session and no traffic. Its mutex guards the session,
// which a restart replaces.
type stressNode struct {
	mu       sync.Mutex
	id       string
	lifetime int
	faultAt  time.Time
	pool     *wasabilink.Pool
	session  *wasabisession.Session
	seen     *wasabistand.View
	content  string
}

// stress is a run of control instances, nodes and operators under faults.
type stress struct {
	t       *testing.T
	network *network
	oracle  *oracle
	dir     string
	log     zerolog.Logger
	end     time.Time

	mu       sync.Mutex
	members  []*member
	nodes    []*stressNode
	faults   int // in progress at control instances
	faultAt  time.Time
	schedule []string
	// quietUntil is the time until which operators send no changes, so that nothing
	// makes up for a push that is lost.
	quietUntil time.Time
	starved    int
	probeStart atomic.Pointer[time.Time] // of the probe in progress, nil for none
	ports      int
	counts     map[string]int
}

// setting returns an environment variable that contains a number.
func setting(t *testing.T, name string, value uint64) uint64 {
	t.Helper()
	if text := os.Getenv(name); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err, name)
		return n
	}
	return value
}

// Guards against confirmed changes that are lost or not in force under faults.
func TestStressKeepsConfirmedChanges(t *testing.T) {
	seed, seconds := setting(t, seedVariable, 1), setting(t, secondsVariable, 20)
	s := &stress{t: t, network: newNetwork(), oracle: newOracle(time.Now()), dir: t.TempDir(), log: zerolog.Nop(), counts: map[string]int{}}
	if name := os.Getenv(logVariable); name != "" {
		f, err := os.Create(name)
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, f.Close()) })
		zerolog.TimeFieldFormat = time.RFC3339Nano
		s.log = zerolog.New(f).With().Timestamp().Logger()
	}
	s.end = time.Now().Add(time.Duration(seconds) * time.Second)
	random := rand.New(rand.NewPCG(seed, 0))
	s.start(random)
	var wait, sampling sync.WaitGroup
	stop := make(chan struct{})
	sampling.Go(func() { s.sample(stop) })
	sampling.Go(func() { s.probe(stop) })
	for k := range uint64(operatorCount) {
		wait.Go(func() { s.operate(rand.New(rand.NewPCG(seed, k+1)), fmt.Sprintf("v-%d", k)) })
	}
	wait.Go(func() { s.readAll(rand.New(rand.NewPCG(seed, 100))) })
	wait.Go(func() { s.restartNodes(rand.New(rand.NewPCG(seed, 101))) })
	s.injectFaults(random)
	wait.Wait()
	s.finish()
	close(stop)
	sampling.Wait()
	broken := s.oracle.result(time.Now())
	t.Logf("seed %d, GOMAXPROCS %d: %v, starved %d times", seed, runtime.GOMAXPROCS(0), s.counts, s.starved)
	if t.Failed() || len(broken) > 0 {
		t.Errorf("seed %d broke rules:\n%s\nschedule:\n%s", seed, strings.Join(broken, "\n"), strings.Join(s.schedule, "\n"))
	}
}

func (s *stress) start(random *rand.Rand) {
	for k := range controlCount {
		s.members = append(s.members, s.newMember(fmt.Sprintf("c%d", k)))
	}
	// Some runs have regions that are 10 to 20 ms apart.
	if random.IntN(2) == 0 {
		for _, m := range s.members {
			s.network.delay[m.id] = time.Duration(random.IntN(11)) * time.Millisecond
		}
	}
	for k, m := range s.members {
		m.settings.InitialMembers = s.seeds()
		m.settings.Join = k >= seedCount // until its first start
		s.open(m)
	}
	s.t.Cleanup(func() {
		for _, m := range s.members {
			s.kill(m)
		}
	})
	for k := range 20 + random.IntN(41) {
		n := &stressNode{id: fmt.Sprintf("n%d", k)}
		s.nodes = append(s.nodes, n)
		s.openNode(n)
	}
	s.t.Cleanup(func() {
		s.network.joinAll()
		for _, n := range s.nodes {
			s.closeNode(n)
		}
	})
}

func (s *stress) newMember(id string) *member {
	m := &member{id: id, folder: filepath.Join(s.dir, id)}
	m.settings = wasabimesh.ControlSettings{
		Cluster: "test", Instance: id, Location: location, Folder: m.folder, Link: s.freeAddress(), API: s.freeAddress(), Operators: s.freeAddress(),
		ToleratedDiskLosses: 2, Join: true,
		Links: func(o wasabilink.Options) wasabilink.Options { return o.WithDial(s.network.dial(id)) },
	}
	s.network.setName(m.settings.Link, id)
	return m
}

// freeAddress returns an address of this process alone, so that the ports of its members
// are free when they start again.
func (s *stress) freeAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ports++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f, 20000+s.ports)
}

// seeds returns the first members, which nodes and new members know.
func (s *stress) seeds() (list []wasabicontrol.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members[:seedCount] {
		list = append(list, wasabicontrol.Member{ID: m.id, Address: m.settings.Link})
	}
	return list
}

func (s *stress) seedAddresses() (list []string) {
	for _, m := range s.seeds() {
		list = append(list, m.Address)
	}
	return list
}

// open starts a control instance unless it runs or was replaced.
func (s *stress) open(m *member) {
	m.changing.Lock()
	defer m.changing.Unlock()
	s.mu.Lock()
	skip := m.daemon != nil || m.isGone
	s.mu.Unlock()
	if skip {
		return
	}
	d := wasabimesh.NewControl(m.settings, s.log, func(*wasabimesh.ControlDaemon) http.Handler { return http.NotFoundHandler() })
	if err := d.Start(context.Background()); err != nil {
		s.t.Errorf("start of %s: %v", m.id, err)
		_ = d.Close()
		return
	}
	s.mu.Lock()
	m.daemon = d
	s.mu.Unlock()
	// Only the first start may form a group.
	m.settings.Join = true
}

// take returns the daemon of a member and marks the member as stopped.
func (s *stress) take(m *member) *wasabimesh.ControlDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := m.daemon
	m.daemon = nil
	return d
}

// kill ends a control instance at once.
func (s *stress) kill(m *member) {
	m.changing.Lock()
	defer m.changing.Unlock()
	if d := s.take(m); d != nil {
		if err := d.Close(); err != nil {
			s.t.Errorf("end of %s: %v", m.id, err)
		}
	}
}

// shutdown ends a control instance as planned.
func (s *stress) shutdown(m *member) {
	m.changing.Lock()
	defer m.changing.Unlock()
	if d := s.take(m); d != nil {
		_ = d.Shutdown(context.Background())
		_ = d.Close()
	}
}

// randomMember returns a control instance that may have stopped, nil for none.
func (s *stress) randomMember(random *rand.Rand) (string, *wasabicontrol.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[random.IntN(len(s.members))]
	if m.daemon == nil {
		return m.id, nil
	}
	return m.id, m.daemon.Instance()
}

func (s *stress) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// openNode starts a process of a node, whose mutex must be held or not be needed yet.
func (s *stress) openNode(n *stressNode) {
	n.lifetime++
	n.faultAt = time.Now()
	incarnation := uint64(time.Now().UnixNano())
	n.pool = wasabilink.NewPool(wasabimesh.LinkOptions("test", n.id, incarnation, zerolog.Nop()).WithDial(s.network.dial(n.id)), nil)
	n.session = wasabisession.New(wasabimesh.SessionOptions(s.seedAddresses()), n.pool, wasabistand.Instance{
		ID: n.id, Incarnation: incarnation, Service: "s", LinkAddress: "127.0.0.1:1", Slots: 1, Connections: 1,
		State: wasabistand.Ready, Location: location,
	}, nil)
}

func (s *stress) closeNode(n *stressNode) {
	if err := n.session.Close(); err != nil {
		s.t.Errorf("end of %s: %v", n.id, err)
	}
	_ = n.pool.Close()
}

// restartNodes restarts nodes and silences their links.
func (s *stress) restartNodes(random *rand.Rand) {
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		n := s.nodes[random.IntN(len(s.nodes))]
		if random.IntN(3) == 0 {
			s.silenceNode(n, random)
			continue
		}
		n.mu.Lock()
		s.closeNode(n)
		s.openNode(n)
		n.mu.Unlock()
	}
}

// silenceNode cuts a node's paths to control instances for a time.
func (s *stress) silenceNode(n *stressNode, random *rand.Rand) {
	var list []path
	s.mu.Lock()
	for _, m := range s.members {
		list = append(list, path{n.id, m.id}, path{m.id, n.id})
	}
	s.mu.Unlock()
	if random.IntN(2) == 0 {
		list = slices.DeleteFunc(list, func(p path) bool { return p.from == n.id })
	}
	n.mu.Lock()
	n.faultAt = time.Now().Add(time.Hour)
	n.mu.Unlock()
	s.network.setCut(true, list...)
	time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	s.network.setCut(false, list...)
	n.mu.Lock()
	n.faultAt = time.Now()
	n.mu.Unlock()
}

// sample checks the configurations in force at all nodes until stop is closed.
func (s *stress) sample(stop <-chan struct{}) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		now := time.Now()
		if now.Sub(last) > maxStarvation {
			s.starve(now)
		}
		s.mu.Lock()
		if s.isProbeLate(now) {
			s.faultAt = now
		}
		calm := s.faults == 0 && now.Sub(s.faultAt) > contactWindow
		s.mu.Unlock()
		last = now
		for _, n := range s.nodes {
			s.sampleNode(n, calm)
		}
	}
}

func (s *stress) sampleNode(n *stressNode, calm bool) {
	if !n.mu.TryLock() {
		return // restarts
	}
	defer n.mu.Unlock()
	now := time.Now()
	inTouch := calm && now.Sub(n.faultAt) > contactWindow
	v := n.session.View()
	if v == nil {
		s.oracle.see(now, n.name(), inTouch, 0, "")
		return
	}
	if v != n.seen {
		n.seen, n.content = v, ""
		for name := range v.Configuration.Callers {
			if strings.HasPrefix(name, "v-") {
				n.content = name
			}
		}
	}
	s.oracle.see(now, n.name(), inTouch, v.Revision, n.content)
}

func (n *stressNode) name() string { return fmt.Sprintf("%s/%d", n.id, n.lifetime) }
