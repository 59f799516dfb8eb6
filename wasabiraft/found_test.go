package wasabiraft_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// TestRemovedLeaderCompletesRemoval guards against a group that can't elect a
// leader: the leader appended the list that removes it, nobody else has it,
// and its log is needed for a majority.
func TestRemovedLeaderCompletesRemoval(t *testing.T) {
	s := newSim(1, 4, "")
	s.run(time.Second)
	l := s.leader()
	for _, x := range s.hosts {
		s.cut[[2]string{l.id, x.id}] = true
	}
	_, _, err := l.replica.ChangeMembers(s.now, wasabiraft.MemberChange{Remove: l.id})
	assert.NilError(t, err)
	s.pump(l)
	s.queue = nil // nobody hears of it
	s.crash(l)
	other := s.pick()
	s.crash(other)
	other.fs, other.storage, other.join = wasabifault.New(), "", true
	s.start(other)
	s.settle()
	assert.NilError(t, s.wrong)
	assert.Equal(t, len(s.leader().replica.Members().GetMembers()), 3)
}

// TestSecondLossAfterRepair guards against data that is lost with the second
// member: the first one's new disk must hold everything before it counts.
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
			// The next loss comes as soon as the list names the new disk as a
			// voter.
			repaired := false
			for range 2000 {
				s.run(5 * time.Millisecond)
				if l := s.leader(); l != nil {
					for _, m := range l.replica.Members().GetMembers() {
						repaired = repaired || m.GetId() == h.id && m.GetStorage() == h.storage && m.GetVoter() && l.replica.MayChange()
					}
				}
				if repaired || s.wrong != nil {
					break
				}
			}
			assert.Assert(t, repaired, "seed %d: loss %d is not repaired", seed, loss)
			assert.Assert(t, len(s.committed) >= before)
		}
		s.settle()
		assert.NilError(t, s.wrong)
	}
}

// TestOracles breaks one safety rule at a time: the oracles must notice.
func TestOracles(t *testing.T) {
	for _, c := range []struct {
		rule  string
		after string // what happens more often, so that the damage shows soon
	}{
		{"vote before sync", "crashAtSync"},
		{"count any storage", "replaceDisk"},
		{"read unconfirmed", "isolateLeader"},
	} {
		t.Run(c.rule, func(t *testing.T) {
			names := []string{"run", "runLonger", "propose", "read", "isolate", "isolateLeader", "heal", "crash", "crashAtSync"}
			steps := 0
			for seed := range uint64(3000) {
				s := newSim(seed, 3, c.rule)
				s.run(300 * time.Millisecond)
				for range 40 {
					name := names[s.random.IntN(len(names))]
					if s.random.IntN(4) == 0 {
						name = c.after
					}
					actions[name](s)
				}
				steps += s.steps
				if s.wrong != nil {
					t.Logf("noticed in run %d after %d steps in all: %v", seed+1, steps, s.wrong)
					return
				}
			}
			t.Fatalf("not noticed in %d steps", steps)
		})
	}
}

// TestLateAnswerOfReplacedDisk guards against a disk that is admitted again by
// a late message, in place of the one that has replaced it.
func TestLateAnswerOfReplacedDisk(t *testing.T) {
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
	var late []packet
	for range 100 {
		s.run(time.Millisecond)
		for _, p := range s.queue {
			if p.m.GetFromStorage() == h.storage && p.m.GetFromJoining() {
				late = append(late, p)
			}
		}
	}
	assert.Assert(t, len(late) > 0)
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
	for _, p := range late {
		s.deliver(p.m)
		s.run(time.Millisecond)
		assert.Equal(t, listed(), h.storage)
	}
	s.settle()
	assert.NilError(t, s.wrong)
}
