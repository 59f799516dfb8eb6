// Package wasabiform decides on the membership of a control group: whether a
// member may be added, and which member is removed so that another can replace it.
// It does not decide which members vote, nor does it change the member list; the
// replicated log does.
package wasabiform

import (
	"time"
)

// Member is the leader's view of one member.
type Member struct {
	ID    string
	Voter bool
	// StorageKnown is set when the member's storage is registered with the group.
	StorageKnown bool
	// CaughtUp is set when the member's log reaches the commit index.
	CaughtUp bool
	// LastContact is the time of the member's last response.
	LastContact time.Time
	// Reachable is set when the member's process responds, even if its log does
	// not because its disk stalls.
	Reachable bool
}

// Options holds the settings of a Planner. It is an immutable value.
type Options struct {
	targetVoters       int
	maxMembers         int
	removeAfter        time.Duration
	removeStalledAfter time.Duration
}

// NewOptions returns the settings of a group that tolerates the simultaneous loss
// of the given number of disks: it has twice as many voters plus one.
func NewOptions(losses int) Options {
	return Options{
		targetVoters: 2*max(losses, 0) + 1,
		// The replicated log supports no more members.
		maxMembers: 9,
		// Longer than an election with its quorum check, so that no member is
		// removed for not responding during a change of leader.
		removeAfter: 3 * time.Second,
		// A slow disk recovers with its data, so its member is replaced only
		// after several times as long.
		removeStalledAfter: 12 * time.Second,
	}
}

// WithRemoveAfter returns a copy that lets a member be silent for d before another
// may replace it.
func (o Options) WithRemoveAfter(d time.Duration) Options {
	o.removeAfter = d
	return o
}

// Voters returns the target number of voting members.
func (o Options) Voters() int { return o.targetVoters }

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

// isSilent reports whether a member has not responded for long enough to be
// removed. The time counts from when this instance became leader, so that a new
// leader first waits for all members.
func (p *Planner) isSilent(now time.Time, m Member, self string) bool {
	since := m.LastContact
	if since.Before(p.leadingSince) {
		since = p.leadingSince
	}
	after := p.options.removeAfter
	if m.Reachable {
		after = max(after, p.options.removeStalledAfter)
	}
	return m.ID != self && now.Sub(since) >= after
}

// NeedsProbe reports whether Remove depends on whether the member is reachable:
// whether it is silent and this instance is the leader.
func (p *Planner) NeedsProbe(now time.Time, self string, m Member) bool {
	return !p.leadingSince.IsZero() && p.isSilent(now, m, self)
}

// HasRoom reports whether a group of these members has room for one more.
func (p *Planner) HasRoom(list []Member) bool { return len(list) < p.options.maxMembers }

// Remove returns the ID of the member to remove, empty for none. A silent voter is
// removed when the group has its target number of voters, most of them respond and
// a learner is ready to replace it; a silent learner when the group is full. Members
// are removed one at a time: unreachable ones first, then the one that has been
// silent for longest.
func (p *Planner) Remove(now time.Time, self string, list []Member) string {
	if p.leadingSince.IsZero() {
		return ""
	}
	voters, responding, ready := 0, 0, false
	for _, m := range list {
		switch {
		case m.Voter:
			voters++
			if !p.isSilent(now, m, self) {
				responding++
			}
		case m.StorageKnown && m.CaughtUp && !p.isSilent(now, m, self):
			ready = true
		}
	}
	replace := ready && voters >= p.options.targetVoters && responding > voters/2
	var found *Member
	for i := range list {
		m := &list[i]
		if !p.isSilent(now, *m, self) || m.Voter && !replace || !m.Voter && len(list) < p.options.maxMembers {
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
