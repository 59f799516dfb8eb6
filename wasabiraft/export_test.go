package wasabiraft

import wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"

// AllowUnsafe enables one kind of unsafe behavior, or none if the name is empty.
func (r *Replica) AllowUnsafe(behavior string) {
	switch behavior {
	case "":
	case "vote before sync":
		r.unsafe.voteBeforeSync = true
	case "count any storage":
		r.unsafe.countAnyStorage = true
	case "read unconfirmed":
		r.unsafe.readUnconfirmed = true
	case "commit older terms":
		r.unsafe.commitOlderTerms = true
	default:
		panic(behavior)
	}
}

// TermAt returns the term of an entry, and false if it is not in memory.
func (r *Replica) TermAt(i uint64) (uint64, bool) { return r.log.term(i) }

// LogBounds returns the index before the first entry in memory and the index of
// the last entry.
func (r *Replica) LogBounds() (base, last uint64) { return r.log.baseIndex, r.log.lastIndex() }

// CommitIndex returns the commit index.
func (r *Replica) CommitIndex() uint64 { return r.log.commit }

// CanChangeMembers reports whether the member list may be changed.
func (r *Replica) CanChangeMembers() bool { return r.canChangeMembers() }

// ForEachMemberList calls f with the latest committed member list and each
// newer one.
func (r *Replica) ForEachMemberList(f func(m *wasabistandv1.Members)) {
	for i, l := range r.memberLists {
		if i == len(r.memberLists)-1 || r.memberLists[i+1].index > r.log.commit {
			f(l.list)
		}
	}
}
