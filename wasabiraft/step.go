package wasabiraft

import (
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// maxAddresses bounds the remembered addresses of senders that are in no
// member list.
const maxAddresses = 16

// Step acts on a message from another member. Messages that are malformed, or
// meant for another member, are dropped.
func (r *Replica) Step(now time.Time, m *wasabistandv1.GroupMessage) {
	if m.GetTo() != r.self.ID || m.GetFrom() == r.self.ID || m.GetFrom() == "" || m.GetFromStorage() == "" {
		return
	}
	r.noteAddress(m)
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_READ:
		r.stepRead(m)
		return
	case wasabistandv1.GroupMessage_KIND_READ_RESPONSE:
		r.confirmed = append(r.confirmed, Read{ID: m.GetReadSequence(), Index: m.GetCommitIndex()})
		return
	case wasabistandv1.GroupMessage_KIND_PRE_VOTE:
		r.stepPreVote(now, m)
		return
	}
	if m.GetTerm() > r.Term() && !r.enterTerm(now, m) {
		return
	}
	if m.GetTerm() < r.Term() {
		r.refuseOldTerm(m)
		return
	}
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_PRE_VOTE_RESPONSE:
		// A refusal; what it told was its term.
	case wasabistandv1.GroupMessage_KIND_VOTE:
		r.stepVote(now, m)
	case wasabistandv1.GroupMessage_KIND_VOTE_RESPONSE:
		r.stepVoteResponse(now, m)
	case wasabistandv1.GroupMessage_KIND_APPEND, wasabistandv1.GroupMessage_KIND_HEARTBEAT, wasabistandv1.GroupMessage_KIND_SNAPSHOT:
		r.stepFromLeader(now, m)
	case wasabistandv1.GroupMessage_KIND_APPEND_RESPONSE, wasabistandv1.GroupMessage_KIND_HEARTBEAT_RESPONSE:
		if r.role == Leader {
			r.stepFromFollower(now, m)
		}
	case wasabistandv1.GroupMessage_KIND_TIMEOUT_NOW:
		if r.role != Leader && r.mayLead() {
			r.campaign(now, true)
		}
	}
}

// enterTerm follows a message into its higher term. It returns false when the
// message has no more to say.
func (r *Replica) enterTerm(now time.Time, m *message) bool {
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_PRE_VOTE_RESPONSE:
		if !m.GetRejected() {
			// Granted for the term after this one.
			r.stepPreVoteResponse(now, m)
			return false
		}
	case wasabistandv1.GroupMessage_KIND_VOTE:
		// A member that was cut off must not disturb a leader that is alive.
		if r.hearsLeader(now) && !m.GetTransfer() {
			return false
		}
	}
	r.follow(now, m.GetTerm(), "")
	return true
}

// refuseOldTerm tells a sender that is behind about the term.
func (r *Replica) refuseOldTerm(m *message) {
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_APPEND, wasabistandv1.GroupMessage_KIND_HEARTBEAT, wasabistandv1.GroupMessage_KIND_SNAPSHOT:
		a := r.make(wasabistandv1.GroupMessage_KIND_APPEND_RESPONSE, m.GetFrom())
		a.Rejected = true
		r.sendAfterSync(a)
	case wasabistandv1.GroupMessage_KIND_VOTE:
		a := r.make(wasabistandv1.GroupMessage_KIND_VOTE_RESPONSE, m.GetFrom())
		a.Rejected = true
		r.sendAfterSync(a)
	}
}

func (r *Replica) noteAddress(m *message) {
	if m.GetFromAddress() == "" || findMember(r.current(), m.GetFrom()) != nil {
		return
	}
	if _, ok := r.addresses[m.GetFrom()]; !ok && len(r.addresses) >= maxAddresses {
		clear(r.addresses)
	}
	r.addresses[m.GetFrom()] = m.GetFromAddress()
}

// stepFromLeader handles a message of the leader of this term. Its storage
// identity was checked by those who elected it; this replica's member list may
// be older than its election.
func (r *Replica) stepFromLeader(now time.Time, m *message) {
	if r.role == Leader {
		return
	}
	if r.role != Follower || r.leader != m.GetFrom() {
		r.follow(now, r.Term(), m.GetFrom())
	}
	r.heard = now
	r.resetElection(now)
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_APPEND:
		r.stepAppend(now, m)
	case wasabistandv1.GroupMessage_KIND_SNAPSHOT:
		r.stepSnapshot(m)
	case wasabistandv1.GroupMessage_KIND_HEARTBEAT:
		r.log.commit = max(r.log.commit, min(m.GetCommitIndex(), r.matched))
		a := r.make(wasabistandv1.GroupMessage_KIND_HEARTBEAT_RESPONSE, m.GetFrom())
		a.ReadSequence = m.GetReadSequence()
		r.sendAfterSync(a)
	}
}

// follow becomes a follower in a term.
func (r *Replica) follow(now time.Time, term uint64, leader string) {
	if term > r.Term() {
		r.hard.Term, r.hard.VotedFor, r.changed = term, "", true
	}
	if r.leader != leader {
		r.received = nil
	}
	// Entries beyond the commit index may conflict with the new leader's.
	r.matched = r.log.commit
	r.role, r.leader = Follower, leader
	r.votes, r.progress, r.transferTo = nil, nil, ""
	r.reads, r.earlyReads, r.askQuorum = nil, nil, false
	r.uncommitted = 0
	r.resetElection(now)
}

// resetElection draws the time of the next campaign.
func (r *Replica) resetElection(now time.Time) {
	t := r.settings.ElectionTimeout
	r.deadline = now.Add(t + time.Duration(r.random.Int64N(int64(t))))
}

// firstElection is the part of the election timeout within which a replica
// that has just started asks for votes, as one in so many: it has heard no
// leader that an early question could disturb, and after a loss of power all
// members wait for each other.
const firstElection = 2

// startElection sets the first campaign of a replica that has just started.
func (r *Replica) startElection(now time.Time) {
	t := r.settings.ElectionTimeout / firstElection
	r.deadline = now.Add(t/firstElection + time.Duration(r.random.Int64N(int64(t))))
}

// hearsLeader reports whether a leader of this term was heard within the
// shortest election timeout. It only keeps elections from disturbing; no
// answer relies on it.
func (r *Replica) hearsLeader(now time.Time) bool {
	return r.role == Leader || r.leader != "" && now.Before(r.heard.Add(r.settings.ElectionTimeout))
}
