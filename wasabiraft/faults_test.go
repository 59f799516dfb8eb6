package wasabiraft_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// randomHost returns a random running host, or nil if there is none.
func (s *sim) randomHost() *host {
	list := s.running()
	if len(list) == 0 {
		return nil
	}
	return list[s.random.IntN(len(list))]
}

func (s *sim) leader() *host {
	var best *host
	for _, h := range s.running() {
		if h.replica.Role() == wasabiraft.Leader && (best == nil || h.replica.Term() > best.replica.Term()) {
			best = h
		}
	}
	return best
}

// actions are the operations and faults that a simulation chooses from.
var actions = map[string]func(s *sim){
	"run":       func(s *sim) { s.run(time.Duration(1+s.random.IntN(60)) * time.Millisecond) },
	"runLonger": func(s *sim) { s.run(time.Duration(1+s.random.IntN(500)) * time.Millisecond) },
	"propose": func(s *sim) {
		for _, h := range s.running() {
			if h.replica.Role() != wasabiraft.Leader {
				continue
			}
			var batch [][]byte
			for range 1 + s.random.IntN(6) {
				s.command++
				batch = append(batch, fmt.Appendf(nil, "%0*d", 1+s.random.IntN(90), s.command))
			}
			_, _, _ = h.replica.Propose(s.now, batch)
			s.processReady(h)
		}
	},
	"read": func(s *sim) {
		for _, h := range s.running() {
			if id, err := h.replica.Read(); err == nil {
				h.reads[id] = s.maxCommit
				s.processReady(h)
			}
		}
	},
	"cutOneWay": func(s *sim) {
		s.blockedLinks[[2]string{s.hosts[s.random.IntN(7)].id, s.hosts[s.random.IntN(7)].id}] = true
	},
	"isolate": func(s *sim) {
		h := s.hosts[s.random.IntN(7)]
		for _, x := range s.hosts {
			s.blockedLinks[[2]string{h.id, x.id}], s.blockedLinks[[2]string{x.id, h.id}] = true, true
		}
	},
	"isolateLeader": func(s *sim) {
		if h := s.leader(); h != nil {
			for _, x := range s.hosts {
				s.blockedLinks[[2]string{h.id, x.id}], s.blockedLinks[[2]string{x.id, h.id}] = true, true
			}
		}
	},
	"heal": func(s *sim) { clear(s.blockedLinks) },
	"loss": func(s *sim) { s.loss = s.random.IntN(30) },
	"crash": func(s *sim) {
		if h := s.randomHost(); h != nil {
			s.crash(h)
		}
	},
	"crashAtSync": func(s *sim) {
		if h := s.randomHost(); h != nil {
			h.crashAtSync = 1 + s.random.IntN(2)
		}
	},
	"replaceDisk": (*sim).replaceDisk,
	"swapDisks":   (*sim).swapDisks,
	"return":      (*sim).returnRemoved,
	"add":         (*sim).add,
	"remove":      (*sim).remove,
	"transfer": func(s *sim) {
		if h := s.leader(); h != nil {
			_ = h.replica.Transfer(s.now, "")
			s.processReady(h)
		}
	},
}

// replaceDisk replaces a random member's disk by an empty one, unless a majority
// would then have lost its data, which no protocol tolerates.
func (s *sim) replaceDisk() {
	h := s.randomHost()
	if h == nil || !s.hasIntactMajorities(h) {
		return
	}
	s.crash(h)
	h.previous = append(h.previous, h.fs)
	h.fs, h.storage, h.join = wasabifault.New(), "", true
	s.start(h)
}

// swapDisks gives a random host one of its earlier disks back, unless a majority would
// then lack its data. The disk has its old log, member lists and votes.
func (s *sim) swapDisks() {
	h := s.randomHost()
	if h == nil || len(h.previous) == 0 || !s.hasIntactMajorities(h) {
		return
	}
	s.crash(h)
	k := s.random.IntN(len(h.previous))
	h.fs, h.previous[k] = h.previous[k], h.fs
	s.start(h)
}

// returnRemoved names the disk of a random host to the leader, as a host that was removed
// or whose listed disk is another one does.
func (s *sim) returnRemoved() {
	l, h := s.leader(), s.randomHost()
	if l == nil || h == l || !l.replica.CanChangeMembers() {
		return
	}
	for _, m := range l.replica.Members().GetMembers() {
		if m.GetId() == h.id && m.GetStorage() == "" {
			return
		}
	}
	// A disk that responds, or the only vote, can't be replaced.
	_, _, _ = l.replica.ChangeMembers(s.now, wasabiraft.MemberChange{Add: &wasabistandv1.Member{Id: h.id, Address: h.id, Storage: h.storage}})
	s.processReady(l)
}

// add adds a host that is in no member list, with an empty disk.
func (s *sim) add() {
	l := s.leader()
	if l == nil || !l.replica.CanChangeMembers() || !s.hasIntactMajorities(nil) {
		return
	}
	listed := map[string]bool{}
	for _, h := range s.running() {
		h.replica.ForEachMemberList(func(m *wasabistandv1.Members) {
			for _, x := range m.GetMembers() {
				listed[x.GetId()] = true
			}
		})
	}
	for _, h := range s.hosts {
		if listed[h.id] {
			continue
		}
		if h.replica != nil {
			s.crash(h)
		}
		h.previous = append(h.previous, h.fs)
		h.fs, h.join = wasabifault.New(), true
		s.start(h)
		_, _, err := l.replica.ChangeMembers(s.now, wasabiraft.MemberChange{Add: &wasabistandv1.Member{Id: h.id, Address: h.id}})
		s.failOnError(err)
		s.processReady(l)
		return
	}
}

func (s *sim) remove() {
	l := s.leader()
	if l == nil || !l.replica.CanChangeMembers() {
		return
	}
	next := l.replica.Members()
	n := s.random.IntN(len(next.GetMembers()))
	id := next.GetMembers()[n].GetId()
	next.Members = append(next.Members[:n:n], next.Members[n+1:]...)
	if s.hasIntactMajorities(nil, next) {
		_, _, err := l.replica.ChangeMembers(s.now, wasabiraft.MemberChange{Remove: id})
		s.failOnError(err)
		s.processReady(l)
	}
}

// requireProgress stops all faults and requires that, within 10 s, each member
// of the list has applied a new command and confirmed a read.
func (s *sim) requireProgress() {
	clear(s.blockedLinks)
	s.loss = 0
	for _, h := range s.hosts {
		h.crashAtSync = 0
	}
	s.run(time.Second)
	var index uint64
	for range 100 {
		s.run(100 * time.Millisecond)
		l := s.leader()
		if s.failure != nil {
			return
		}
		if l == nil {
			continue
		}
		s.nameDisks(l)
		if index == 0 || uint64(len(s.committed)) < index {
			if i, _, err := l.replica.Propose(s.now, [][]byte{[]byte("last")}); err == nil {
				index = i
				s.processReady(l)
			}
			continue
		}
		if s.hasRecovered(l, index) {
			return
		}
	}
	text := ""
	for _, h := range s.running() {
		text += fmt.Sprintf("\n%+v", h.replica.Status())
	}
	s.fail("no progress 10 s after the faults stopped: %s", text)
}

// nameDisks names to the leader the disks that its list lacks.
func (s *sim) nameDisks(l *host) {
	for _, m := range l.replica.Members().GetMembers() {
		if h := s.host(m.GetId()); h.replica != nil && m.GetStorage() != "" && m.GetStorage() != h.storage {
			_, _, _ = l.replica.ChangeMembers(s.now, wasabiraft.MemberChange{Add: &wasabistandv1.Member{Id: h.id, Address: h.id, Storage: h.storage}})
			s.processReady(l)
		}
	}
}

func (s *sim) hasRecovered(l *host, index uint64) bool {
	for _, m := range l.replica.Members().GetMembers() {
		h := s.host(m.GetId())
		if h.replica == nil || h.applied < index || !m.GetVoter() || m.GetStorage() != h.storage {
			return false
		}
	}
	before := s.reads
	for _, m := range l.replica.Members().GetMembers() {
		h := s.host(m.GetId())
		id, err := h.replica.Read()
		if err != nil {
			return false
		}
		h.reads[id] = s.maxCommit
		s.processReady(h)
	}
	s.run(90 * time.Millisecond)
	return s.reads >= before+len(l.replica.Members().GetMembers())
}

// TestSafety runs random sequences of operations and faults. It guards against
// two leaders in a term, committed entries that are lost or changed, state
// machines that diverge, stale reads, and a group that does not recover. A long
// random run:
//
//	go test ./wasabiraft -run TestSafety -rapid.seed=0 -rapid.checks=10000 -rapid.steps=100
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 7).Draw(t, "size"), "")
		s.run(300 * time.Millisecond)
		list := map[string]func(*rapid.T){}
		for name, f := range actions {
			list[name] = func(*rapid.T) { f(s) }
		}
		list[""] = func(t *rapid.T) { assert.NilError(t, s.failure) }
		t.Repeat(list)
		s.requireProgress()
		assert.NilError(t, s.failure)
	})
}
