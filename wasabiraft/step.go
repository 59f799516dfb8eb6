package wasabiraft

import (
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// maxAddresses limits the stored addresses of senders that are not in the
// member list.
const maxAddresses = 16

// Step handles a message from another member. It drops messages that are
// malformed or addressed to another member.
func (r *Replica) Step(now time.Time, m *wasabistandv1.GroupMessage) {
	if m.GetTo() != r.self.ID || m.GetFrom() == r.self.ID || m.GetFrom() == "" || m.GetFromStorage() == "" {
		return
	}
	r.recordAddress(m)
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_READ:
		r.stepRead(m)
		return
	case wasabistandv1.GroupMessage_KIND_READ_RESPONSE:
		r.confirmedReads = append(r.confirmedReads, Read{ID: m.GetReadSequence(), Index: m.GetCommitIndex()})
		return
	case wasabistandv1.GroupMessage_KIND_PRE_VOTE:
		r.stepPreVote(now, m)
		return
	}
	if m.GetTerm() > r.Term() && !r.handleHigherTerm(now, m) {
		return
	}
	if m.GetTerm() < r.Term() {
		r.rejectStaleTerm(m)
		return
	}
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_PRE_VOTE_RESPONSE:
		// A rejection. Only its term matters, which was handled above.
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
		if r.role != Leader && r.canCampaign() {
			r.campaign(now, true)
		}
	}
}

// handleHigherTerm handles the term of a message with a higher term, usually by
// becoming a follower in it. It returns false if the message needs no further
// handling.
func (r *Replica) handleHigherTerm(now time.Time, m *message) bool {
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_PRE_VOTE_RESPONSE:
		if !m.GetRejected() {
			// Pre-votes are granted for the next term, so this replica stays
			// in its term.
			r.stepPreVoteResponse(now, m)
			return false
		}
	case wasabistandv1.GroupMessage_KIND_VOTE:
		// A member that was partitioned must not disturb an active leader.
		if r.hasActiveLeader(now) && !m.GetTransfer() {
			return false
		}
	}
	r.becomeFollower(now, m.GetTerm(), "")
	return true
}

// rejectStaleTerm rejects a message of an older term, so that the sender
// receives the current one.
func (r *Replica) rejectStaleTerm(m *message) {
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

func (r *Replica) recordAddress(m *message) {
	if m.GetFromAddress() == "" || findMember(r.currentMembers(), m.GetFrom()) != nil {
		return
	}
	if _, ok := r.addresses[m.GetFrom()]; !ok && len(r.addresses) >= maxAddresses {
		clear(r.addresses)
	}
	r.addresses[m.GetFrom()] = m.GetFromAddress()
}

// stepFromLeader handles a message from the leader of this term. It does not
// check the leader's storage identity: the voters did so in the election, and
// this replica's member list may be older than the election.
func (r *Replica) stepFromLeader(now time.Time, m *message) {
	if r.role == Leader {
		return
	}
	if r.role != Follower || r.leader != m.GetFrom() {
		r.becomeFollower(now, r.Term(), m.GetFrom())
	}
	r.lastLeader, r.lastLeaderContact = m.GetFrom(), now
	r.resetElectionDeadline(now)
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_APPEND:
		r.stepAppend(now, m)
	case wasabistandv1.GroupMessage_KIND_SNAPSHOT:
		r.stepSnapshot(m)
	case wasabistandv1.GroupMessage_KIND_HEARTBEAT:
		r.log.commit = max(r.log.commit, min(m.GetCommitIndex(), r.matchedIndex))
		a := r.make(wasabistandv1.GroupMessage_KIND_HEARTBEAT_RESPONSE, m.GetFrom())
		a.ReadSequence = m.GetReadSequence()
		if r.hardStateChanged {
			r.sendAfterSync(a)
		} else {
			// The response says that this replica was in the leader's term, which is
			// on disk, and nothing of the log. Reads would wait for the sync of entries.
			r.sendBeforeSync(a)
		}
	}
}

// becomeFollower makes this replica a follower in the given term.
func (r *Replica) becomeFollower(now time.Time, term uint64, leader string) {
	if term > r.Term() {
		r.hardState.Term, r.hardState.VotedFor, r.hardStateChanged = term, "", true
	}
	if r.leader != leader {
		r.incomingSnapshot = nil
	}
	// Entries after the commit index may conflict with the new leader's log.
	r.matchedIndex = r.log.commit
	r.role, r.leader = Follower, leader
	r.votes, r.progress, r.transferTo = nil, nil, ""
	r.reads, r.deferredReads, r.heartbeatRequested = nil, nil, false
	r.uncommittedBytes = 0
	r.resetElectionDeadline(now)
}

// resetElectionDeadline schedules the next campaign at a random time between
// one and two election timeouts from now.
func (r *Replica) resetElectionDeadline(now time.Time) {
	t := r.settings.ElectionTimeout
	r.electionDeadline = now.Add(t + time.Duration(r.random.Int64N(int64(t))))
}

// firstElectionDivisor shortens the election timeout of a replica that has just
// started. It has no leader that an early pre-vote could disturb, and after a
// power loss all members would otherwise wait for each other.
const firstElectionDivisor = 2

// setFirstElectionDeadline schedules the first campaign of a replica that has
// just started.
func (r *Replica) setFirstElectionDeadline(now time.Time) {
	t := r.settings.ElectionTimeout / firstElectionDivisor
	r.electionDeadline = now.Add(t/firstElectionDivisor + time.Duration(r.random.Int64N(int64(t))))
}

// hasActiveLeader reports whether the leader of this term sent a message within
// the minimum election timeout. It is used only to prevent disruptive
// elections; safety does not depend on it.
func (r *Replica) hasActiveLeader(now time.Time) bool {
	return r.role == Leader || r.leader != "" && now.Before(r.lastLeaderContact.Add(r.settings.ElectionTimeout))
}
