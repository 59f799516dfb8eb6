package wasabiraft

import (
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// MemberChange describes a change that adds or removes one member.
type MemberChange struct {
	// Add holds the name and address of a member to add as a learner. The
	// leader promotes it to a voter once its disk has caught up. If Storage is
	// empty, the member must start with an empty disk. Otherwise it names the disk,
	// which may be one that was a member before: it keeps its log and its votes.
	// For a name that is already a member, the address changes and, if Storage names
	// another disk, that disk becomes a learner in place of the previous one, which
	// must not have responded within an election timeout.
	Add *wasabistandv1.Member
	// Remove is the name of a member to remove.
	Remove string
}

// ChangeMembers appends a member list that differs in one member. It returns
// the index of its entry, or 0 if the list needs no change. The error is of
// class ErrNotLeader or ErrInvalid.
func (r *Replica) ChangeMembers(now time.Time, c MemberChange) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, wasabistand.ErrNotLeader.New("%s is %s", r.self.ID, r.role)
	}
	if !r.canChangeMembers() {
		return 0, 0, wasabistand.ErrNotLeader.New("an earlier change of members is not committed yet")
	}
	next := r.Members()
	switch {
	case c.Add != nil && c.Remove != "" || c.Add == nil && c.Remove == "":
		return 0, 0, wasabistand.ErrInvalid.New("change of members: either one to add or one to remove")
	case c.Add != nil:
		if c.Add.GetId() == "" || c.Add.GetAddress() == "" {
			return 0, 0, wasabistand.ErrInvalid.New("member %q at %q: name and address must not be empty", c.Add.GetId(), c.Add.GetAddress())
		}
		m := findMember(next, c.Add.GetId())
		switch {
		case m == nil && len(next.GetMembers()) >= maxMembers:
			return 0, 0, wasabistand.ErrInvalid.New("%d members: allowed are %d", len(next.GetMembers())+1, maxMembers)
		case m == nil:
			next.Members = append(next.Members, &member{Id: c.Add.GetId(), Address: c.Add.GetAddress(), Storage: c.Add.GetStorage()})
		case replacesDisk(m, c.Add):
			if err := r.checkDiskReplaceable(now, m); err != nil {
				return 0, 0, err
			}
			m.Address, m.Storage, m.Voter = c.Add.GetAddress(), c.Add.GetStorage(), false
			// The progress was that of the previous disk.
			r.progress[m.GetId()] = nil
		case m.GetAddress() == c.Add.GetAddress():
			return 0, r.Term(), nil
		default:
			m.Address = c.Add.GetAddress()
		}
	default:
		m := findMember(next, c.Remove)
		if m == nil {
			return 0, r.Term(), nil
		}
		if m.GetVoter() && r.voterCount() == 1 {
			return 0, 0, wasabistand.ErrInvalid.New("member %q is the only voter: it can't be removed", c.Remove)
		}
		kept := next.Members[:0]
		for _, m := range next.Members {
			if m.GetId() != c.Remove {
				kept = append(kept, m)
			}
		}
		next.Members = kept
	}
	index, err = r.appendMembers(now, next)
	return index, r.Term(), err
}

// replacesDisk reports whether the member to add names another disk than the listed
// member m. A bootstrapped voter whose identity is not recorded yet has no other disk.
func replacesDisk(m, add *member) bool {
	return add.GetStorage() != "" && add.GetStorage() != m.GetStorage() && (m.GetStorage() != "" || !m.GetVoter())
}

// checkDiskReplaceable returns an error if the disk that holds m's membership may still
// be in use, or if the group can't do without its vote.
func (r *Replica) checkDiskReplaceable(now time.Time, m *member) error {
	if r.progress[m.GetId()].respondedSince(now.Add(-r.settings.ElectionTimeout)) {
		return wasabistand.ErrInvalid.New("member %q: disk %s responds", m.GetId(), m.GetStorage())
	}
	if m.GetVoter() && r.voterCount() == 1 {
		return wasabistand.ErrInvalid.New("member %q is the only voter: its disk can't be replaced", m.GetId())
	}
	return nil
}

// canChangeMembers reports whether the member list may be changed. Majorities
// of the old and the new list are certain to overlap only if the lists differ in
// at most one voter. Hence the previous list must be committed, and this leader
// must have committed an entry of its term, so that it has the latest committed
// list. The list can't be changed during a leadership transfer.
func (r *Replica) canChangeMembers() bool {
	return r.hasCommittedInTerm() && r.memberLists[len(r.memberLists)-1].index <= r.log.commit && r.transferTo == ""
}

func (r *Replica) appendMembers(now time.Time, m *members) (uint64, error) {
	sortMembers(m)
	data, err := marshalMembers(m)
	if err != nil {
		return 0, err
	}
	r.appendEntry(now, wasabistandv1.LogEntry_KIND_MEMBERS, data)
	return r.log.lastIndex(), nil
}

// reconcileMembers makes the membership changes that need no operator, one at a
// time: it records storage identities, admits a replaced disk as a learner, and
// promotes a learner that has caught up. A leader that was removed steps down.
func (r *Replica) reconcileMembers(now time.Time) {
	if r.role != Leader || !r.canChangeMembers() {
		return
	}
	if findMember(r.currentMembers(), r.self.ID) == nil {
		r.stepDownRemoved(now)
		return
	}
	next := r.Members()
	if r.admitNewDisk(now, next) || r.recordStorage(next) || r.promoteLearner(now, next) {
		_, _ = r.appendMembers(now, next)
	}
}

// admitNewDisk makes one member whose disk was replaced a learner with the new
// disk.
func (r *Replica) admitNewDisk(now time.Time, next *members) bool {
	for _, m := range next.GetMembers() {
		p := r.progress[m.GetId()]
		if p.joiningStorage == "" || p.joiningStorage == m.GetStorage() || !p.joinRequestedAt.After(now.Add(-r.settings.ElectionTimeout)) {
			continue
		}
		if m.GetVoter() && r.voterCount() == 1 {
			continue
		}
		m.Storage, m.Voter = p.joiningStorage, false
		// The progress was that of the old disk.
		r.progress[m.GetId()] = nil
		return true
	}
	return false
}

// recordStorage records the identities of the bootstrapped disks. These disks
// already are the voters, so the majorities don't change.
func (r *Replica) recordStorage(next *members) bool {
	found := false
	for _, m := range next.GetMembers() {
		if p := r.progress[m.GetId()]; m.GetStorage() == "" && m.GetVoter() && p.storage != "" {
			m.Storage, found = p.storage, true
		}
	}
	return found
}

// promoteLearner makes one learner a voter. Members respond after a sync, so a
// learner that matches the commit index has all committed entries on disk.
func (r *Replica) promoteLearner(now time.Time, next *members) bool {
	if n := r.settings.MaxVoters; n > 0 && r.voterCount() >= n || r.mustRemoveFirst(now) {
		return false
	}
	for _, m := range next.GetMembers() {
		p := r.progress[m.GetId()]
		if !m.GetVoter() && m.GetStorage() != "" && p.match >= r.log.commit && p.respondedSince(now.Add(-r.settings.ElectionTimeout)) {
			m.Voter = true
			return true
		}
	}
	return false
}

// silentHeartbeats is the number of heartbeat intervals after which a voter is silent.
const silentHeartbeats = 3

// mustRemoveFirst reports whether a silent voter must be removed before a learner is
// promoted. A further voter would raise the majority of an odd number of voters, so that
// the group depends on the new one as long as the silent one has a vote.
func (r *Replica) mustRemoveFirst(now time.Time) bool {
	if n := r.voterCount(); r.settings.TargetVoters == 0 || n < r.settings.TargetVoters || n%2 == 0 {
		return false
	}
	since := now.Add(-silentHeartbeats * r.settings.HeartbeatInterval)
	for _, m := range r.currentMembers().GetMembers() {
		if p := r.progress[m.GetId()]; m.GetVoter() && m.GetId() != r.self.ID && (!p.responded || !p.respondedSince(since)) {
			return true
		}
	}
	return false
}

// stepDownRemoved transfers leadership and steps down once the entry that
// removes this leader is committed.
func (r *Replica) stepDownRemoved(now time.Time) {
	best := r.transferTarget(now, "")
	r.replicate()
	if best != "" {
		r.sendBeforeSync(r.make(wasabistandv1.GroupMessage_KIND_TIMEOUT_NOW, best))
	}
	r.becomeFollower(now, r.Term(), "")
}

// Transfer transfers leadership to the named voter or, if the name is empty, to the
// voter with the longest log among those that responded within an election timeout.
// No commands are accepted until the transfer
// completes or an election timeout passes.
func (r *Replica) Transfer(now time.Time, to string) error {
	if r.role != Leader {
		return wasabistand.ErrNotLeader.New("%s is %s", r.self.ID, r.role)
	}
	to = r.transferTarget(now, to)
	if to == "" {
		return Error.New("no other voter can become leader")
	}
	r.transferTo, r.transferDeadline = to, now.Add(r.settings.ElectionTimeout)
	if r.progress[to].match == r.log.lastIndex() {
		r.sendBeforeSync(r.make(wasabistandv1.GroupMessage_KIND_TIMEOUT_NOW, to))
	}
	return nil
}

// transferTarget returns the other voter with the longest log that responded within
// an election timeout, or "" if there is none. It considers only the named voter
// unless the name is empty.
func (r *Replica) transferTarget(now time.Time, only string) string {
	best := ""
	for _, m := range r.currentMembers().GetMembers() {
		if !m.GetVoter() || m.GetId() == r.self.ID || only != "" && m.GetId() != only {
			continue
		}
		if only == "" && !r.progress[m.GetId()].respondedSince(now.Add(-r.settings.ElectionTimeout)) {
			continue
		}
		if best == "" || r.progress[m.GetId()].match > r.progress[best].match {
			best = m.GetId()
		}
	}
	return best
}
