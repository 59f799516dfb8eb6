package wasabiraft_test

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// simSettings make batches, pipelines, snapshots and their parts small, so
// that a short run meets all of them.
func simSettings() wasabiraft.Settings {
	s := wasabiraft.NewSettings().WithElection(100*time.Millisecond, 20*time.Millisecond).WithSnapshots(15, 4)
	s.MaxMessageBytes, s.MaxInflight = 150, 3
	return s
}

type packet struct {
	at   time.Time
	turn int // keeps the order of packets of one time
	m    *wasabistandv1.GroupMessage
}

type packets []packet

func (p packets) Len() int { return len(p) }
func (p packets) Less(i, j int) bool {
	return p[i].at.Before(p[j].at) || p[i].at.Equal(p[j].at) && p[i].turn < p[j].turn
}
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packets) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packets) Pop() any {
	x := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return x
}

// host is one member's place: a disk and perhaps a running replica.
type host struct {
	id      string
	fs      *wasabifault.Memory
	folder  *wasabidisk.Folder
	store   *wasabidisk.Store
	storage string
	replica *wasabiraft.Replica // nil while down
	up      time.Time           // when to restart
	join    bool
	// crashAtSync is a crash in the next Ready: 1 before its sync, 2 after it.
	crashAtSync int
	applied     uint64
	chain       uint64
	reads       map[uint64]uint64 // least index allowed, by read
}

// sim is a group of replicas on simulated disks and a simulated network. It
// checks the oracles after each step.
type sim struct {
	random  *rand.Rand
	rule    string // broken on purpose
	now     time.Time
	list    []*wasabistandv1.Member
	hosts   []*host
	queue   packets
	turn    int
	cut     map[[2]string]bool
	loss    int // percent
	steps   int
	reads   int
	command int

	wrong error // the first oracle that failed
	// The oracles' memory.
	leaders   map[uint64]string
	committed []committedEntry // from index 1
	maxCommit uint64
}

type committedEntry struct {
	e     *wasabistandv1.LogEntry
	chain uint64
	// by is the lowest term of a replica that applied it.
	by uint64
}

func newSim(seed uint64, size int, rule string) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 0)), rule: rule, now: time.Unix(1000, 0),
		cut: map[[2]string]bool{}, leaders: map[uint64]string{},
	}
	for i := range 7 {
		id := fmt.Sprintf("n%d", i+1)
		s.hosts = append(s.hosts, &host{id: id, fs: wasabifault.New()})
		if i < size {
			s.list = append(s.list, &wasabistandv1.Member{Id: id, Address: id})
		}
	}
	for _, h := range s.hosts[:size] {
		s.start(h)
	}
	return s
}

func (s *sim) fail(format string, a ...any) {
	if s.wrong == nil {
		s.wrong = fmt.Errorf("step %d: "+format, append([]any{s.steps}, a...)...)
	}
}

func (s *sim) must(err error) {
	if err != nil {
		s.fail("%v", err)
	}
}

// start opens a host's disk and starts its replica.
func (s *sim) start(h *host) {
	var err error
	if h.folder, err = wasabidisk.Open(h.fs, "/data", "test"); err == nil {
		h.storage = h.folder.Identity().Storage
		h.store, err = h.folder.Group("root", wasabidisk.Options{}.WithSegmentBytes(3000))
	}
	if err != nil {
		s.fail("%s does not start: %v", h.id, err)
		return
	}
	held := h.store.State()
	state := wasabiraft.State{HardState: held.HardState, Snapshot: held.Snapshot, Entries: held.Entries}
	if held.Empty() && !h.join {
		state, err = wasabiraft.Bootstrap(s.list)
		s.must(err)
		s.must(h.store.Save(state.HardState, state.Entries))
	}
	h.applied, h.chain, h.reads, h.crashAtSync = 0, 0, map[uint64]uint64{}, 0
	if state.Snapshot != nil {
		s.restore(h, state.Snapshot)
	}
	self := wasabiraft.Self{ID: h.id, Address: h.id, Storage: h.storage}
	h.replica, err = wasabiraft.New(self, simSettings(), state, rand.New(rand.NewPCG(s.random.Uint64(), 0)), s.now)
	s.must(err)
	if err == nil {
		h.replica.Break(s.rule)
		s.pump(h)
	}
}

func (s *sim) crash(h *host) {
	if h.replica == nil {
		return
	}
	h.replica, h.store, h.folder = nil, nil, nil
	h.fs.Crash(s.random)
	h.up = s.now.Add(time.Duration(s.random.IntN(400)) * time.Millisecond)
}

func (s *sim) host(id string) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// send puts messages on the network, which loses, delays, repeats and reorders
// them.
func (s *sim) send(list []*wasabistandv1.GroupMessage) {
	for _, m := range list {
		for range 1 + s.random.IntN(20)/19 {
			if s.random.IntN(100) < s.loss {
				continue
			}
			delay := time.Millisecond * time.Duration(1+s.random.IntN(8))
			if s.loss > 0 && s.random.IntN(30) == 0 {
				delay *= 40
			}
			s.turn++
			// Copied, as a real network does.
			heap.Push(&s.queue, packet{s.now.Add(delay), s.turn, proto.CloneOf(m)})
		}
	}
}

// pump does what a replica wants, as Runner does.
func (s *sim) pump(h *host) {
	for s.wrong == nil {
		s.check(h)
		d := h.replica.Ready()
		if d.Empty() {
			return
		}
		s.send(d.Now)
		syncs := d.HardState != nil || len(d.Entries) > 0 || d.Snapshot != nil
		if syncs && h.crashAtSync == 1 {
			h.fs.FailSyncs(s.random.IntN(2), 1)
			s.persist(h, d)
			h.fs.FailSyncs(0, 0)
			s.crash(h)
			return
		}
		s.must(s.persist(h, d))
		if syncs && h.crashAtSync == 2 {
			s.crash(h)
			return
		}
		h.replica.Synced(s.now)
		s.send(d.AfterSync)
		if d.Snapshot != nil {
			s.restore(h, d.Snapshot)
		}
		for _, e := range d.Committed {
			s.apply(h, e)
		}
		for _, r := range d.Reads {
			if floor, ok := h.reads[r.ID]; ok {
				delete(h.reads, r.ID)
				s.reads++
				if r.Index < floor {
					s.fail("%s answers a read at index %d, but index %d was committed before it was asked", h.id, r.Index, floor)
				}
			}
		}
		s.snapshot(h)
	}
}

func (s *sim) persist(h *host, d wasabiraft.Ready) error {
	if n := d.Snapshot; n != nil {
		if err := h.store.SaveSnapshot(n); err != nil {
			return err
		}
		if err := h.store.Reset(n.GetIndex(), n.GetTerm()); err != nil {
			return err
		}
	}
	return h.store.Save(d.HardState, d.Entries)
}

// restore installs a snapshot's state, which must be that of the sequence.
func (s *sim) restore(h *host, n *wasabistandv1.LogSnapshot) {
	b := n.GetState()
	h.applied, h.chain = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	if h.applied != n.GetIndex() || h.applied > uint64(len(s.committed)) || s.committed[h.applied-1].chain != h.chain {
		s.fail("%s installs a snapshot at index %d that differs from what was applied", h.id, n.GetIndex())
	}
}

func (s *sim) apply(h *host, e *wasabistandv1.LogEntry) {
	i := e.GetIndex()
	if i != h.applied+1 {
		s.fail("%s applies index %d after %d", h.id, i, h.applied)
		return
	}
	h.applied = i
	h.chain = h.chain*1099511628211 + e.GetTerm()*31 + i
	for _, x := range e.GetData() {
		h.chain = h.chain*1099511628211 + uint64(x)
	}
	if i > uint64(len(s.committed)) {
		s.committed = append(s.committed, committedEntry{e, h.chain, h.replica.Term()})
		return
	}
	c := &s.committed[i-1]
	if c.e.GetTerm() != e.GetTerm() || !bytes.Equal(c.e.GetData(), e.GetData()) || c.chain != h.chain {
		s.fail("%s applies an entry of term %d at index %d, where one of term %d was applied", h.id, e.GetTerm(), i, c.e.GetTerm())
	}
	c.by = min(c.by, h.replica.Term())
}

// check compares a replica with the oracles' memory.
func (s *sim) check(h *host) {
	s.maxCommit = max(s.maxCommit, h.replica.Commit())
	if h.replica.Role() != wasabiraft.Leader {
		return
	}
	term, who := h.replica.Term(), h.id+"@"+h.storage
	if other, ok := s.leaders[term]; ok {
		if other != who {
			s.fail("%s and %s lead in term %d", other, who, term)
		}
		return
	}
	s.leaders[term] = who
	base, last := h.replica.Bounds()
	for i, c := range s.committed {
		index := uint64(i + 1)
		if c.by >= term || index < base {
			continue
		}
		if t, ok := h.replica.TermAt(index); !ok || t != c.e.GetTerm() {
			s.fail("%s leads in term %d with a log that ends at %d and lacks index %d, committed in term %d", h.id, term, last, index, c.by)
			return
		}
	}
}

func (s *sim) snapshot(h *host) {
	settings := simSettings()
	if h.applied < h.replica.Status().Snapshot+uint64(settings.SnapshotEvery) {
		return
	}
	b := binary.LittleEndian.AppendUint64(nil, h.applied)
	b = append(binary.LittleEndian.AppendUint64(b, h.chain), make([]byte, 400)...)
	n := h.replica.SnapshotAt(h.applied, b)
	if n == nil {
		return
	}
	s.must(h.store.SaveSnapshot(n))
	h.replica.Compact(n)
	s.must(h.store.Compact(n.GetIndex()))
}

// run lets time pass: each step is one message, timer or restart.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.wrong == nil; {
		at, h := end, (*host)(nil)
		for _, x := range s.hosts {
			next := x.up
			if x.replica != nil {
				next = x.replica.Next()
			}
			if !next.IsZero() && next.Before(at) {
				at, h = next, x
			}
		}
		if len(s.queue) > 0 && s.queue[0].at.Before(at) {
			p := heap.Pop(&s.queue).(packet)
			s.now = maxTime(s.now, p.at)
			s.deliver(p.m)
			continue
		}
		s.now = maxTime(s.now, at)
		if h == nil {
			return
		}
		s.steps++
		if h.replica == nil {
			h.up = time.Time{}
			s.start(h)
			continue
		}
		h.replica.Tick(s.now)
		s.pump(h)
	}
}

func (s *sim) deliver(m *wasabistandv1.GroupMessage) {
	h := s.host(m.GetTo())
	if h.replica == nil || s.cut[[2]string{m.GetFrom(), m.GetTo()}] {
		return
	}
	s.steps++
	h.replica.Step(s.now, m)
	s.pump(h)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// running returns the hosts with a replica.
func (s *sim) running() []*host {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.replica == nil })
}

// intact reports whether a majority of the voters of each list that may be in
// force has its disk, when the host that is left out loses it.
func (s *sim) intact(without *host, more ...*wasabistandv1.Members) bool {
	ok := true
	look := func(list *wasabistandv1.Members) {
		voters, good := 0, 0
		for _, m := range list.GetMembers() {
			if !m.GetVoter() {
				continue
			}
			voters++
			h := s.host(m.GetId())
			if h != without && (m.GetStorage() == h.storage || m.GetStorage() == "" && !h.join) {
				good++
			}
		}
		ok = ok && good > voters/2
	}
	for _, h := range s.hosts {
		if h.replica != nil {
			h.replica.Lists(look)
		} else if h.storage != "" {
			return false // its lists are not known
		}
	}
	for _, m := range more {
		look(m)
	}
	return ok
}
