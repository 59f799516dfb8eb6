package wasabiraft

import wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"

// Break switches one safety rule off.
func (r *Replica) Break(rule string) {
	switch rule {
	case "":
	case "vote before sync":
		r.broken.voteBeforeSync = true
	case "count any storage":
		r.broken.countAnyStorage = true
	case "read unconfirmed":
		r.broken.readUnconfirmed = true
	case "commit older terms":
		r.broken.commitOlderTerms = true
	default:
		panic(rule)
	}
}

// TermAt returns the term of an entry in memory.
func (r *Replica) TermAt(i uint64) (uint64, bool) { return r.log.term(i) }

// Bounds returns the indexes before the first entry in memory and of the last.
func (r *Replica) Bounds() (base, last uint64) { return r.log.base, r.log.last() }

// Commit returns the commit index.
func (r *Replica) Commit() uint64 { return r.log.commit }

// MayChange reports whether the member list may change.
func (r *Replica) MayChange() bool { return r.mayChange() }

// Lists calls f with each member list that is committed last or newer.
func (r *Replica) Lists(f func(m *wasabistandv1.Members)) {
	for i, l := range r.lists {
		if i == len(r.lists)-1 || r.lists[i+1].index > r.log.commit {
			f(l.list)
		}
	}
}
