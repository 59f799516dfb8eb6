// Package wasabiraft replicates a log among the members of a group. Replica
// decides: it is pure, and starts no goroutine, reads no clock and does no
// I/O. Runner drives a Replica with a disk, a transport and a state machine.
// What a command means, and how members are found, is decided elsewhere.
package wasabiraft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Role is what a replica does in its term.
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

// Ready is what the owner of a replica has to do, in this order: send Now;
// sync Snapshot, HardState and Entries; call Synced; send AfterSync; install
// Snapshot in the state machine; apply Committed; answer Reads. Between Ready
// and Synced the replica accepts no other call.
type Ready struct {
	// Now are messages that may go before the sync.
	Now []*wasabistandv1.GroupMessage
	// AfterSync are messages that promise what is synced with this Ready.
	AfterSync []*wasabistandv1.GroupMessage
	// Snapshot replaces state machine and log when set.
	Snapshot *wasabistandv1.LogSnapshot
	// HardState is nil when nothing in it must be synced.
	HardState *wasabistandv1.HardState
	// Entries replace those in the log from the first one's index on.
	Entries []*wasabistandv1.LogEntry
	// Committed are synced entries to apply.
	Committed []*wasabistandv1.LogEntry
	// Reads may be answered once their index is applied.
	Reads []Read
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return len(r.Now) == 0 && len(r.AfterSync) == 0 && r.Snapshot == nil && r.HardState == nil &&
		len(r.Entries) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Read is a confirmed read: everything that was committed when it was asked
// for has at most this index.
type Read struct {
	ID    uint64
	Index uint64
}

// Replica is one member of a group. It is not safe for concurrent use.
type Replica struct {
	self     Self
	settings Settings
	random   Random

	role     Role
	hard     *wasabistandv1.HardState // term, vote and flags; the commit index is in log
	changed  bool                     // hard must be synced
	leader   string
	log      memoryLog
	lists    []memberList // oldest first; the last one is in force
	snapshot *snapshot    // latest, nil for none
	install  *snapshot    // to be handed out
	received *snapshot    // parts of a snapshot on its way

	// matched is how far the log is known to be that of this term's leader.
	matched   uint64
	heard     time.Time // when the leader of this term was last heard
	deadline  time.Time // next campaign, or next quorum check of a leader
	beat      time.Time // next heartbeat of a leader
	votes     map[string]bool
	progress  map[string]*progress
	addresses map[string]string // of senders that are in no member list

	transferTo    string
	transferUntil time.Time
	uncommitted   int

	readSequence uint64
	reads        []pendingRead
	earlyReads   []pendingRead
	askQuorum    bool // send heartbeats with the latest readSequence

	now       []*message
	afterSync []*message
	confirmed []Read

	broken brokenRules
}

// brokenRules switches safety rules off. Only tests set it, to show that
// their checks find the damage.
type brokenRules struct {
	voteBeforeSync   bool
	countAnyStorage  bool
	readUnconfirmed  bool
	commitOlderTerms bool
}

// New returns a replica that continues from what its disk holds. An empty
// state joins a group: it waits for a leader.
func New(self Self, s Settings, state State, random Random, now time.Time) (*Replica, error) {
	if self.ID == "" || self.Storage == "" {
		return nil, Error.New("member name %q, storage identity %q: must not be empty", self.ID, self.Storage)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Replica{
		self: self, settings: s, random: random,
		hard:      &wasabistandv1.HardState{},
		snapshot:  state.Snapshot,
		addresses: map[string]string{},
	}
	if state.HardState != nil {
		r.hard = proto.CloneOf(state.HardState)
	}
	if n := state.Snapshot; n != nil {
		r.log.reset(n.GetIndex(), n.GetTerm())
		r.lists = []memberList{{index: n.GetIndex(), list: n.GetMembers()}}
	} else {
		r.lists = []memberList{{list: &members{}}}
	}
	for i, e := range state.Entries {
		if e.GetIndex() != r.log.base+uint64(i)+1 {
			return nil, Error.New("entry %d follows index %d", e.GetIndex(), r.log.base+uint64(i))
		}
		if err := r.noteMembers(e); err != nil {
			return nil, err
		}
	}
	r.log.append(state.Entries...)
	r.log.saved, r.log.synced = r.log.last(), r.log.last()
	r.log.commit = max(r.log.commit, min(r.hard.GetCommitIndex(), r.log.last()))
	r.startElection(now)
	return r, nil
}

// Tick acts on the passing of time. It should be called at Next.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.deadline) {
		return
	}
	if r.mayLead() {
		r.campaign(now, false)
	} else {
		r.resetElection(now)
	}
}

// Next returns when Tick should be called next.
func (r *Replica) Next() time.Time {
	if r.role == Leader && r.beat.Before(r.deadline) {
		return r.beat
	}
	return r.deadline
}

// Ready returns what is to be done and forgets it.
func (r *Replica) Ready() Ready {
	if r.role == Leader {
		r.replicate()
	}
	r.noteAdmission()
	d := Ready{Snapshot: r.install, Reads: r.confirmed}
	r.install, r.confirmed = nil, nil
	if r.log.saved < r.log.last() {
		d.Entries = r.log.from(r.log.saved+1, r.log.last(), int(^uint(0)>>1))
		r.log.saved = r.log.last()
	}
	if r.changed || len(d.Entries) > 0 || d.Snapshot != nil {
		r.changed = false
		d.HardState = proto.CloneOf(r.hard)
		d.HardState.CommitIndex = r.log.commit
	}
	if to := min(r.log.commit, r.log.synced); to > r.log.applied {
		d.Committed = r.log.from(r.log.applied+1, to, r.settings.MaxMessageBytes*8)
		r.log.applied += uint64(len(d.Committed))
	}
	d.Now, d.AfterSync = r.now, r.afterSync
	r.now, r.afterSync = nil, nil
	return d
}

// Synced records that the disk holds all that Ready returned.
func (r *Replica) Synced(now time.Time) {
	r.log.synced = r.log.saved
	if r.role == Leader {
		r.ownProgress()
		r.advanceCommit(now)
	}
}

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hard.GetTerm() }

// Role returns what the replica does.
func (r *Replica) Role() Role { return r.role }

// Leader returns the name and address of the leader, as far as known.
func (r *Replica) Leader() (id, address string) { return r.leader, r.AddressOf(r.leader) }

// AddressOf returns where a member is reached, empty when unknown.
func (r *Replica) AddressOf(id string) string {
	if m := findMember(r.current(), id); m != nil {
		return m.GetAddress()
	}
	return r.addresses[id]
}

// Members returns the member list in force.
func (r *Replica) Members() *wasabistandv1.Members { return proto.CloneOf(r.current()) }

// String names the implementation.
func (r *Replica) String() string { return "raft" }

func (r *Replica) current() *members { return r.lists[len(r.lists)-1].list }

// noteMembers keeps the member list of an entry that joins the log.
func (r *Replica) noteMembers(e *entry) error {
	if e.GetKind() != wasabistandv1.LogEntry_KIND_MEMBERS {
		return nil
	}
	m, err := unmarshalMembers(e.GetData())
	if err != nil {
		return err
	}
	r.lists = append(r.lists, memberList{index: e.GetIndex(), list: m})
	return nil
}

// noteAdmission remembers that a committed member list named this disk. One
// that is not committed may be lost, and then this disk still has to join.
func (r *Replica) noteAdmission() {
	if r.hard.GetAdmitted() {
		return
	}
	for _, l := range r.lists {
		if l.index <= r.log.commit && findMember(l.list, r.self.ID).GetStorage() == r.self.Storage {
			r.hard.Admitted, r.changed = true, true
		}
	}
}

// dropMembers forgets member lists from index i on.
func (r *Replica) dropMembers(i uint64) {
	for len(r.lists) > 1 && r.lists[len(r.lists)-1].index >= i {
		r.lists = r.lists[:len(r.lists)-1]
	}
}

// counts reports whether storage is the one that counts under m's name.
func (r *Replica) counts(m *member, storage string, bootstrapped bool) bool {
	switch {
	case m == nil:
		return false
	case r.broken.countAnyStorage:
		return true
	case m.GetStorage() == "":
		// Not recorded yet: for a voter of the first list, the disk that wrote
		// the first state is meant. For a member that was added, none is.
		return bootstrapped && m.GetVoter()
	default:
		return m.GetStorage() == storage
	}
}

func (r *Replica) countsSelf() bool {
	return r.counts(findMember(r.current(), r.self.ID), r.self.Storage, r.hard.GetBootstrapped())
}

// mayLead reports whether this disk is a voter in the latest committed list or
// a newer one. A replica that the newest list removes may hold the only copy of
// that list that can win an election, so it campaigns, without a vote of its
// own, until the list is committed.
func (r *Replica) mayLead() bool {
	for i, l := range r.lists {
		if i < len(r.lists)-1 && r.lists[i+1].index <= r.log.commit {
			continue
		}
		m := findMember(l.list, r.self.ID)
		if m.GetVoter() && r.counts(m, r.self.Storage, r.hard.GetBootstrapped()) {
			return true
		}
	}
	return false
}

func (r *Replica) voters() (n int) {
	for _, m := range r.current().GetMembers() {
		if m.GetVoter() {
			n++
		}
	}
	return n
}

// quorum reports whether the voters for which f holds are a majority.
func (r *Replica) quorum(f func(m *member) bool) bool {
	n := 0
	for _, m := range r.current().GetMembers() {
		if m.GetVoter() && f(m) {
			n++
		}
	}
	return n > r.voters()/2
}

// quorumValue returns the highest value that a majority of voters reached.
func (r *Replica) quorumValue(f func(m *member) uint64) uint64 {
	values := make([]uint64, 0, maxMembers)
	for _, m := range r.current().GetMembers() {
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

// make returns a message from this replica in its term.
func (r *Replica) make(kind wasabistandv1.GroupMessage_Kind, to string) *message {
	return &message{
		Kind: kind, From: r.self.ID, FromStorage: r.self.Storage, FromAddress: r.self.Address,
		FromBootstrapped: r.hard.GetBootstrapped(),
		FromJoining:      !r.hard.GetBootstrapped() && !r.hard.GetAdmitted(),
		To:               to, Term: r.hard.GetTerm(),
	}
}

func (r *Replica) sendNow(m *message)       { r.now = append(r.now, m) }
func (r *Replica) sendAfterSync(m *message) { r.afterSync = append(r.afterSync, m) }
