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

// simSettings returns small limits for batches, pipelines, snapshots and their
// parts, so that a short run covers all of them.
func simSettings() wasabiraft.Settings {
	s := wasabiraft.NewSettings().WithElection(100*time.Millisecond, 20*time.Millisecond).WithSnapshots(15, 4)
	s.MaxMessageBytes, s.MaxInflight = 150, 3
	return s
}

type packet struct {
	at       time.Time
	sequence int // orders packets with the same time
	m        *wasabistandv1.GroupMessage
}

type packets []packet

func (p packets) Len() int { return len(p) }
func (p packets) Less(i, j int) bool {
	return p[i].at.Before(p[j].at) || p[i].at.Equal(p[j].at) && p[i].sequence < p[j].sequence
}
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packets) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packets) Pop() any {
	x := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return x
}

// host is the disk of one member and its replica, if that is running.
type host struct {
	id        string
	fs        *wasabifault.Memory
	folder    *wasabidisk.Folder
	store     *wasabidisk.Store
	storage   string
	replica   *wasabiraft.Replica   // nil while down or paused
	paused    *wasabiraft.Replica   // the replica of a process that stands still
	previous  []*wasabifault.Memory // the disks that this one replaced
	restartAt time.Time             // restart time of a crashed host, zero for none
	join      bool
	// crashAtSync schedules a crash in the next Ready that needs a sync: 1
	// during the sync, 2 after it, 0 for none.
	crashAtSync int
	applied     uint64
	hash        uint64
	reads       map[uint64]uint64 // minimum allowed index by read ID
}

// sim runs a group of replicas on simulated disks and a simulated network. It
// checks the oracles after each step.
type sim struct {
	random         *rand.Rand
	settings       wasabiraft.Settings
	unsafeBehavior string // passed to Replica.AllowUnsafe
	now            time.Time
	initialMembers []*wasabistandv1.Member
	hosts          []*host
	queue          packets
	sequence       int
	blockedLinks   map[[2]string]bool
	loss           int // percent
	steps          int
	reads          int
	command        int

	failure error // first violation that an oracle detected
	// State of the oracles.
	leaders   map[uint64]string
	committed []committedEntry // from index 1
	maxCommit uint64
}

type committedEntry struct {
	e    *wasabistandv1.LogEntry
	hash uint64
	// minTerm is the lowest term of a replica that applied the entry.
	minTerm uint64
}

func newSim(seed uint64, size int, behavior string) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 0)), settings: simSettings(), unsafeBehavior: behavior, now: time.Unix(1000, 0),
		blockedLinks: map[[2]string]bool{}, leaders: map[uint64]string{},
	}
	for i := range 7 {
		id := fmt.Sprintf("n%d", i+1)
		s.hosts = append(s.hosts, &host{id: id, fs: wasabifault.New()})
		if i < size {
			s.initialMembers = append(s.initialMembers, &wasabistandv1.Member{Id: id, Address: id})
		}
	}
	for _, h := range s.hosts[:size] {
		s.start(h)
	}
	return s
}

func (s *sim) fail(format string, a ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("step %d: "+format, append([]any{s.steps}, a...)...)
	}
}

func (s *sim) failOnError(err error) {
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
	stored := h.store.State()
	state := wasabiraft.State{HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries}
	if stored.Empty() && !h.join {
		state, err = wasabiraft.Bootstrap(s.initialMembers)
		s.failOnError(err)
		s.failOnError(h.store.Save(state.HardState, state.Entries))
	}
	h.applied, h.hash, h.reads, h.crashAtSync = 0, 0, map[uint64]uint64{}, 0
	if state.Snapshot != nil {
		s.restore(h, state.Snapshot)
	}
	self := wasabiraft.Self{ID: h.id, Address: h.id, Storage: h.storage}
	h.replica, err = wasabiraft.New(self, s.settings, state, rand.New(rand.NewPCG(s.random.Uint64(), 0)), s.now)
	s.failOnError(err)
	if err == nil {
		h.replica.AllowUnsafe(s.unsafeBehavior)
		s.processReady(h)
	}
}

func (s *sim) crash(h *host) {
	if h.replica == nil {
		return
	}
	h.replica, h.store, h.folder = nil, nil, nil
	h.fs.Crash(s.random)
	h.restartAt = s.now.Add(time.Duration(s.random.IntN(400)) * time.Millisecond)
}

func (s *sim) host(id string) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// send puts messages on the simulated network, which loses, delays, duplicates
// and reorders them.
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
			s.sequence++
			// Cloned, since a real network does not share memory.
			heap.Push(&s.queue, packet{s.now.Add(delay), s.sequence, proto.CloneOf(m)})
		}
	}
}

// processReady does the replica's pending work in the same order as Runner.
func (s *sim) processReady(h *host) {
	for s.failure == nil {
		s.checkLeader(h)
		d := h.replica.Ready()
		if d.Empty() {
			return
		}
		s.send(d.BeforeSync)
		syncs := d.HardState != nil || len(d.Entries) > 0 || d.Snapshot != nil
		if syncs && h.crashAtSync == 1 {
			h.fs.FailSyncs(s.random.IntN(2), 1)
			s.persist(h, d)
			h.fs.FailSyncs(0, 0)
			s.crash(h)
			return
		}
		s.failOnError(s.persist(h, d))
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
			if minIndex, ok := h.reads[r.ID]; ok {
				delete(h.reads, r.ID)
				s.reads++
				if r.Index < minIndex {
					s.fail("%s confirms a read at index %d, but index %d was committed before it was requested", h.id, r.Index, minIndex)
				}
			}
		}
		s.takeSnapshot(h)
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

// restore installs the state of a snapshot, which must match the committed
// sequence.
func (s *sim) restore(h *host, n *wasabistandv1.LogSnapshot) {
	b := n.GetState()
	h.applied, h.hash = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	if h.applied != n.GetIndex() || h.applied > uint64(len(s.committed)) || s.committed[h.applied-1].hash != h.hash {
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
	h.hash = h.hash*1099511628211 + e.GetTerm()*31 + i
	for _, x := range e.GetData() {
		h.hash = h.hash*1099511628211 + uint64(x)
	}
	if i > uint64(len(s.committed)) {
		s.committed = append(s.committed, committedEntry{e, h.hash, h.replica.Term()})
		return
	}
	c := &s.committed[i-1]
	if c.e.GetTerm() != e.GetTerm() || !bytes.Equal(c.e.GetData(), e.GetData()) || c.hash != h.hash {
		s.fail("%s applies an entry of term %d at index %d, where one of term %d was applied", h.id, e.GetTerm(), i, c.e.GetTerm())
	}
	c.minTerm = min(c.minTerm, h.replica.Term())
}

// checkLeader checks that a leader is the only one in its term and that its log
// contains every entry committed in an earlier term.
func (s *sim) checkLeader(h *host) {
	s.maxCommit = max(s.maxCommit, h.replica.CommitIndex())
	if h.replica.Role() != wasabiraft.Leader {
		return
	}
	term, leader := h.replica.Term(), h.id+"@"+h.storage
	if other, ok := s.leaders[term]; ok {
		if other != leader {
			s.fail("%s and %s are both leader in term %d", other, leader, term)
		}
		return
	}
	s.leaders[term] = leader
	base, last := h.replica.LogBounds()
	for i, c := range s.committed {
		index := uint64(i + 1)
		if c.minTerm >= term || index < base {
			continue
		}
		if t, ok := h.replica.TermAt(index); !ok || t != c.e.GetTerm() {
			s.fail("%s is leader in term %d, but its log, which ends at %d, lacks index %d, committed in term %d", h.id, term, last, index, c.minTerm)
			return
		}
	}
}

func (s *sim) takeSnapshot(h *host) {
	if h.applied < h.replica.Status().SnapshotIndex+uint64(s.settings.SnapshotEvery) {
		return
	}
	b := binary.LittleEndian.AppendUint64(nil, h.applied)
	b = append(binary.LittleEndian.AppendUint64(b, h.hash), make([]byte, 400)...)
	n := h.replica.SnapshotAt(h.applied, b)
	if n == nil {
		return
	}
	s.failOnError(h.store.SaveSnapshot(n))
	h.replica.Compact(n)
	s.failOnError(h.store.Compact(n.GetIndex()))
}

// run advances the simulated time by d. Each step is one message, timer or
// restart.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.failure == nil; {
		at, h := end, (*host)(nil)
		for _, x := range s.hosts {
			next := x.restartAt
			if x.replica != nil {
				next = x.replica.NextTick()
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
			h.restartAt = time.Time{}
			s.start(h)
			continue
		}
		h.replica.Tick(s.now)
		s.processReady(h)
	}
}

func (s *sim) deliver(m *wasabistandv1.GroupMessage) {
	h := s.host(m.GetTo())
	if h.replica == nil || s.blockedLinks[[2]string{m.GetFrom(), m.GetTo()}] {
		return
	}
	s.steps++
	h.replica.Step(s.now, m)
	s.processReady(h)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// running returns the hosts with a running replica.
func (s *sim) running() []*host {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.replica == nil })
}

// hasIntactMajorities reports whether, for each member list that may be active,
// a majority of the voters still has its disk. The host without counts as having
// lost its disk. The lists in more are checked as well.
func (s *sim) hasIntactMajorities(without *host, more ...*wasabistandv1.Members) bool {
	ok := true
	checkList := func(list *wasabistandv1.Members) {
		voters, intact := 0, 0
		for _, m := range list.GetMembers() {
			if !m.GetVoter() {
				continue
			}
			voters++
			h := s.host(m.GetId())
			if h != without && (m.GetStorage() == h.storage || m.GetStorage() == "" && !h.join) {
				intact++
			}
		}
		ok = ok && intact > voters/2
	}
	for _, h := range s.hosts {
		if h.replica != nil {
			h.replica.ForEachMemberList(checkList)
		} else if h.storage != "" {
			return false // the member lists on its disk are unknown while it is down
		}
	}
	for _, m := range more {
		checkList(m)
	}
	return ok
}
