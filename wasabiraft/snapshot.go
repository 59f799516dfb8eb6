package wasabiraft

import (
	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// SnapshotAt returns a snapshot of the given state after applying index, for the
// owner to save. It returns nil if the index is not in memory or not applied.
func (r *Replica) SnapshotAt(index uint64, state []byte) *wasabistandv1.LogSnapshot {
	t, ok := r.log.term(index)
	if !ok || index > r.log.applied || index == 0 {
		return nil
	}
	n := &snapshot{Index: index, Term: t, State: state}
	for _, l := range r.memberLists {
		if l.index <= index {
			n.Members = proto.CloneOf(l.list)
		}
	}
	return n
}

// Compact drops the entries that a saved snapshot covers, except for the
// trailing ones.
func (r *Replica) Compact(n *wasabistandv1.LogSnapshot) {
	if n.GetIndex() <= r.snapshot.GetIndex() {
		return
	}
	r.snapshot = n
	if keep := uint64(r.settings.TrailingEntries); n.GetIndex() > keep {
		r.log.compact(n.GetIndex() - keep)
	}
	for len(r.memberLists) > 1 && r.memberLists[1].index <= n.GetIndex() {
		r.memberLists = r.memberLists[1:]
	}
}

// sendSnapshot sends the next part of the snapshot unless a response is
// outstanding.
func (r *Replica) sendSnapshot(to string, p *progress) {
	if p.awaitingResponse {
		return
	}
	n := p.snapshot
	end := min(p.snapshotOffset+uint64(r.settings.MaxMessageBytes), uint64(len(n.GetState())))
	m := r.make(wasabistandv1.GroupMessage_KIND_SNAPSHOT, to)
	m.Snapshot = &snapshot{
		Index: n.GetIndex(), Term: n.GetTerm(), Members: n.GetMembers(),
		State: n.GetState()[p.snapshotOffset:end], Offset: p.snapshotOffset, Size: uint64(len(n.GetState())),
	}
	r.sendBeforeSync(m)
	p.awaitingResponse = true
}

// handleSnapshotResponse handles a response while a snapshot is being sent. It
// returns false if the response must also be handled as an append response.
func (r *Replica) handleSnapshotResponse(m *message, p *progress) bool {
	n := p.snapshot
	if !m.GetRejected() && m.GetMatchIndex() >= n.GetIndex() {
		p.snapshot, p.probing, p.awaitingResponse = nil, true, false
		p.next = n.GetIndex() + 1
		return false
	}
	if m.GetRejected() && m.GetMatchIndex() == n.GetIndex() && m.GetSnapshotOffset() <= uint64(len(n.GetState())) {
		p.snapshotOffset, p.awaitingResponse = m.GetSnapshotOffset(), false
	}
	return true
}

// stepSnapshot collects the parts of a snapshot and installs the complete one.
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
		r.incomingSnapshot = proto.CloneOf(part)
	} else {
		n := r.incomingSnapshot
		if n.GetIndex() != part.GetIndex() || n.GetTerm() != part.GetTerm() {
			r.incomingSnapshot = nil
			return // requests the first part again
		}
		if part.GetOffset() == uint64(len(n.GetState())) {
			n.State = append(n.State, part.GetState()...)
		}
	}
	n := r.incomingSnapshot
	if receivedBytes := uint64(len(n.GetState())); receivedBytes < n.GetSize() {
		a.SnapshotOffset = receivedBytes
		return
	}
	r.incomingSnapshot = nil
	if uint64(len(n.GetState())) != n.GetSize() {
		return // requests the first part again
	}
	a.Rejected = false
	if t, ok := r.log.term(n.GetIndex()); ok && t == n.GetTerm() {
		// The log already contains everything that the snapshot covers.
		r.log.commit, r.matchedIndex = n.GetIndex(), max(r.matchedIndex, n.GetIndex())
		return
	}
	n.Offset, n.Size = 0, 0
	r.pendingInstall, r.snapshot = n, n
	r.log.reset(n.GetIndex(), n.GetTerm())
	r.matchedIndex = n.GetIndex()
	r.memberLists = []memberList{{index: n.GetIndex(), list: n.GetMembers()}}
}
