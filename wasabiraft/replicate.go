package wasabiraft

import (
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// progress is what a leader knows of one member.
type progress struct {
	match uint64 // synced by the member
	next  uint64 // first entry to send
	// probing means that it is unknown where the logs part: one message is
	// sent at a time.
	probing bool
	waiting bool // an answer to a probe or a part of a snapshot is awaited
	// inflight has the last index of each message that is not answered yet.
	inflight []uint64
	snapshot *snapshot // being sent
	offset   uint64
	told     uint64 // commit index in the latest message
	heard    time.Time
	readAck  uint64
	storage  string // of the disk that counts
	joining  string // of a new disk under this name
	joined   time.Time
	// joinAfter is the least heartbeat that a joining disk must answer: a late
	// answer of a disk that was replaced since must not be admitted again.
	joinAfter uint64
}

func (p *progress) heardSince(t time.Time) bool { return p != nil && p.heard.After(t) }

// Propose appends commands and returns the index of the first one. They are
// committed when Ready returns entries of this term at these indexes. The
// error is of class ErrNotLeader.
func (r *Replica) Propose(now time.Time, commands [][]byte) (first, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, wasabistand.ErrNotLeader.New("%s is %s", r.self.ID, r.role)
	}
	if r.transferTo != "" {
		return 0, 0, wasabistand.ErrNotLeader.New("leadership is being handed to %s", r.transferTo)
	}
	if !r.AcceptsProposals() {
		return 0, 0, wasabistand.ErrNotLeader.New("%d bytes are not committed: allowed are %d", r.uncommitted, r.settings.MaxUncommitted)
	}
	for _, c := range commands {
		if len(c) > r.settings.MaxCommandBytes {
			return 0, 0, wasabistand.ErrNotLeader.New("command of %d bytes: allowed are %d", len(c), r.settings.MaxCommandBytes)
		}
	}
	first = r.log.last() + 1
	for _, c := range commands {
		r.appendOwn(now, wasabistandv1.LogEntry_KIND_COMMAND, c)
	}
	return first, r.Term(), nil
}

// AcceptsProposals reports whether there is room for more commands.
func (r *Replica) AcceptsProposals() bool { return r.uncommitted < r.settings.MaxUncommitted }

func (r *Replica) appendOwn(now time.Time, kind wasabistandv1.LogEntry_Kind, data []byte) {
	e := &entry{Index: r.log.last() + 1, Term: r.Term(), Kind: kind, Data: data}
	r.log.append(e)
	r.uncommitted += len(data) + entryOverheadBytes
	if kind == wasabistandv1.LogEntry_KIND_MEMBERS {
		// Data was marshaled by this replica.
		_ = r.noteMembers(e)
		r.syncProgress(now)
	}
}

// syncProgress follows a change of the member list. A member with another
// storage identity starts anew: what the old disk held does not count.
func (r *Replica) syncProgress(now time.Time) {
	old := r.progress
	r.progress = map[string]*progress{}
	for _, m := range r.current().GetMembers() {
		p := old[m.GetId()]
		if p == nil || p.storage != "" && m.GetStorage() != "" && p.storage != m.GetStorage() {
			r.readSequence++
			p = &progress{
				next: r.log.last() + 1, probing: true, heard: now, storage: m.GetStorage(), joinAfter: r.readSequence,
			}
		}
		r.progress[m.GetId()] = p
	}
	r.ownProgress()
}

func (r *Replica) ownProgress() {
	if p := r.progress[r.self.ID]; p != nil && r.countsSelf() {
		p.match, p.storage = r.log.synced, r.self.Storage
	}
}

// replicate sends what the members lack, as far as their bounds allow.
func (r *Replica) replicate() {
	for _, m := range r.current().GetMembers() {
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
		if r.askQuorum || !p.probing && p.told < r.log.commit {
			r.sendHeartbeat(m.GetId(), p)
		}
	}
	r.askQuorum = false
}

func (r *Replica) sendHeartbeat(to string, p *progress) {
	m := r.make(wasabistandv1.GroupMessage_KIND_HEARTBEAT, to)
	m.CommitIndex, m.ReadSequence = r.log.commit, r.readSequence
	p.told = r.log.commit
	r.sendNow(m)
}

// sendAppend sends one message with entries and reports whether it did. An
// empty one is sent only while probing, or when asked for.
func (r *Replica) sendAppend(to string, p *progress, empty bool) bool {
	if p.probing && p.waiting && !empty || len(p.inflight) >= r.settings.MaxInflight && !empty {
		return false
	}
	if p.next > r.log.last() && !p.probing && !empty {
		return false
	}
	previous, ok := r.log.term(p.next - 1)
	if !ok {
		if r.snapshot == nil {
			return false
		}
		p.snapshot, p.offset, p.waiting, p.inflight = r.snapshot, 0, false, nil
		r.sendSnapshot(to, p)
		return false
	}
	m := r.make(wasabistandv1.GroupMessage_KIND_APPEND, to)
	m.PreviousIndex, m.PreviousTerm, m.CommitIndex = p.next-1, previous, r.log.commit
	if !empty {
		m.Entries = r.log.from(p.next, r.log.last(), r.settings.MaxMessageBytes)
	}
	r.sendNow(m)
	p.told = r.log.commit
	if p.probing {
		p.waiting = true
		return false
	}
	if n := len(m.Entries); n > 0 {
		p.next += uint64(n)
		p.inflight = append(p.inflight, p.next-1)
		return true
	}
	return false
}

// stepAppend appends a leader's entries if they follow this log.
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
		// Committed entries agree with any leader's.
		skip := min(r.log.commit-previous, uint64(len(list)))
		list, previous = list[skip:], previous+skip
		if previous < r.log.commit {
			a.MatchIndex = r.log.commit
			return
		}
	} else if t, ok := r.log.term(previous); !ok || t != m.GetPreviousTerm() {
		a.Rejected, a.MatchIndex = true, r.conflict(previous)
		return
	}
	for i, e := range list {
		t, ok := r.log.term(e.GetIndex())
		if ok && t == e.GetTerm() {
			continue
		}
		if ok {
			r.log.truncate(e.GetIndex())
			r.dropMembers(e.GetIndex())
		}
		for _, e := range list[i:] {
			if err := r.noteMembers(e); err != nil {
				a.Rejected, a.MatchIndex = true, r.log.commit
				return
			}
			r.log.append(e)
		}
		break
	}
	end := previous + uint64(len(list))
	r.log.commit = max(r.log.commit, min(m.GetCommitIndex(), end))
	r.matched = max(r.matched, end)
	a.MatchIndex = end
}

// conflict returns an index at which the logs may agree: the end of this log,
// or the end of the term before the one that conflicts.
func (r *Replica) conflict(previous uint64) uint64 {
	if previous > r.log.last() {
		return r.log.last()
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

// stepFromFollower handles an answer to the leader of this term.
func (r *Replica) stepFromFollower(now time.Time, m *message) {
	p := r.progress[m.GetFrom()]
	if p == nil {
		return
	}
	if !r.counts(findMember(r.current(), m.GetFrom()), m.GetFromStorage(), m.GetFromBootstrapped()) {
		if m.GetFromJoining() && m.GetKind() == wasabistandv1.GroupMessage_KIND_HEARTBEAT_RESPONSE && m.GetReadSequence() >= p.joinAfter {
			p.joining, p.joined = m.GetFromStorage(), now
			r.manageMembers(now)
		}
		return
	}
	p.heard, p.storage = now, m.GetFromStorage()
	if m.GetKind() == wasabistandv1.GroupMessage_KIND_HEARTBEAT_RESPONSE {
		p.readAck = max(p.readAck, min(m.GetReadSequence(), r.readSequence))
		r.confirmReads()
		p.waiting = false
		if p.snapshot == nil && !p.probing && p.match < r.log.last() && len(p.inflight) > 0 {
			// A message may be lost: the answer tells.
			r.sendAppend(m.GetFrom(), p, true)
		}
		return
	}
	r.stepAppendResponse(now, m, p)
}

func (r *Replica) stepAppendResponse(now time.Time, m *message, p *progress) {
	if p.snapshot != nil && r.snapshotAnswered(m, p) {
		return
	}
	if m.GetRejected() {
		if m.GetPreviousIndex() <= p.match || p.probing && m.GetPreviousIndex() != p.next-1 {
			// Answers an older message. A disk that lost what it has synced
			// would refuse its match too: it is asked again at each heartbeat
			// and not at once, so that messages don't multiply.
			return
		}
		p.probing, p.waiting, p.inflight = true, false, nil
		p.next = max(p.match, min(m.GetMatchIndex(), m.GetPreviousIndex()-1, r.log.last())) + 1
		return
	}
	if m.GetMatchIndex() > r.log.last() {
		return
	}
	for len(p.inflight) > 0 && p.inflight[0] <= m.GetMatchIndex() {
		p.inflight = p.inflight[1:]
	}
	if m.GetMatchIndex() > p.match || p.probing {
		p.match = max(p.match, m.GetMatchIndex())
		p.next = max(p.next, p.match+1)
		if p.probing {
			p.probing, p.waiting, p.inflight, p.next = false, false, nil, p.match+1
		}
		r.advanceCommit(now)
	}
	if r.transferTo == m.GetFrom() && p.match == r.log.last() {
		r.sendNow(r.make(wasabistandv1.GroupMessage_KIND_TIMEOUT_NOW, m.GetFrom()))
	}
}

// advanceCommit commits what a majority of voters has synced, if the entry is
// of this term: an entry of an earlier term can still be replaced although a
// majority holds it.
func (r *Replica) advanceCommit(now time.Time) {
	i := r.quorumValue(func(m *member) uint64 { return r.progress[m.GetId()].match })
	if t, ok := r.log.term(i); i <= r.log.commit || !ok || t != r.Term() && !r.broken.commitOlderTerms {
		return
	}
	for _, e := range r.log.from(r.log.commit+1, i, int(^uint(0)>>1)) {
		r.uncommitted -= len(e.GetData()) + entryOverheadBytes
	}
	r.uncommitted = max(r.uncommitted, 0)
	r.log.commit = i
	for _, q := range r.earlyReads {
		r.startRead(q)
	}
	r.earlyReads = nil
	r.manageMembers(now)
}

// committedInTerm reports whether this leader knows all that is committed.
func (r *Replica) committedInTerm() bool {
	t, ok := r.log.term(r.log.commit)
	return r.role == Leader && ok && t == r.Term()
}
