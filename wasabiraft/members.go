package wasabiraft

import (
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// MemberChange adds a member or removes one.
type MemberChange struct {
	// Add is the name and address of a member that joins as a learner. It
	// becomes a voter by itself once its disk has caught up.
	Add *wasabistandv1.Member
	// Remove is the name of a member that leaves.
	Remove string
}

// ChangeMembers appends a member list that differs in one member and returns
// the index of its entry, 0 when the list is already so. The error is of class
// ErrNotLeader or ErrInvalid.
func (r *Replica) ChangeMembers(now time.Time, c MemberChange) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, wasabistand.ErrNotLeader.New("%s is %s", r.self.ID, r.role)
	}
	if !r.mayChange() {
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
			next.Members = append(next.Members, &member{Id: c.Add.GetId(), Address: c.Add.GetAddress()})
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
		if m.GetVoter() && r.voters() == 1 {
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

// mayChange reports whether the member list may change: the majorities of two
// lists share a member only if the lists differ in one voter, and only if this
// leader knows which list was committed last.
func (r *Replica) mayChange() bool {
	return r.committedInTerm() && r.lists[len(r.lists)-1].index <= r.log.commit && r.transferTo == ""
}

func (r *Replica) appendMembers(now time.Time, m *members) (uint64, error) {
	sortMembers(m)
	data, err := marshalMembers(m)
	if err != nil {
		return 0, err
	}
	r.appendOwn(now, wasabistandv1.LogEntry_KIND_MEMBERS, data)
	return r.log.last(), nil
}

// manageMembers makes the changes that need no operator, one at a time:
// storage identities are recorded, a replaced disk becomes a learner, a
// learner that has caught up becomes a voter. A leader that was removed steps
// down.
func (r *Replica) manageMembers(now time.Time) {
	if r.role != Leader || !r.mayChange() {
		return
	}
	if findMember(r.current(), r.self.ID) == nil {
		r.stepDownRemoved(now)
		return
	}
	next := r.Members()
	if r.admitDisk(now, next) || r.recordStorage(next) || r.promote(now, next) {
		_, _ = r.appendMembers(now, next)
	}
}

// admitDisk gives one member that has a new disk a new start as a learner.
func (r *Replica) admitDisk(now time.Time, next *members) bool {
	for _, m := range next.GetMembers() {
		p := r.progress[m.GetId()]
		if p.joining == "" || p.joining == m.GetStorage() || !p.joined.After(now.Add(-r.settings.ElectionTimeout)) {
			continue
		}
		if m.GetVoter() && r.voters() == 1 {
			continue
		}
		m.Storage, m.Voter = p.joining, false
		// What was known belongs to the old disk.
		r.progress[m.GetId()] = nil
		return true
	}
	return false
}

// recordStorage names the disks that wrote the first state. Only they count
// already, so the majorities stay as they are.
func (r *Replica) recordStorage(next *members) bool {
	found := false
	for _, m := range next.GetMembers() {
		if p := r.progress[m.GetId()]; m.GetStorage() == "" && m.GetVoter() && p.storage != "" {
			m.Storage, found = p.storage, true
		}
	}
	return found
}

// promote makes one learner a voter. Answers come after a sync, so a learner
// that matches the commit index holds it durably.
func (r *Replica) promote(now time.Time, next *members) bool {
	if n := r.settings.MaxVoters; n > 0 && r.voters() >= n {
		return false
	}
	for _, m := range next.GetMembers() {
		p := r.progress[m.GetId()]
		if !m.GetVoter() && m.GetStorage() != "" && p.match >= r.log.commit && p.heardSince(now.Add(-r.settings.ElectionTimeout)) {
			m.Voter = true
			return true
		}
	}
	return false
}

// stepDownRemoved hands over after the entry that removes this leader was
// committed.
func (r *Replica) stepDownRemoved(now time.Time) {
	best := r.successor("")
	r.replicate()
	if best != "" {
		r.sendNow(r.make(wasabistandv1.GroupMessage_KIND_TIMEOUT_NOW, best))
	}
	r.follow(now, r.Term(), "")
}

// Transfer asks the voter with the longest log, or the named one, to take
// over. Until it does or an election timeout passes, no commands are accepted.
func (r *Replica) Transfer(now time.Time, to string) error {
	if r.role != Leader {
		return wasabistand.ErrNotLeader.New("%s is %s", r.self.ID, r.role)
	}
	to = r.successor(to)
	if to == "" {
		return Error.New("no other voter can lead")
	}
	r.transferTo, r.transferUntil = to, now.Add(r.settings.ElectionTimeout)
	if r.progress[to].match == r.log.last() {
		r.sendNow(r.make(wasabistandv1.GroupMessage_KIND_TIMEOUT_NOW, to))
	}
	return nil
}

// successor returns the voter with the longest log, of which only the named
// one is considered unless the name is empty.
func (r *Replica) successor(only string) string {
	best := ""
	for _, m := range r.current().GetMembers() {
		if !m.GetVoter() || m.GetId() == r.self.ID || only != "" && m.GetId() != only {
			continue
		}
		if best == "" || r.progress[m.GetId()].match > r.progress[best].match {
			best = m.GetId()
		}
	}
	return best
}
