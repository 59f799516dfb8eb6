// Package wasabiraft implements the Raft consensus algorithm: it replicates a
// log among the members of a group. Replica is the protocol state machine. It
// is deterministic: it starts no goroutine, reads no clock and does no I/O.
// Runner drives a Replica with a disk, a transport and an application state
// machine. Callers define the commands and discover the members.
package wasabiraft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Ready holds the pending work for the owner of a replica. The owner must, in
// this order: send BeforeSync; sync Snapshot, HardState and Entries to disk;
// call Synced; send AfterSync; restore the state machine from Snapshot; apply
// Committed; complete Reads. Between Ready and Synced the owner must not call
// any other method of the replica.
type Ready struct {
	// BeforeSync holds messages that may be sent before the sync.
	BeforeSync []*wasabistandv1.GroupMessage
	// AfterSync holds messages that depend on data of this Ready. They must not
	// be sent until it is synced.
	AfterSync []*wasabistandv1.GroupMessage
	// Snapshot replaces the state machine and the log if it is not nil.
	Snapshot *wasabistandv1.LogSnapshot
	// HardState is nil if it needs no sync.
	HardState *wasabistandv1.HardState
	// Entries are to be written to the log. They replace all entries from the
	// index of the first one.
	Entries []*wasabistandv1.LogEntry
	// Committed holds committed and synced entries to apply.
	Committed []*wasabistandv1.LogEntry
	// Reads may be served once their index is applied.
	Reads []Read
}

// Empty reports whether r contains no work.
func (r Ready) Empty() bool {
	return len(r.BeforeSync) == 0 && len(r.AfterSync) == 0 && r.Snapshot == nil && r.HardState == nil &&
		len(r.Entries) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Read is a confirmed read. Every entry that was committed when the read was
// requested has an index of at most Index.
type Read struct {
	ID    uint64
	Index uint64
}

// Replica is the Raft state of one member of a group. It is not safe for
// concurrent use.
type Replica struct {
	self     Self
	settings Settings
	random   Random

	role             Role
	hardState        *wasabistandv1.HardState // term, vote and flags; the commit index is kept in log
	hardStateChanged bool                     // hardState must be synced
	leader           string
	log              memoryLog
	memberLists      []memberList // oldest first; the last one is active
	snapshot         *snapshot    // latest, nil if there is none
	pendingInstall   *snapshot    // to be returned by the next Ready
	incomingSnapshot *snapshot    // the parts received so far

	// matchedIndex is the highest index up to which the log is known to agree
	// with the log of this term's leader.
	matchedIndex      uint64
	lastLeaderContact time.Time // last message from the leader of this term
	lastLeader        string    // the sender of that message, empty if there was none
	electionDeadline  time.Time // next campaign, or the next quorum check of a leader
	nextHeartbeat     time.Time // next heartbeat of a leader
	votes             map[string]bool
	progress          map[string]*progress
	addresses         map[string]string // of senders that are not in the member list

	transferTo       string
	transferDeadline time.Time
	uncommittedBytes int

	readSequence       uint64
	reads              []pendingRead
	deferredReads      []pendingRead
	heartbeatRequested bool // send heartbeats with the latest readSequence to all members

	beforeSync     []*message
	afterSync      []*message
	confirmedReads []Read

	unsafe unsafeBehavior
}

// unsafeBehavior enables behavior that violates a safety rule of the protocol.
// It is set only by tests, which verify that their checks detect the violations.
type unsafeBehavior struct {
	voteBeforeSync   bool
	countAnyStorage  bool
	readUnconfirmed  bool
	commitOlderTerms bool
}

// New returns a replica that resumes from the state on its disk. A replica
// with an empty state waits until a leader adds it to the group.
func New(self Self, s Settings, state State, random Random, now time.Time) (*Replica, error) {
	if self.ID == "" || self.Storage == "" {
		return nil, Error.New("member name %q, storage identity %q: must not be empty", self.ID, self.Storage)
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	r := &Replica{
		self: self, settings: s, random: random,
		hardState: &wasabistandv1.HardState{},
		snapshot:  state.Snapshot,
		addresses: map[string]string{},
	}
	if state.HardState != nil {
		r.hardState = proto.CloneOf(state.HardState)
	}
	if n := state.Snapshot; n != nil {
		r.log.reset(n.GetIndex(), n.GetTerm())
		r.memberLists = []memberList{{index: n.GetIndex(), list: n.GetMembers()}}
	} else {
		r.memberLists = []memberList{{list: &members{}}}
	}
	for i, e := range state.Entries {
		if e.GetIndex() != r.log.baseIndex+uint64(i)+1 {
			return nil, Error.New("log entry %d follows index %d: indexes must be consecutive", e.GetIndex(), r.log.baseIndex+uint64(i))
		}
		if err := r.recordMemberList(e); err != nil {
			return nil, err
		}
	}
	r.log.append(state.Entries...)
	r.log.syncing, r.log.synced = r.log.lastIndex(), r.log.lastIndex()
	r.log.commit = max(r.log.commit, min(r.hardState.GetCommitIndex(), r.log.lastIndex()))
	r.setFirstElectionDeadline(now)
	return r, nil
}

// Tick runs the timers that are due. It should be called at the time that
// NextTick returns.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionDeadline) {
		return
	}
	if r.canCampaign() {
		r.campaign(now, false)
	} else {
		// The leader has been silent for an election timeout. A later one sends
		// nothing to a member whose addition was lost, which must ask to join again.
		r.leader = ""
		r.resetElectionDeadline(now)
	}
}

// NextTick returns the time at which Tick should be called next.
func (r *Replica) NextTick() time.Time {
	if r.role == Leader && r.nextHeartbeat.Before(r.electionDeadline) {
		return r.nextHeartbeat
	}
	return r.electionDeadline
}

// Ready returns the pending work and clears it.
func (r *Replica) Ready() Ready {
	if r.role == Leader {
		r.replicate()
	}
	r.recordAdmission()
	d := Ready{Snapshot: r.pendingInstall, Reads: r.confirmedReads}
	r.pendingInstall, r.confirmedReads = nil, nil
	if r.log.syncing < r.log.lastIndex() {
		d.Entries = r.log.entriesFrom(r.log.syncing+1, r.log.lastIndex(), int(^uint(0)>>1))
		r.log.syncing = r.log.lastIndex()
	}
	if r.hardStateChanged || len(d.Entries) > 0 || d.Snapshot != nil {
		r.hardStateChanged = false
		d.HardState = proto.CloneOf(r.hardState)
		d.HardState.CommitIndex = r.log.commit
	}
	if to := min(r.log.commit, r.log.synced); to > r.log.applied {
		d.Committed = r.log.entriesFrom(r.log.applied+1, to, r.settings.MaxMessageBytes*8)
		r.log.applied += uint64(len(d.Committed))
	}
	d.BeforeSync, d.AfterSync = r.beforeSync, r.afterSync
	r.beforeSync, r.afterSync = nil, nil
	return d
}

// Synced records that everything returned by Ready is synced to disk.
func (r *Replica) Synced(now time.Time) {
	r.log.synced = r.log.syncing
	if r.role == Leader {
		r.updateOwnProgress()
		r.advanceCommit(now)
	}
}

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.GetTerm() }

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the name and address of the leader, empty if unknown.
func (r *Replica) Leader() (id, address string) { return r.leader, r.AddressOf(r.leader) }

// AddressOf returns the address of a member, empty if unknown.
func (r *Replica) AddressOf(id string) string {
	if m := findMember(r.currentMembers(), id); m != nil {
		return m.GetAddress()
	}
	return r.addresses[id]
}

// Members returns a copy of the active member list.
func (r *Replica) Members() *wasabistandv1.Members { return proto.CloneOf(r.currentMembers()) }

// String returns the name of the implementation.
func (r *Replica) String() string { return "raft" }

func (r *Replica) currentMembers() *members { return r.memberLists[len(r.memberLists)-1].list }

// recordMemberList records the member list of an entry that is added to the
// log. It ignores entries of other kinds.
func (r *Replica) recordMemberList(e *entry) error {
	if e.GetKind() != wasabistandv1.LogEntry_KIND_MEMBERS {
		return nil
	}
	m, err := unmarshalMembers(e.GetData())
	if err != nil {
		return err
	}
	r.memberLists = append(r.memberLists, memberList{index: e.GetIndex(), list: m})
	return nil
}

// recordAdmission records in the hard state that a committed member list
// contains this disk. An uncommitted list may be lost; this disk would then
// still have to join.
func (r *Replica) recordAdmission() {
	if r.hardState.GetAdmitted() {
		return
	}
	for _, l := range r.memberLists {
		if l.index <= r.log.commit && findMember(l.list, r.self.ID).GetStorage() == r.self.Storage {
			r.hardState.Admitted, r.hardStateChanged = true, true
		}
	}
}

// truncateMemberLists drops the member lists from index i on.
func (r *Replica) truncateMemberLists(i uint64) {
	for len(r.memberLists) > 1 && r.memberLists[len(r.memberLists)-1].index >= i {
		r.memberLists = r.memberLists[:len(r.memberLists)-1]
	}
}

// isMemberStorage reports whether storage identifies the disk that holds m's
// membership. The name is not enough, since a replaced disk has the same name.
func (r *Replica) isMemberStorage(m *member, storage string, bootstrapped bool) bool {
	switch {
	case m == nil:
		return false
	case r.unsafe.countAnyStorage:
		return true
	case m.GetStorage() == "":
		// The identity is not recorded yet. A voter of the initial list is
		// identified by the disk that was bootstrapped. A member that was
		// added later has no valid disk yet.
		return bootstrapped && m.GetVoter()
	default:
		return m.GetStorage() == storage
	}
}

func (r *Replica) isSelfMember() bool {
	return r.isMemberStorage(findMember(r.currentMembers(), r.self.ID), r.self.Storage, r.hardState.GetBootstrapped())
}

// canCampaign reports whether this disk is a voter in the latest committed
// member list or a newer one. A replica that the newest list removes may have
// the only log that contains this list and can win an election, so it
// campaigns, without a vote of its own, until the list is committed.
func (r *Replica) canCampaign() bool {
	for i, l := range r.memberLists {
		if i < len(r.memberLists)-1 && r.memberLists[i+1].index <= r.log.commit {
			continue
		}
		m := findMember(l.list, r.self.ID)
		if m.GetVoter() && r.isMemberStorage(m, r.self.Storage, r.hardState.GetBootstrapped()) {
			return true
		}
	}
	return false
}

func (r *Replica) voterCount() (n int) {
	for _, m := range r.currentMembers().GetMembers() {
		if m.GetVoter() {
			n++
		}
	}
	return n
}

// hasQuorum reports whether f returns true for a majority of the voters.
func (r *Replica) hasQuorum(f func(m *member) bool) bool {
	n := 0
	for _, m := range r.currentMembers().GetMembers() {
		if m.GetVoter() && f(m) {
			n++
		}
	}
	return n > r.voterCount()/2
}

// quorumValue returns the highest value that a majority of the voters has
// reached.
func (r *Replica) quorumValue(f func(m *member) uint64) uint64 {
	values := make([]uint64, 0, maxMembers)
	for _, m := range r.currentMembers().GetMembers() {
		if m.GetVoter() {
			values = append(values, f(m))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// make returns a message from this replica with its current term.
func (r *Replica) make(kind wasabistandv1.GroupMessage_Kind, to string) *message {
	return &message{
		Kind: kind, From: r.self.ID, FromStorage: r.self.Storage, FromAddress: r.self.Address,
		FromBootstrapped: r.hardState.GetBootstrapped(),
		FromJoining:      !r.hardState.GetBootstrapped() && !r.hardState.GetAdmitted(),
		To:               to, Term: r.hardState.GetTerm(),
	}
}

func (r *Replica) sendBeforeSync(m *message) { r.beforeSync = append(r.beforeSync, m) }
func (r *Replica) sendAfterSync(m *message)  { r.afterSync = append(r.afterSync, m) }
