package wasabiraft_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// TestRemovedLeaderCompletesRemoval guards against a group that can't elect a
// leader. The old leader has appended the member list that removes it, no other
// member has that entry, and no majority can be reached without its log.
func TestRemovedLeaderCompletesRemoval(t *testing.T) {
	s := newSim(1, 4, "")
	s.run(time.Second)
	l := s.leader()
	for _, x := range s.hosts {
		s.blockedLinks[[2]string{l.id, x.id}] = true
	}
	_, _, err := l.replica.ChangeMembers(s.now, wasabiraft.MemberChange{Remove: l.id})
	assert.NilError(t, err)
	s.processReady(l)
	s.queue = nil // no other member receives the entry
	s.crash(l)
	other := s.randomHost()
	s.crash(other)
	other.fs, other.storage, other.join = wasabifault.New(), "", true
	s.start(other)
	s.requireProgress()
	assert.NilError(t, s.failure)
	assert.Equal(t, len(s.leader().replica.Members().GetMembers()), 3)
}

// TestSecondLossAfterRepair guards against data loss when a second disk is
// lost: the new disk of the first member must hold all committed entries before
// it becomes a voter.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(seed, 3, "")
		s.run(time.Second)
		propose := actions["propose"]
		for range 20 {
			propose(s)
			s.run(20 * time.Millisecond)
		}
		for loss := range 2 {
			before := len(s.committed)
			h := s.hosts[s.random.IntN(3)]
			s.crash(h)
			h.fs, h.storage, h.join = wasabifault.New(), "", true
			s.start(h)
			// The next disk is lost as soon as the member list contains the new
			// disk as a voter.
			repaired := false
			for range 2000 {
				s.run(5 * time.Millisecond)
				if l := s.leader(); l != nil {
					for _, m := range l.replica.Members().GetMembers() {
						repaired = repaired || m.GetId() == h.id && m.GetStorage() == h.storage && m.GetVoter() && l.replica.CanChangeMembers()
					}
				}
				if repaired || s.failure != nil {
					break
				}
			}
			assert.Assert(t, repaired, "seed %d: loss %d is not repaired", seed, loss)
			assert.Assert(t, len(s.committed) >= before)
		}
		s.requireProgress()
		assert.NilError(t, s.failure)
	}
}

// TestOraclesDetectUnsafeBehavior enables one kind of unsafe behavior at a time
// and checks that the oracles detect the violation.
func TestOraclesDetectUnsafeBehavior(t *testing.T) {
	for _, c := range []struct {
		behavior       string
		frequentAction string // action that is chosen more often, so that the violation shows early
	}{
		{"vote before sync", "crashAtSync"},
		{"count any storage", "replaceDisk"},
		{"read unconfirmed", "isolateLeader"},
	} {
		t.Run(c.behavior, func(t *testing.T) {
			names := []string{"run", "runLonger", "propose", "read", "isolate", "isolateLeader", "heal", "crash", "crashAtSync"}
			steps := 0
			for seed := range uint64(3000) {
				s := newSim(seed, 3, c.behavior)
				s.run(300 * time.Millisecond)
				for range 40 {
					name := names[s.random.IntN(len(names))]
					if s.random.IntN(4) == 0 {
						name = c.frequentAction
					}
					actions[name](s)
				}
				steps += s.steps
				if s.failure != nil {
					t.Logf("detected in run %d after %d steps in total: %v", seed+1, steps, s.failure)
					return
				}
			}
			t.Fatalf("not detected in %d steps", steps)
		})
	}
}

// TestLateResponseOfReplacedDisk guards against a delayed message that admits a
// replaced disk again in place of its replacement.
func TestLateResponseOfReplacedDisk(t *testing.T) {
	s := newSim(1, 3, "")
	s.run(time.Second)
	l := s.leader()
	h := s.hosts[0]
	if h == l {
		h = s.hosts[1]
	}
	replace := func() {
		s.crash(h)
		h.fs, h.storage, h.join = wasabifault.New(), "", true
		s.start(h)
	}
	replace()
	var delayed []packet
	for range 100 {
		s.run(time.Millisecond)
		for _, p := range s.queue {
			if p.m.GetFromStorage() == h.storage && p.m.GetFromJoining() {
				delayed = append(delayed, p)
			}
		}
	}
	assert.Assert(t, len(delayed) > 0)
	replace()
	s.run(time.Second)
	listed := func() string {
		for _, m := range l.replica.Members().GetMembers() {
			if m.GetId() == h.id && m.GetVoter() {
				return m.GetStorage()
			}
		}
		return ""
	}
	assert.Equal(t, listed(), h.storage)
	for _, p := range delayed {
		s.deliver(p.m)
		s.run(time.Millisecond)
		assert.Equal(t, listed(), h.storage)
	}
	s.requireProgress()
	assert.NilError(t, s.failure)
}
