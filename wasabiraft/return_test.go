package wasabiraft_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
)

// toleratedLosses is the number of members of a replacement that may be lost at once.
const toleratedLosses = 2

// losses counts the members of a group that are lost, as the group's users do: a member
// while it does not run or is cut off and for catchUpTime after that, one that is gone
// for good until its successor has had that time.
type losses struct {
	*replacement
	// until is the time at which a member is back, or the successor of one that is
	// gone starts.
	until map[*host]time.Time
	// due holds what happens next to the members that are lost.
	due map[*host]func()
}

func newLosses(p *replacement) *losses {
	return &losses{replacement: p, until: map[*host]time.Time{}, due: map[*host]func(){}}
}

// isLost reports whether a member counts as lost.
func (s *losses) isLost(h *host) bool {
	at, ok := s.until[h]
	return ok && at.Add(catchUpTime).After(s.now)
}

// count returns the number of members that count as lost.
func (s *losses) count() (n int) {
	for h := range s.until {
		if s.isLost(h) {
			n++
		}
	}
	return n
}

// lose begins one loss of a random kind and returns what it is.
func (s *losses) lose(h *host) string {
	down := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(6500*time.Millisecond)))
	s.until[h] = s.now.Add(down)
	switch s.random.IntN(6) {
	case 0:
		h.replica, h.paused = nil, h.replica
		s.due[h] = func() { h.replica, h.paused = h.paused, nil }
		return fmt.Sprintf("%s stands still for %v", h.id, down)
	case 1:
		s.cut(h, true)
		s.due[h] = func() { s.cut(h, false) }
		return fmt.Sprintf("%s is cut off for %v", h.id, down)
	case 2:
		s.stop(h)
		s.silent[h] = s.random.IntN(2) == 0
		s.due[h] = func() { s.start(h) }
		return fmt.Sprintf("%s is down for %v", h.id, down)
	case 3:
		s.stop(h)
		h.fs, h.join = wasabifault.New(), true
		s.due[h] = func() { s.start(h) }
		return fmt.Sprintf("%s loses its disk and is down for %v", h.id, down)
	case 4:
		since := s.now
		for !s.leave(h, since) {
			s.playChecked(leaveInterval)
		}
		s.until[h] = s.now.Add(time.Second)
		s.due[h] = func() { s.start(h) }
		return fmt.Sprintf("%s is restarted in order", h.id)
	default:
		s.stop(h)
		s.silent[h] = s.random.IntN(2) == 0
		s.until[h] = s.now.Add(min(down, 2*time.Second))
		s.due[h] = func() { s.join() }
		return fmt.Sprintf("%s is gone, its successor starts after %v", h.id, min(down, 2*time.Second))
	}
}

// playChecked advances the time, ends the losses that are over and checks on each step
// that the further losses that are tolerated leave a majority.
func (s *losses) playChecked(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end) && s.failure == nil; {
		s.play(step)
		for h, f := range s.due {
			if !s.now.Before(s.until[h]) {
				delete(s.due, h)
				f()
			}
		}
		s.checkMajorities()
	}
}

// checkMajorities checks the member lists that may be in use, those of a leader that
// knows the latest committed one. Members that count as lost may be lost again at any
// time.
func (s *losses) checkMajorities() {
	l := s.findLeader()
	if l == nil || s.isLost(l) || l.replica.CommitIndex() < s.maxCommit {
		return
	}
	further := toleratedLosses - s.count()
	l.replica.ForEachMemberList(func(list *wasabistandv1.Members) {
		voters, whole := 0, 0
		for _, m := range list.GetMembers() {
			if !m.GetVoter() {
				continue
			}
			voters++
			if h := s.host(m.GetId()); h.replica != nil && !s.isLost(h) && (m.GetStorage() == "" || m.GetStorage() == h.storage) {
				whole++
			}
		}
		if whole-further <= voters/2 {
			s.fail("%v: %d voters, of which %d count as whole: the loss of %d more would end the group: %v", s.now.Sub(time.Unix(1000, 0)), voters, whole, further, list.GetMembers())
		}
	})
}

// Guards against a member that is removed although it comes back, in place of one that is
// gone or beside it, and votes again later than it counts as back: then a loss that the
// group must bear ends it. Members stand still, are cut off, down, restarted in order,
// replaced or lose their disks, two of them at a time, the leader among them.
func TestRemovedMembersReturnInTime(t *testing.T) {
	for seed := range uint64(60) {
		var events []string
		s := newLosses(newReplacement(t, seed, int(seed%3)))
		acknowledged := s.commit(time.Second)
		for end := s.now.Add(60 * time.Second); s.now.Before(end) && s.failure == nil; {
			s.playChecked(50 * time.Millisecond)
			if s.count() < toleratedLosses && s.random.IntN(30) == 0 {
				h := s.pick(1)[0]
				if l := s.findLeader(); l != nil && s.random.IntN(3) == 0 {
					h = l
				}
				if !s.isLost(h) {
					at := s.now
					events = append(events, fmt.Sprintf("%v: %s", at.Sub(time.Unix(1000, 0)), s.lose(h)))
				}
			}
		}
		// As many disks as may be lost now are lost at once.
		for further := toleratedLosses - s.count(); further > 0 && s.failure == nil; {
			if h := s.pick(1)[0]; !s.isLost(h) {
				s.stop(h)
				h.fs, h.join = wasabifault.New(), true
				s.until[h] = s.now.Add(time.Second)
				s.due[h] = func() { s.start(h) }
				further--
			}
		}
		s.playChecked(7 * time.Second)
		for _, e := range events {
			t.Log(e)
		}
		assert.NilError(t, s.failure, "seed %d", seed)
		s.requireIntact(t, acknowledged)
	}
}
