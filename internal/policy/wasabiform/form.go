// Package wasabiform decides on the membership of a control group: whether a
// member may be added, and which member is removed because another has taken its place.
// It does not change the member list; the replicated log does, which also makes voters
// of members that have caught up.
package wasabiform

import (
	"time"
)

// Member is the leader's view of one member.
type Member struct {
	ID string
	// Storage is the identity of the disk that is accepted for the member, empty until
	// it is recorded.
	Storage string
	Voter   bool
	// LastContact is the time of the member's last response.
	LastContact time.Time
	// Led is set for the member that led before. Its LastContact was observed before
	// this instance became leader.
	Led bool
	// Leaving is set when the member asked to be replaced, since its process stops.
	Leaving bool
	// CaughtUpAt is when the member last had all that is committed, zero for never.
	CaughtUpAt time.Time
	// Reachable is set when the member's process responds, even if its log does
	// not because its disk stalls.
	Reachable bool
	// Refused is set when the member's machine refuses connections: its process has
	// ended.
	Refused bool
}

// Options holds the settings of a Planner. It is an immutable value.
type Options struct {
	targetVoters       int
	maxMembers         int
	removeRefusedAfter time.Duration
	removeSilentAfter  time.Duration
	removeStalledAfter time.Duration
	removeLearnerAfter time.Duration
}

// NewOptions returns the settings of a group that tolerates the simultaneous loss
// of the given number of disks: it has twice as many voters plus one.
func NewOptions(losses int) Options {
	return Options{
		targetVoters: 2*max(losses, 0) + 1,
		// The replicated log supports no more members.
		maxMembers: 9,
		// Several heartbeats. The process has ended, but may be started again.
		removeRefusedAfter: 500 * time.Millisecond,
		// An election timeout. A member that was only cut off or suspended returns
		// as a learner.
		removeSilentAfter: time.Second,
		// A slow disk recovers with its data, so its member is replaced only
		// after several times as long.
		removeStalledAfter: 12 * time.Second,
		// Longer than an election with its quorum check.
		removeLearnerAfter: 3 * time.Second,
	}
}

// Voters returns the target number of voting members.
func (o Options) Voters() int { return o.targetVoters }

// spareVoters is the number of voters beyond the target. Members that are added before
// others go vote at once, so that the loss of several at the same time leaves a
// majority.
const spareVoters = 2

// MaxVoters returns the number of members that may vote. Further ones are learners.
func (o Options) MaxVoters() int { return o.targetVoters + spareVoters }

// Durable reports whether, with the given number of voters, data held by a majority
// survives the losses that the group tolerates.
func (o Options) Durable(voters int) bool { return voters/2+1 > o.targetVoters/2 }

// Planner makes the membership decisions of a group's leader. It is not safe for
// concurrent use.
type Planner struct {
	options Options
	// leadingSince is when this instance became leader, zero when it is not.
	leadingSince time.Time
}

// New returns a Planner for one group.
func New(o Options) *Planner { return &Planner{options: o} }

// SetLeading records whether this instance is the leader.
func (p *Planner) SetLeading(now time.Time, leading bool) {
	switch {
	case !leading:
		p.leadingSince = time.Time{}
	case p.leadingSince.IsZero():
		p.leadingSince = now
	}
}

// silence returns how long a member has not responded. The time counts from when this
// instance became leader, so that a new leader first waits for all members. Only the
// silence of the previous leader, which led to the election, counts from before, unless
// its process responds again.
func (p *Planner) silence(now time.Time, m Member, self string) time.Duration {
	since := m.LastContact
	if (!m.Led || m.Reachable) && since.Before(p.leadingSince) {
		since = p.leadingSince
	}
	if m.ID == self {
		return 0
	}
	return now.Sub(since)
}

// isSilent reports whether a member has not responded for long enough to be removed.
func (p *Planner) isSilent(now time.Time, m Member, self string) bool {
	after := p.options.removeSilentAfter
	switch {
	case m.Reachable:
		after = p.options.removeStalledAfter
	case m.Refused:
		after = p.options.removeRefusedAfter
	}
	return p.silence(now, m, self) >= after
}

// NeedsProbe reports whether Remove depends on whether the member is reachable: whether
// it is silent and this instance is the leader.
func (p *Planner) NeedsProbe(now time.Time, self string, m Member) bool {
	return !p.leadingSince.IsZero() && p.silence(now, m, self) >= p.options.removeRefusedAfter
}

// HasRoom reports whether a group of these members has room for one more.
func (p *Planner) HasRoom(list []Member) bool { return len(list) < p.options.maxMembers }

// Admission is the decision on an instance that asks to be a member.
type Admission int

// The admissions.
const (
	// Listed means that the instance is a member, and Full that there is no room for it.
	Listed Admission = iota
	Full
	// Add means that the instance's disk is added as a learner.
	Add
)

// Admit decides on an instance that asks to be a member. established reports whether
// its disk was a member before; an empty disk under a listed name is admitted by the
// replicated log.
func (p *Planner) Admit(list []Member, id, storage string, established bool) Admission {
	for _, m := range list {
		if m.ID != id {
			continue
		}
		if !established || m.Storage == storage || m.Storage == "" && m.Voter {
			return Listed
		}
		return Add
	}
	if !p.HasRoom(list) {
		return Full
	}
	return Add
}

// CanLeave reports whether the group can do without one of its voters: it has more than
// its target, or a learner may become one.
func (p *Planner) CanLeave(now time.Time, self string, list []Member) bool {
	voters, learners := 0, 0
	for _, m := range list {
		switch {
		case m.Voter:
			voters++
		case !m.Leaving && p.silence(now, m, self) < p.options.removeRefusedAfter:
			learners++
		}
	}
	return voters > p.options.targetVoters || learners > 0
}

// Remove returns the ID of the member to remove, empty for none. A voter that is silent
// or leaves is removed when the group has more voters than its target, so that another
// has already taken its place, and most voters respond. At the target, a silent one is
// removed when a learner can take its place at once: a promotion before the removal
// would raise the majority. A silent learner is removed when the group is full. Members
// are removed one at a time.
func (p *Planner) Remove(now time.Time, self string, list []Member) string {
	if p.leadingSince.IsZero() {
		return ""
	}
	voters, responding := 0, 0
	for _, m := range list {
		if m.Voter {
			voters++
			if !p.isSilent(now, m, self) {
				responding++
			}
		}
	}
	if found := p.findReplaceable(now, self, list); found != nil && responding > voters/2 {
		swap := voters == p.options.targetVoters && p.isSilent(now, *found, self) && p.hasReadyLearner(now, self, list)
		if voters > p.options.targetVoters || swap {
			return found.ID
		}
	}
	return p.findSilentLearner(now, self, list)
}

// hasReadyLearner reports whether a learner that stays has caught up and responds.
func (p *Planner) hasReadyLearner(now time.Time, self string, list []Member) bool {
	for _, m := range list {
		if !m.Voter && !m.Leaving && p.silence(now, m, self) < p.options.removeRefusedAfter && now.Sub(m.CaughtUpAt) < p.options.removeRefusedAfter {
			return true
		}
	}
	return false
}

// findReplaceable returns the voter to remove, nil for none: one whose process has ended
// before one that is only silent, that before one that leaves, which still responds, and
// that before one whose disk stalls; among equal ones the one that has been silent for
// longest. No evidence is certain, so a member that is removed and comes back must be
// a voter again before it no longer counts as lost.
func (p *Planner) findReplaceable(now time.Time, self string, list []Member) *Member {
	const ended, silent, leaving, stalled = 0, 1, 2, 3
	rank := func(m *Member) int {
		switch {
		case m.Leaving && !p.isSilent(now, *m, self):
			return leaving
		case m.Reachable:
			return stalled
		case m.Refused:
			return ended
		}
		return silent
	}
	var found *Member
	for i := range list {
		m := &list[i]
		if !m.Voter || m.ID == self || !m.Leaving && !p.isSilent(now, *m, self) {
			continue
		}
		if found == nil || rank(m) < rank(found) || rank(m) == rank(found) && m.LastContact.Before(found.LastContact) {
			found = m
		}
	}
	return found
}

// findSilentLearner returns the ID of the learner to remove from a full group, empty for
// none: the one that has been silent for longest.
func (p *Planner) findSilentLearner(now time.Time, self string, list []Member) string {
	if p.HasRoom(list) {
		return ""
	}
	var found *Member
	for i := range list {
		m := &list[i]
		after := p.options.removeLearnerAfter
		if m.Reachable {
			after = p.options.removeStalledAfter
		}
		if m.Voter || p.silence(now, *m, self) < after {
			continue
		}
		if found == nil || !m.Reachable && found.Reachable || m.Reachable == found.Reachable && m.LastContact.Before(found.LastContact) {
			found = m
		}
	}
	if found == nil {
		return ""
	}
	return found.ID
}

// String returns the name of the implementation.
func (p *Planner) String() string { return "form" }
