package wasabiraft

import (
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// campaign asks for votes: first whether an election would succeed, so that a
// member that was cut off does not raise the term, then for the term itself.
// At a leader's request the first round is left out.
func (r *Replica) campaign(now time.Time, transfer bool) {
	r.leader, r.received = "", nil
	if transfer {
		r.stand(now, true)
		return
	}
	r.role = PreCandidate
	r.votes = map[string]bool{r.self.ID: true}
	r.retryElection(now)
	if r.hasVotes() {
		r.stand(now, false)
		return
	}
	r.askVotes(wasabistandv1.GroupMessage_KIND_PRE_VOTE, r.Term()+1, false)
}

// stand asks for votes in a new term.
func (r *Replica) stand(now time.Time, transfer bool) {
	r.role, r.leader = Candidate, ""
	r.hard.Term++
	r.hard.VotedFor, r.changed = candidate(r.self.ID, r.self.Storage), true
	r.votes = map[string]bool{r.self.ID: true}
	r.retryElection(now)
	if r.hasVotes() {
		// The only voter: its own vote is synced with the first entry before
		// anything is committed.
		r.lead(now)
		return
	}
	r.askVotes(wasabistandv1.GroupMessage_KIND_VOTE, r.Term(), transfer)
}

// retryElection waits less than after losing a leader: nobody leads, and the
// answers come within a few round trips.
func (r *Replica) retryElection(now time.Time) {
	t := r.settings.ElectionTimeout / 2
	r.deadline = now.Add(t + time.Duration(r.random.Int64N(int64(t))))
}

func candidate(id, storage string) string { return id + "@" + storage }

func (r *Replica) askVotes(kind wasabistandv1.GroupMessage_Kind, term uint64, transfer bool) {
	for _, m := range r.current().GetMembers() {
		if m.GetId() == r.self.ID || !m.GetVoter() {
			continue
		}
		a := r.make(kind, m.GetId())
		a.Term, a.Transfer = term, transfer
		a.PreviousIndex, a.PreviousTerm = r.log.last(), r.log.lastTerm()
		if r.broken.voteBeforeSync {
			r.sendNow(a)
		} else {
			r.sendAfterSync(a)
		}
	}
}

// upToDate reports whether a candidate's log holds all that may be committed
// here.
func (r *Replica) upToDate(m *message) bool {
	t := r.log.lastTerm()
	return m.GetPreviousTerm() > t || m.GetPreviousTerm() == t && m.GetPreviousIndex() >= r.log.last()
}

// stepPreVote answers whether this replica would vote. It changes nothing.
func (r *Replica) stepPreVote(now time.Time, m *message) {
	a := r.make(wasabistandv1.GroupMessage_KIND_PRE_VOTE_RESPONSE, m.GetFrom())
	if m.GetTerm() > r.Term() && r.upToDate(m) && !r.hearsLeader(now) {
		a.Term = m.GetTerm()
	} else {
		a.Rejected = true
	}
	r.sendAfterSync(a)
}

func (r *Replica) stepPreVoteResponse(now time.Time, m *message) {
	if r.role != PreCandidate || m.GetTerm() != r.Term()+1 || !r.votes1(m) {
		return
	}
	if r.hasVotes() {
		r.stand(now, false)
	}
}

// stepVote grants at most one vote a term. The candidate may be in no member
// list here: this list may be older than the candidate's, and the candidate
// counts votes by its own. A candidate that was removed has an older log.
func (r *Replica) stepVote(now time.Time, m *message) {
	a := r.make(wasabistandv1.GroupMessage_KIND_VOTE_RESPONSE, m.GetFrom())
	who := candidate(m.GetFrom(), m.GetFromStorage())
	free := r.hard.GetVotedFor() == "" || r.hard.GetVotedFor() == who
	if !free || !r.upToDate(m) || r.role == Leader {
		a.Rejected = true
		r.sendAfterSync(a)
		return
	}
	if r.hard.GetVotedFor() == "" {
		r.hard.VotedFor, r.changed = who, true
	}
	r.resetElection(now)
	if r.broken.voteBeforeSync {
		r.sendNow(a)
		return
	}
	r.sendAfterSync(a)
}

func (r *Replica) stepVoteResponse(now time.Time, m *message) {
	if r.role != Candidate || m.GetRejected() || !r.votes1(m) {
		return
	}
	if r.hasVotes() {
		r.lead(now)
	}
}

// votes1 records one vote if the sender's disk counts.
func (r *Replica) votes1(m *message) bool {
	if !r.counts(findMember(r.current(), m.GetFrom()), m.GetFromStorage(), m.GetFromBootstrapped()) {
		return false
	}
	r.votes[m.GetFrom()] = true
	return true
}

func (r *Replica) hasVotes() bool {
	return r.quorum(func(m *member) bool { return r.votes[m.GetId()] })
}

// lead becomes the leader of the term and appends its first entry: entries of
// earlier terms are committed only with one of this term.
func (r *Replica) lead(now time.Time) {
	r.role, r.leader, r.votes = Leader, r.self.ID, nil
	r.progress = map[string]*progress{}
	r.readSequence, r.reads, r.earlyReads = 0, nil, nil
	r.transferTo, r.uncommitted, r.received = "", 0, nil
	r.syncProgress(now)
	r.deadline = now.Add(r.settings.ElectionTimeout)
	r.beat = now.Add(r.settings.HeartbeatInterval)
	r.appendOwn(now, wasabistandv1.LogEntry_KIND_EMPTY, nil)
}

// tickLeader sends heartbeats and steps down without a quorum.
func (r *Replica) tickLeader(now time.Time) {
	if r.transferTo != "" && !now.Before(r.transferUntil) {
		r.transferTo = ""
	}
	if !now.Before(r.deadline) {
		since := now.Add(-r.settings.ElectionTimeout)
		if !r.quorum(func(m *member) bool { return m.GetId() == r.self.ID || r.progress[m.GetId()].heardSince(since) }) {
			r.follow(now, r.Term(), "")
			return
		}
		// Checked more often than the timeout, so that an isolated leader
		// steps down soon after it.
		r.deadline = now.Add(r.settings.ElectionTimeout / 4)
	}
	if !now.Before(r.beat) {
		r.beat = now.Add(r.settings.HeartbeatInterval)
		r.askQuorum = true
		r.manageMembers(now)
	}
}
