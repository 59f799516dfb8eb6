package wasabiraft

import (
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// progress is a leader's replication state for one member.
type progress struct {
	match uint64 // highest index known to be synced by the member
	next  uint64 // index of the next entry to send
	// probing is set while the last common index of the logs is unknown. Only
	// one message is sent at a time.
	probing          bool
	awaitingResponse bool // a response to a probe or to a snapshot part is outstanding
	// inflight holds the last index of each unacknowledged message.
	inflight        []uint64
	snapshot        *snapshot // being sent, nil if none
	snapshotOffset  uint64
	sentCommit      uint64 // commit index in the latest message
	lastContact     time.Time
	responded       bool      // since the leader began to replicate to the member
	led             bool      // the member was the last leader that this replica followed
	caughtUpAt      time.Time // when the member last had all committed entries, zero for never
	readAck         uint64
	storage         string // identity of the disk that holds the membership
	joiningStorage  string // identity of a new disk of this member that requests to join
	joinRequestedAt time.Time
	// minJoinSequence is the lowest read sequence of a heartbeat response that
	// is accepted as a request to join. A disk that has been replaced must not
	// be admitted again because of a delayed response.
	minJoinSequence uint64
}

func (p *progress) respondedSince(t time.Time) bool { return p != nil && p.lastContact.After(t) }

// Propose appends commands to the log and returns the index of the first one.
// They are committed when Ready returns entries of the returned term at these
// indexes. The error is of class ErrNotLeader.
func (r *Replica) Propose(now time.Time, commands [][]byte) (first, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, wasabistand.ErrNotLeader.New("%s is %s", r.self.ID, r.role)
	}
	if r.transferTo != "" {
		return 0, 0, wasabistand.ErrNotLeader.New("leadership is being handed to %s", r.transferTo)
	}
	if !r.AcceptsProposals() {
		return 0, 0, wasabistand.ErrNotLeader.New("%d bytes are not committed: allowed are %d", r.uncommittedBytes, r.settings.MaxUncommitted)
	}
	for _, c := range commands {
		if len(c) > r.settings.MaxCommandBytes {
			return 0, 0, wasabistand.ErrNotLeader.New("command of %d bytes: allowed are %d", len(c), r.settings.MaxCommandBytes)
		}
	}
	first = r.log.lastIndex() + 1
	for _, c := range commands {
		r.appendEntry(now, wasabistandv1.LogEntry_KIND_COMMAND, c)
	}
	return first, r.Term(), nil
}

// AcceptsProposals reports whether the uncommitted commands are below the
// limit.
func (r *Replica) AcceptsProposals() bool { return r.uncommittedBytes < r.settings.MaxUncommitted }

func (r *Replica) appendEntry(now time.Time, kind wasabistandv1.LogEntry_Kind, data []byte) {
	e := &entry{Index: r.log.lastIndex() + 1, Term: r.Term(), Kind: kind, Data: data}
	r.log.append(e)
	r.uncommittedBytes += len(data) + entryOverheadBytes
	if kind == wasabistandv1.LogEntry_KIND_MEMBERS {
		// Unmarshaling can't fail, since this replica marshaled the data.
		_ = r.recordMemberList(e)
		r.updateProgress(now)
	}
}

// updateProgress updates the progress map after a change of the member list.
// The progress of a member with a new storage identity is reset, because the
// new disk does not hold the entries of the old one.
func (r *Replica) updateProgress(now time.Time) {
	old := r.progress
	r.progress = map[string]*progress{}
	for _, m := range r.currentMembers().GetMembers() {
		p := old[m.GetId()]
		if p == nil || p.storage != "" && m.GetStorage() != "" && p.storage != m.GetStorage() {
			r.readSequence++
			p = &progress{
				next: r.log.lastIndex() + 1, probing: true, lastContact: now, storage: m.GetStorage(), minJoinSequence: r.readSequence,
			}
		}
		r.progress[m.GetId()] = p
	}
	r.updateOwnProgress()
}

func (r *Replica) updateOwnProgress() {
	if p := r.progress[r.self.ID]; p != nil && r.isSelfMember() {
		p.match, p.storage = r.log.synced, r.self.Storage
	}
}

// replicate sends missing entries, snapshot parts and heartbeats to all
// members, within the limits per member.
func (r *Replica) replicate() {
	for _, m := range r.currentMembers().GetMembers() {
		if m.GetId() == r.self.ID {
			continue
		}
		p := r.progress[m.GetId()]
		if p.snapshot != nil {
			r.sendSnapshot(m.GetId(), p)
		} else {
			for r.sendAppend(m.GetId(), p, false) {
			}
		}
		if r.heartbeatRequested || !p.probing && p.sentCommit < r.log.commit {
			r.sendHeartbeat(m.GetId(), p)
		}
	}
	r.heartbeatRequested = false
}

func (r *Replica) sendHeartbeat(to string, p *progress) {
	m := r.make(wasabistandv1.GroupMessage_KIND_HEARTBEAT, to)
	m.CommitIndex, m.ReadSequence = r.log.commit, r.readSequence
	p.sentCommit = r.log.commit
	r.sendBeforeSync(m)
}

// sendAppend sends one append message. It returns true if the message contained
// entries and more may be sent. A message without entries is sent only while
// probing or if empty is set.
func (r *Replica) sendAppend(to string, p *progress, empty bool) bool {
	if p.probing && p.awaitingResponse && !empty || len(p.inflight) >= r.settings.MaxInflight && !empty {
		return false
	}
	if p.next > r.log.lastIndex() && !p.probing && !empty {
		return false
	}
	previous, ok := r.log.term(p.next - 1)
	if !ok {
		if r.snapshot == nil {
			return false
		}
		p.snapshot, p.snapshotOffset, p.awaitingResponse, p.inflight = r.snapshot, 0, false, nil
		r.sendSnapshot(to, p)
		return false
	}
	m := r.make(wasabistandv1.GroupMessage_KIND_APPEND, to)
	m.PreviousIndex, m.PreviousTerm, m.CommitIndex = p.next-1, previous, r.log.commit
	if !empty {
		m.Entries = r.log.entriesFrom(p.next, r.log.lastIndex(), r.settings.MaxMessageBytes)
	}
	r.sendBeforeSync(m)
	p.sentCommit = r.log.commit
	if p.probing {
		p.awaitingResponse = true
		return false
	}
	if n := len(m.Entries); n > 0 {
		p.next += uint64(n)
		p.inflight = append(p.inflight, p.next-1)
		return true
	}
	return false
}

// stepAppend appends the leader's entries if the preceding entry matches this
// log.
func (r *Replica) stepAppend(now time.Time, m *message) {
	a := r.make(wasabistandv1.GroupMessage_KIND_APPEND_RESPONSE, m.GetFrom())
	a.PreviousIndex = m.GetPreviousIndex()
	defer r.sendAfterSync(a)
	previous, list := m.GetPreviousIndex(), m.GetEntries()
	for i, e := range list {
		if e.GetIndex() != previous+uint64(i)+1 || e.GetTerm() > m.GetTerm() {
			a.Rejected, a.MatchIndex = true, r.log.commit
			return
		}
	}
	if previous < r.log.commit {
		// Committed entries are the same in the log of every leader.
		skip := min(r.log.commit-previous, uint64(len(list)))
		list, previous = list[skip:], previous+skip
		if previous < r.log.commit {
			a.MatchIndex = r.log.commit
			return
		}
	} else if t, ok := r.log.term(previous); !ok || t != m.GetPreviousTerm() {
		a.Rejected, a.MatchIndex = true, r.conflictIndex(previous)
		return
	}
	for i, e := range list {
		t, ok := r.log.term(e.GetIndex())
		if ok && t == e.GetTerm() {
			continue
		}
		if ok {
			r.log.truncate(e.GetIndex())
			r.truncateMemberLists(e.GetIndex())
		}
		for _, e := range list[i:] {
			if err := r.recordMemberList(e); err != nil {
				a.Rejected, a.MatchIndex = true, r.log.commit
				return
			}
			r.log.append(e)
		}
		break
	}
	end := previous + uint64(len(list))
	r.log.commit = max(r.log.commit, min(m.GetCommitIndex(), end))
	r.matchedIndex = max(r.matchedIndex, end)
	a.MatchIndex = end
}

// conflictIndex returns the next index at which the logs may match: the end of
// this log, or the last index before the term of the conflicting entry.
func (r *Replica) conflictIndex(previous uint64) uint64 {
	if previous > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	t, _ := r.log.term(previous)
	i := previous
	for i > r.log.commit {
		if u, ok := r.log.term(i); !ok || u != t {
			break
		}
		i--
	}
	return i
}

// stepFromFollower handles a response to the leader of this term.
func (r *Replica) stepFromFollower(now time.Time, m *message) {
	p := r.progress[m.GetFrom()]
	if p == nil {
		return
	}
	if !r.isMemberStorage(findMember(r.currentMembers(), m.GetFrom()), m.GetFromStorage(), m.GetFromBootstrapped()) {
		if m.GetFromJoining() && m.GetKind() == wasabistandv1.GroupMessage_KIND_HEARTBEAT_RESPONSE && m.GetReadSequence() >= p.minJoinSequence {
			p.joiningStorage, p.joinRequestedAt = m.GetFromStorage(), now
			r.reconcileMembers(now)
		}
		return
	}
	p.lastContact, p.responded, p.storage = now, true, m.GetFromStorage()
	if m.GetKind() == wasabistandv1.GroupMessage_KIND_HEARTBEAT_RESPONSE {
		r.stepHeartbeatResponse(m, p)
	} else {
		r.stepAppendResponse(now, m, p)
	}
	if p.match >= r.log.commit {
		p.caughtUpAt = now
	}
}

func (r *Replica) stepHeartbeatResponse(m *message, p *progress) {
	p.readAck = max(p.readAck, min(m.GetReadSequence(), r.readSequence))
	r.confirmReads()
	p.awaitingResponse = false
	if p.snapshot == nil && !p.probing && p.match < r.log.lastIndex() && len(p.inflight) > 0 {
		// A message may have been lost, or its response waits for the sync of its
		// entries. The response to this empty append shows which.
		r.sendAppend(m.GetFrom(), p, true)
	}
}

func (r *Replica) stepAppendResponse(now time.Time, m *message, p *progress) {
	if p.snapshot != nil && r.handleSnapshotResponse(m, p) {
		return
	}
	if m.GetRejected() {
		if m.GetPreviousIndex() <= p.match || p.probing && m.GetPreviousIndex() != p.next-1 {
			// The response is to an older message. A disk that lost synced
			// entries would also reject an append at its match index. It is
			// probed again at each heartbeat and not immediately, so that
			// messages don't multiply.
			return
		}
		p.probing, p.awaitingResponse, p.inflight = true, false, nil
		p.next = max(p.match, min(m.GetMatchIndex(), m.GetPreviousIndex()-1, r.log.lastIndex())) + 1
		return
	}
	if m.GetMatchIndex() > r.log.lastIndex() {
		return
	}
	for len(p.inflight) > 0 && p.inflight[0] <= m.GetMatchIndex() {
		p.inflight = p.inflight[1:]
	}
	if m.GetMatchIndex() > p.match || p.probing {
		p.match = max(p.match, m.GetMatchIndex())
		p.next = max(p.next, p.match+1)
		if p.probing {
			p.probing, p.awaitingResponse, p.inflight, p.next = false, false, nil, p.match+1
		}
		r.advanceCommit(now)
	}
	if r.transferTo == m.GetFrom() && p.match == r.log.lastIndex() {
		r.sendBeforeSync(r.make(wasabistandv1.GroupMessage_KIND_TIMEOUT_NOW, m.GetFrom()))
	}
}

// advanceCommit advances the commit index to the highest index that a majority
// of the voters has synced, if that entry is of the current term. An entry of
// an earlier term can still be replaced even if a majority holds it.
func (r *Replica) advanceCommit(now time.Time) {
	i := r.quorumValue(func(m *member) uint64 { return r.progress[m.GetId()].match })
	if t, ok := r.log.term(i); i <= r.log.commit || !ok || t != r.Term() && !r.unsafe.commitOlderTerms {
		return
	}
	for _, e := range r.log.entriesFrom(r.log.commit+1, i, int(^uint(0)>>1)) {
		r.uncommittedBytes -= len(e.GetData()) + entryOverheadBytes
	}
	r.uncommittedBytes = max(r.uncommittedBytes, 0)
	r.log.commit = i
	for _, q := range r.deferredReads {
		r.startRead(q)
	}
	r.deferredReads = nil
	r.reconcileMembers(now)
}

// hasCommittedInTerm reports whether this leader has committed an entry of its
// term. Until then its commit index may be behind that of an earlier leader.
func (r *Replica) hasCommittedInTerm() bool {
	t, ok := r.log.term(r.log.commit)
	return r.role == Leader && ok && t == r.Term()
}
