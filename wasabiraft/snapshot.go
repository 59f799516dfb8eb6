package wasabiraft

import (
	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// SnapshotAt describes a snapshot of the state after applying index, for the
// owner to save. It is nil when the index is not in memory or not applied.
func (r *Replica) SnapshotAt(index uint64, state []byte) *wasabistandv1.LogSnapshot {
	t, ok := r.log.term(index)
	if !ok || index > r.log.applied || index == 0 {
		return nil
	}
	n := &snapshot{Index: index, Term: t, State: state}
	for _, l := range r.lists {
		if l.index <= index {
			n.Members = proto.CloneOf(l.list)
		}
	}
	return n
}

// Compact drops entries that a saved snapshot covers, but for the trailing
// ones.
func (r *Replica) Compact(n *wasabistandv1.LogSnapshot) {
	if n.GetIndex() <= r.snapshot.GetIndex() {
		return
	}
	r.snapshot = n
	if keep := uint64(r.settings.TrailingEntries); n.GetIndex() > keep {
		r.log.compact(n.GetIndex() - keep)
	}
	for len(r.lists) > 1 && r.lists[1].index <= n.GetIndex() {
		r.lists = r.lists[1:]
	}
}

// sendSnapshot sends the next part, unless an answer is awaited.
func (r *Replica) sendSnapshot(to string, p *progress) {
	if p.waiting {
		return
	}
	n := p.snapshot
	end := min(p.offset+uint64(r.settings.MaxMessageBytes), uint64(len(n.GetState())))
	m := r.make(wasabistandv1.GroupMessage_KIND_SNAPSHOT, to)
	m.Snapshot = &snapshot{
		Index: n.GetIndex(), Term: n.GetTerm(), Members: n.GetMembers(),
		State: n.GetState()[p.offset:end], Offset: p.offset, Size: uint64(len(n.GetState())),
	}
	r.sendNow(m)
	p.waiting = true
}

// snapshotAnswered handles an answer while a snapshot is sent. It returns
// false when the answer is one to handle as an append's.
func (r *Replica) snapshotAnswered(m *message, p *progress) bool {
	n := p.snapshot
	if !m.GetRejected() && m.GetMatchIndex() >= n.GetIndex() {
		p.snapshot, p.probing, p.waiting = nil, true, false
		p.next = n.GetIndex() + 1
		return false
	}
	if m.GetRejected() && m.GetMatchIndex() == n.GetIndex() && m.GetSnapshotOffset() <= uint64(len(n.GetState())) {
		p.offset, p.waiting = m.GetSnapshotOffset(), false
	}
	return true
}

// stepSnapshot collects the parts of a snapshot and installs it.
func (r *Replica) stepSnapshot(m *message) {
	part := m.GetSnapshot()
	a := r.make(wasabistandv1.GroupMessage_KIND_APPEND_RESPONSE, m.GetFrom())
	defer r.sendAfterSync(a)
	if part.GetIndex() <= r.log.commit {
		a.MatchIndex = r.log.commit
		return
	}
	a.Rejected, a.MatchIndex = true, part.GetIndex()
	if part.GetOffset() == 0 {
		r.received = proto.CloneOf(part)
	} else {
		n := r.received
		if n.GetIndex() != part.GetIndex() || n.GetTerm() != part.GetTerm() {
			r.received = nil
			return // asks for the first part
		}
		if part.GetOffset() == uint64(len(n.GetState())) {
			n.State = append(n.State, part.GetState()...)
		}
	}
	n := r.received
	if have := uint64(len(n.GetState())); have < n.GetSize() {
		a.SnapshotOffset = have
		return
	}
	r.received = nil
	if uint64(len(n.GetState())) != n.GetSize() {
		return // asks for the first part
	}
	a.Rejected = false
	if t, ok := r.log.term(n.GetIndex()); ok && t == n.GetTerm() {
		// The log holds all that the snapshot covers.
		r.log.commit, r.matched = n.GetIndex(), max(r.matched, n.GetIndex())
		return
	}
	n.Offset, n.Size = 0, 0
	r.install, r.snapshot = n, n
	r.log.reset(n.GetIndex(), n.GetTerm())
	r.matched = n.GetIndex()
	r.lists = []memberList{{index: n.GetIndex(), list: n.GetMembers()}}
}
