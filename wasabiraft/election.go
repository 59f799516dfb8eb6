package wasabiraft

import (
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// campaign starts an election. A pre-vote round first checks whether the
// election would succeed, so that a member that was partitioned does not
// increase the term. A leadership transfer skips the pre-vote.
func (r *Replica) campaign(now time.Time, transfer bool) {
	r.leader, r.incomingSnapshot = "", nil
	if transfer {
		r.becomeCandidate(now, true)
		return
	}
	r.role = PreCandidate
	r.votes = map[string]bool{r.self.ID: true}
	r.setElectionRetryDeadline(now)
	if r.hasVoteQuorum() {
		r.becomeCandidate(now, false)
		return
	}
	r.requestVotes(wasabistandv1.GroupMessage_KIND_PRE_VOTE, r.Term()+1, false)
}

// becomeCandidate starts a new term and requests votes in it.
func (r *Replica) becomeCandidate(now time.Time, transfer bool) {
	r.role, r.leader = Candidate, ""
	r.hardState.Term++
	r.hardState.VotedFor, r.hardStateChanged = candidateID(r.self.ID, r.self.Storage), true
	r.votes = map[string]bool{r.self.ID: true}
	r.setElectionRetryDeadline(now)
	if r.hasVoteQuorum() {
		// This is the only voter. Its vote is synced together with the first
		// entry of the term, before any entry is committed.
		r.becomeLeader(now)
		return
	}
	r.requestVotes(wasabistandv1.GroupMessage_KIND_VOTE, r.Term(), transfer)
}

// electionRetryDivisor gives the least pause between two campaigns as a part of the
// election timeout, which is 25 round trips or more.
const electionRetryDivisor = 5

// setElectionRetryDeadline schedules the next campaign of a candidate. The
// delay is shorter than after the loss of a leader: there is no leader to
// disturb, and responses arrive within a few round trips.
func (r *Replica) setElectionRetryDeadline(now time.Time) {
	t := r.settings.ElectionTimeout / electionRetryDivisor
	r.electionDeadline = now.Add(t + time.Duration(r.random.Int64N(int64(t))))
}

func candidateID(id, storage string) string { return id + "@" + storage }

func (r *Replica) requestVotes(kind wasabistandv1.GroupMessage_Kind, term uint64, transfer bool) {
	for _, m := range r.currentMembers().GetMembers() {
		if m.GetId() == r.self.ID || !m.GetVoter() {
			continue
		}
		a := r.make(kind, m.GetId())
		a.Term, a.Transfer = term, transfer
		a.PreviousIndex, a.PreviousTerm = r.log.lastIndex(), r.log.lastTerm()
		if r.unsafe.voteBeforeSync {
			r.sendBeforeSync(a)
		} else {
			r.sendAfterSync(a)
		}
	}
}

// isUpToDate reports whether the candidate's log contains every entry of this
// log that may be committed.
func (r *Replica) isUpToDate(m *message) bool {
	t := r.log.lastTerm()
	return m.GetPreviousTerm() > t || m.GetPreviousTerm() == t && m.GetPreviousIndex() >= r.log.lastIndex()
}

// stepPreVote responds whether this replica would grant its vote. It changes no state
// but that of an own campaign.
func (r *Replica) stepPreVote(now time.Time, m *message) {
	a := r.make(wasabistandv1.GroupMessage_KIND_PRE_VOTE_RESPONSE, m.GetFrom())
	if m.GetTerm() > r.Term() && r.isUpToDate(m) && !r.hasActiveLeader(now) {
		a.Term = m.GetTerm()
		if r.role == PreCandidate && m.GetFrom() < r.self.ID {
			// Of two that campaign at the same time, one steps back, so that they
			// don't split the votes. A campaign that fails is followed by its own.
			r.role, r.votes = Follower, nil
			r.setElectionRetryDeadline(now)
		}
	} else {
		a.Rejected = true
	}
	r.sendAfterSync(a)
}

func (r *Replica) stepPreVoteResponse(now time.Time, m *message) {
	if r.role != PreCandidate || m.GetTerm() != r.Term()+1 || !r.recordVote(m) {
		return
	}
	if r.hasVoteQuorum() {
		r.becomeCandidate(now, false)
	}
}

// stepVote grants at most one vote per term. The candidate does not have to be
// in this replica's member list: the candidate's list may be newer, and the
// candidate counts votes by its own list. A removed candidate is rejected
// because its log is older.
func (r *Replica) stepVote(now time.Time, m *message) {
	a := r.make(wasabistandv1.GroupMessage_KIND_VOTE_RESPONSE, m.GetFrom())
	candidate := candidateID(m.GetFrom(), m.GetFromStorage())
	canVote := r.hardState.GetVotedFor() == "" || r.hardState.GetVotedFor() == candidate
	if !canVote || !r.isUpToDate(m) || r.role == Leader {
		a.Rejected = true
		r.sendAfterSync(a)
		return
	}
	if r.hardState.GetVotedFor() == "" {
		r.hardState.VotedFor, r.hardStateChanged = candidate, true
	}
	r.resetElectionDeadline(now)
	if r.unsafe.voteBeforeSync {
		r.sendBeforeSync(a)
		return
	}
	r.sendAfterSync(a)
}

func (r *Replica) stepVoteResponse(now time.Time, m *message) {
	if r.role != Candidate || m.GetRejected() || !r.recordVote(m) {
		return
	}
	if r.hasVoteQuorum() {
		r.becomeLeader(now)
	}
}

// recordVote records a vote. It returns false if the sender's disk is not the
// one that holds the membership.
func (r *Replica) recordVote(m *message) bool {
	if !r.isMemberStorage(findMember(r.currentMembers(), m.GetFrom()), m.GetFromStorage(), m.GetFromBootstrapped()) {
		return false
	}
	r.votes[m.GetFrom()] = true
	return true
}

func (r *Replica) hasVoteQuorum() bool {
	return r.hasQuorum(func(m *member) bool { return r.votes[m.GetId()] })
}

// becomeLeader makes this replica the leader of the term and appends an empty
// entry: entries of earlier terms are committed only together with an entry of
// this term.
func (r *Replica) becomeLeader(now time.Time) {
	r.role, r.leader, r.votes = Leader, r.self.ID, nil
	r.progress = map[string]*progress{}
	r.readSequence, r.reads, r.deferredReads = 0, nil, nil
	r.transferTo, r.uncommittedBytes, r.incomingSnapshot = "", 0, nil
	r.updateProgress(now)
	if p := r.progress[r.lastLeader]; p != nil && r.lastLeader != r.self.ID {
		// The silence of that member led to the election.
		p.lastContact, p.led = r.lastLeaderContact, true
	}
	r.electionDeadline = now.Add(r.settings.ElectionTimeout)
	r.nextHeartbeat = now.Add(r.settings.HeartbeatInterval)
	r.appendEntry(now, wasabistandv1.LogEntry_KIND_EMPTY, nil)
}

// tickLeader ends an overdue leadership transfer, steps down if a quorum has not
// responded within the election timeout, and schedules heartbeats.
func (r *Replica) tickLeader(now time.Time) {
	if r.transferTo != "" && !now.Before(r.transferDeadline) {
		r.transferTo = ""
	}
	if !now.Before(r.electionDeadline) {
		since := now.Add(-r.settings.ElectionTimeout)
		if !r.hasQuorum(func(m *member) bool { return m.GetId() == r.self.ID || r.progress[m.GetId()].respondedSince(since) }) {
			r.becomeFollower(now, r.Term(), "")
			return
		}
		// The check runs more often than the timeout, so that an isolated leader
		// steps down soon after the timeout.
		r.electionDeadline = now.Add(r.settings.ElectionTimeout / 4)
	}
	if !now.Before(r.nextHeartbeat) {
		r.nextHeartbeat = now.Add(r.settings.HeartbeatInterval)
		r.heartbeatRequested = true
		r.reconcileMembers(now)
	}
}
