package wasabiraft_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
	"github.com/wasabistand/wasabistand/internal/wasabifault"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

const (
	// checkInterval and leaveInterval are those of a control instance, catchUpTime is the
	// time after which a replaced member no longer counts as lost.
	checkInterval = 250 * time.Millisecond
	leaveInterval = 100 * time.Millisecond
	catchUpTime   = 4 * time.Second
	// handOverTime bounds how long a leaving member stays for its replacement.
	handOverTime = 2 * time.Second
	// recoveryTime is the time after which the group must serve again.
	recoveryTime = 15 * time.Second
)

// replacement plays replacements of a group's members: a sim with the planner of a
// control instance at each member.
type replacement struct {
	*sim
	options  wasabiform.Options
	planners map[*host]*wasabiform.Planner
	// leaving holds the time of the latest request of each leaving member, and
	// silent the hosts that are gone together with their machines, so that nothing
	// refuses a connection.
	leaving map[string]time.Time
	silent  map[*host]bool
	// seekers decide for each process when it asks to be a member.
	seekers map[*host]*wasabiform.Seeker
}

// newReplacement returns a group of five voters that tolerates the loss of two disks,
// with a number of further members that have caught up.
func newReplacement(t *testing.T, seed uint64, further int) *replacement {
	t.Helper()
	p := &replacement{
		sim: newSim(seed, 5, ""), options: wasabiform.NewOptions(2), planners: map[*host]*wasabiform.Planner{},
		leaving: map[string]time.Time{}, silent: map[*host]bool{}, seekers: map[*host]*wasabiform.Seeker{},
	}
	p.hosts = p.hosts[:5]
	p.settings = wasabiraft.NewSettings().WithElection(time.Second, 200*time.Millisecond).WithMaxVoters(p.options.MaxVoters()).WithTargetVoters(p.options.Voters())
	for _, h := range p.hosts {
		// The sim started the replicas with its own settings.
		p.stop(h)
		p.start(h)
	}
	p.play(5 * time.Second)
	for range further {
		p.join()
		p.play(time.Second)
	}
	p.play(5 * time.Second)
	assert.NilError(t, p.failure)
	assert.Equal(t, len(p.leader(t).replica.Status().Members), 5+further)
	return p
}

// join starts a member with an empty disk, which asks the leader for its addition.
func (p *replacement) join() *host {
	id := fmt.Sprintf("n%d", len(p.hosts)+1)
	h := &host{id: id, fs: wasabifault.New(), join: true}
	p.hosts = append(p.hosts, h)
	p.start(h)
	return h
}

// stop ends a replica, which is not started again by itself.
func (p *replacement) stop(h *host) {
	h.fs.Crash(p.random)
	h.replica, h.store, h.folder, h.restartAt = nil, nil, nil, time.Time{}
	delete(p.planners, h)
	delete(p.seekers, h)
}

// play advances the time and makes the checks of each control instance meanwhile.
func (p *replacement) play(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end) && p.failure == nil; {
		p.run(min(checkInterval/5, end.Sub(p.now)))
		for i, h := range p.hosts {
			if h.replica != nil && p.now.UnixMilli()/50%5 == int64(i%5) {
				p.check(h)
			}
		}
	}
}

// check is one check of the members by a control instance.
func (p *replacement) check(h *host) {
	status := h.replica.Status()
	planner := p.planners[h]
	if planner == nil {
		planner = wasabiform.New(p.options)
		p.planners[h] = planner
	}
	planner.SetLeading(p.now, status.Role == wasabiraft.Leader)
	if status.Role != wasabiraft.Leader {
		p.seek(h, status)
		return
	}
	list := p.observe(planner, status)
	if id := planner.Remove(p.now, h.id, list); id != "" {
		_, _, _ = h.replica.ChangeMembers(p.now, wasabiraft.MemberChange{Remove: id})
		p.processReady(h)
	}
}

// seek asks the leader to be a member if the host's seeker says so.
func (p *replacement) seek(h *host, s wasabiraft.Status) {
	seeker := p.seekers[h]
	if seeker == nil {
		seeker = wasabiform.NewSeeker()
		p.seekers[h] = seeker
	}
	l := p.findLeader()
	if !seeker.ShouldAsk(p.now, s.LeaderContact) || l == nil || p.isCut(h, l) {
		return
	}
	status := l.replica.Status()
	planner := wasabiform.New(p.options)
	switch planner.Admit(p.observe(planner, status), h.id, h.storage, len(s.Members) > 0 && s.Commit > 0) {
	case wasabiform.Listed:
		seeker.Confirm()
	case wasabiform.Full:
	case wasabiform.Add:
		_, _, _ = l.replica.ChangeMembers(p.now, wasabiraft.MemberChange{Add: &wasabistandv1.Member{Id: h.id, Address: h.id, Storage: h.storage}})
		p.processReady(l)
	}
}

// observe returns the members as the planner of a leader sees them.
func (p *replacement) observe(planner *wasabiform.Planner, s wasabiraft.Status) (list []wasabiform.Member) {
	for _, m := range s.Members {
		x := wasabiform.Member{ID: m.ID, Storage: m.Storage, Voter: m.Voter, LastContact: m.LastContact, Led: m.Led, CaughtUpAt: m.CaughtUpAt}
		if at, ok := p.leaving[m.ID]; ok && p.now.Sub(at) < time.Second {
			x.Leaving = true
		}
		if planner.NeedsProbe(p.now, s.ID, x) {
			h := p.host(m.ID)
			isRunning, isCut := h.replica != nil, p.isCut(h, p.host(s.ID))
			x.Reachable, x.Refused = isRunning && !isCut, !isRunning && !isCut && h.paused == nil && !p.silent[h]
		}
		list = append(list, x)
	}
	return list
}

// findLeader returns the host that leads with the highest term, nil if there is none.
func (p *replacement) findLeader() (found *host) {
	for _, h := range p.hosts {
		if h.replica != nil && h.replica.Role() == wasabiraft.Leader && (found == nil || h.replica.Term() > found.replica.Term()) {
			found = h
		}
	}
	return found
}

func (p *replacement) leader(t *testing.T) *host {
	t.Helper()
	h := p.findLeader()
	assert.Assert(t, h != nil, "no leader")
	return h
}

// leave is a planned stop that began at a time. It returns true once the process ends.
func (p *replacement) leave(h *host, since time.Time) bool {
	l := p.findLeader()
	if l != nil && l != h {
		s := l.replica.Status()
		isMember := false
		for _, m := range s.Members {
			isMember = isMember || m.ID == h.id
		}
		planner := wasabiform.New(p.options)
		if !isMember || !planner.CanLeave(p.now, l.id, p.observe(planner, s)) {
			p.stop(h)
			return true
		}
		p.leaving[h.id] = p.now
	}
	if l == h {
		_ = h.replica.Transfer(p.now, "")
		p.processReady(h)
	}
	if p.now.Sub(since) < handOverTime {
		return false
	}
	p.stop(h)
	return true
}

// removeAll removes members, one after the other, at a pause from each other. planned
// tells how each one goes.
func (p *replacement) removeAll(list []*host, pause time.Duration, planned []bool) {
	since := map[*host]time.Time{}
	begin := p.now
	for k := 0; k < len(list) || len(since) > 0; {
		for k < len(list) && !p.now.Before(begin.Add(time.Duration(k)*pause)) {
			if planned[k] {
				since[list[k]] = p.now
			} else {
				p.stop(list[k])
			}
			k++
		}
		for _, h := range p.hosts {
			if at, ok := since[h]; ok && p.leave(h, at) {
				delete(since, h)
			}
		}
		p.play(leaveInterval)
	}
}

// commit commits a command and returns its index, 0 if no leader commits it in time.
func (p *replacement) commit(limit time.Duration) uint64 {
	for end := p.now.Add(limit); p.now.Before(end) && p.failure == nil; {
		l := p.findLeader()
		if l == nil {
			p.play(leaveInterval)
			continue
		}
		index, term, err := l.replica.Propose(p.now, [][]byte{[]byte("change")})
		p.processReady(l)
		for wait := p.now.Add(time.Second); err == nil && p.now.Before(wait); {
			p.play(10 * time.Millisecond)
			if index <= uint64(len(p.committed)) && p.committed[index-1].e.GetTerm() == term {
				return index
			}
		}
		p.play(leaveInterval)
	}
	return 0
}

// requireIntact checks that the group serves again after its losses, and has all that
// was committed.
func (p *replacement) requireIntact(t *testing.T, acknowledged uint64) {
	t.Helper()
	last := p.commit(recoveryTime)
	assert.NilError(t, p.failure)
	assert.Assert(t, last > acknowledged, "index %d was acknowledged, and no majority commits any more", acknowledged)
}

// pick returns n different running hosts.
func (p *replacement) pick(n int) (list []*host) {
	running := p.running()
	for _, k := range p.random.Perm(len(running))[:n] {
		list = append(list, running[k])
	}
	return list
}

// Guards against a group that loses its majority for good, because members that were
// replaced one after the other keep their votes: stopped in order, killed, or lost with
// their machines, in every position. Two disks are lost after that.
func TestMembersReplacedInARow(t *testing.T) {
	for seed := range uint64(60) {
		p := newReplacement(t, seed, 3)
		list := p.pick(3)
		if k := p.random.IntN(4); k < 3 {
			// One of them leads.
			if l := p.leader(t); list[0] != l && list[1] != l && list[2] != l {
				list[k] = l
			}
		}
		planned := make([]bool, 3)
		killed := false
		for k := range planned {
			planned[k] = p.random.IntN(2) == 0 || seed%3 == 0
			killed = killed || !planned[k]
			if !planned[k] && p.random.IntN(2) == 0 {
				p.silent[list[k]] = true
			}
		}
		pause := 300*time.Millisecond + time.Duration(p.random.Int64N(int64(5700*time.Millisecond)))
		name := fmt.Sprintf("seed %d, pause %v, planned %v", seed, pause, planned)
		acknowledged := p.commit(time.Second)
		assert.Assert(t, acknowledged > 0, name)
		p.removeAll(list, pause, planned)
		// A planned replacement has ended before the process does; a lost member counts
		// for catchUpTime.
		after := 300 * time.Millisecond
		if killed {
			after = catchUpTime
		}
		p.play(after)
		for _, h := range p.pick(2) {
			p.stop(h)
		}
		t.Log(name)
		p.requireIntact(t, acknowledged)
	}
}

// Guards against a lost majority after the leading machine is gone for good, its
// successor has had its time to catch up, and two disks are lost then.
func TestLostLeaderIsReplacedBeforeTwoDisks(t *testing.T) {
	for seed := range uint64(40) {
		p := newReplacement(t, seed, 0)
		acknowledged := p.commit(time.Second)
		l := p.leader(t)
		p.stop(l)
		p.silent[l] = seed%2 == 0
		p.play(300 * time.Millisecond)
		next := p.join()
		p.play(catchUpTime)
		t.Logf("seed %d", seed)
		assert.Assert(t, p.leader(t).replica.Status().Commit >= acknowledged)
		lost := p.pick(2)
		for lost[0] == next || lost[1] == next {
			lost = p.pick(2)
		}
		for _, h := range lost {
			p.stop(h)
		}
		p.requireIntact(t, acknowledged)
	}
}

// Guards against a planned stop that shrinks the group although no other member can take
// the place, so that a restart costs a vote.
func TestPlannedStopWithoutReplacementKeepsMember(t *testing.T) {
	for seed := range uint64(20) {
		p := newReplacement(t, seed, 0)
		acknowledged := p.commit(time.Second)
		h := p.pick(1)[0]
		p.removeAll([]*host{h}, time.Second, []bool{true})
		p.play(3 * time.Second)
		assert.Equal(t, len(p.leader(t).replica.Status().Members), 5)
		p.start(h)
		p.play(2 * time.Second)
		for _, x := range p.pick(2) {
			p.stop(x)
		}
		t.Logf("seed %d", seed)
		p.requireIntact(t, acknowledged)
	}
}

// Guards against a group that is emptied by members whose processes or links fail again
// and again, and are removed and added each time.
func TestFlappingMembersKeepGroup(t *testing.T) {
	for seed := range uint64(15) {
		p := newReplacement(t, seed, 3)
		acknowledged := p.commit(time.Second)
		for range 40 {
			h := p.pick(1)[0]
			down := time.Duration(p.random.Int64N(int64(1500 * time.Millisecond)))
			if p.random.IntN(2) == 0 {
				p.stop(h)
				p.play(down)
				p.start(h)
			} else {
				p.cut(h, true)
				p.play(down)
				p.cut(h, false)
			}
			p.play(time.Duration(p.random.Int64N(int64(time.Second))))
		}
		p.play(5 * time.Second)
		t.Logf("seed %d", seed)
		p.requireIntact(t, acknowledged)
		voters := 0
		for _, m := range p.leader(t).replica.Status().Members {
			if m.Voter {
				voters++
			}
		}
		assert.Assert(t, voters >= p.options.Voters(), "%d voters", voters)
	}
}

// isCut reports whether two hosts are separated.
func (p *replacement) isCut(a, b *host) bool {
	return p.blockedLinks[[2]string{a.id, b.id}] || p.blockedLinks[[2]string{b.id, a.id}]
}

// cut separates a host from all others, or joins it to them.
func (p *replacement) cut(h *host, isCut bool) {
	for _, x := range p.hosts {
		p.blockedLinks[[2]string{h.id, x.id}], p.blockedLinks[[2]string{x.id, h.id}] = isCut, isCut
	}
}
