package wasabiraft

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Error is the class of this package's errors.
var Error = errs.Class("raft")

type (
	message  = wasabistandv1.GroupMessage
	entry    = wasabistandv1.LogEntry
	member   = wasabistandv1.Member
	members  = wasabistandv1.Members
	snapshot = wasabistandv1.LogSnapshot
)

// Settings holds the limits and timeouts of a replica. The defaults of
// NewSettings suit regions with a latency of 20 ms between them.
type Settings struct {
	// ElectionTimeout is the time without messages from the leader after which
	// a follower may campaign, and the time without responses from a quorum
	// after which a leader steps down. Each wait is between one and two
	// timeouts; that of a follower is random.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// MaxMessageBytes limits the size of the entries, or of the snapshot part,
	// in one message. A single entry is sent regardless of its size.
	MaxMessageBytes int
	// MaxInflight limits the unacknowledged messages with entries per member.
	MaxInflight int
	// MaxUncommitted limits the bytes of commands that are not committed yet.
	MaxUncommitted int
	// MaxCommandBytes limits the size of one command.
	MaxCommandBytes int
	// MaxReads limits the reads that wait for confirmation.
	MaxReads int
	// TrailingEntries is the number of entries before a snapshot that are kept
	// in memory, so that a member that lags slightly needs no snapshot.
	TrailingEntries int
	// SnapshotEvery is the number of applied entries between snapshots.
	SnapshotEvery int
	// MaxBatch limits the proposals that share one sync.
	MaxBatch int
	// MaxVoters limits the number of voters; further members remain learners. 0
	// means no limit.
	MaxVoters int
	// TargetVoters is the number of voters from which on a silent voter must be removed
	// before another member is promoted if that would raise the majority. 0 means that
	// no removal is awaited.
	TargetVoters int
}

// NewSettings returns the default settings.
func NewSettings() Settings {
	return Settings{
		// 15 round trips between regions, so that one slow sync or one lost
		// heartbeat does not start an election.
		ElectionTimeout:   600 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond,
		// Half the maximum frame size of a link.
		MaxMessageBytes: 1 << 20,
		MaxInflight:     64,
		MaxUncommitted:  64 << 20,
		MaxCommandBytes: 1 << 20,
		MaxReads:        4096,
		TrailingEntries: 4096,
		SnapshotEvery:   50_000,
		MaxBatch:        1024,
	}
}

// WithElection returns a copy with the given election timeout and heartbeat
// interval.
func (s Settings) WithElection(timeout, heartbeat time.Duration) Settings {
	s.ElectionTimeout, s.HeartbeatInterval = timeout, heartbeat
	return s
}

// WithSnapshots returns a copy that takes a snapshot every n applied entries
// and keeps the given number of trailing entries in memory.
func (s Settings) WithSnapshots(n, trailing int) Settings {
	s.SnapshotEvery, s.TrailingEntries = n, trailing
	return s
}

// WithMaxBatch returns a copy that lets at most n proposals share one sync.
func (s Settings) WithMaxBatch(n int) Settings {
	s.MaxBatch = n
	return s
}

// WithMaxVoters returns a copy that lets at most n members vote.
func (s Settings) WithMaxVoters(n int) Settings {
	s.MaxVoters = n
	return s
}

// WithTargetVoters returns a copy that awaits the removal of silent voters from n voters
// on.
func (s Settings) WithTargetVoters(n int) Settings {
	s.TargetVoters = n
	return s
}

// validate returns an error for the first invalid setting.
func (s Settings) validate() error {
	positive := []struct {
		name  string
		value int64
	}{
		{"HeartbeatInterval", int64(s.HeartbeatInterval)}, {"MaxMessageBytes", int64(s.MaxMessageBytes)},
		{"MaxInflight", int64(s.MaxInflight)}, {"MaxUncommitted", int64(s.MaxUncommitted)},
		{"MaxCommandBytes", int64(s.MaxCommandBytes)}, {"MaxReads", int64(s.MaxReads)},
		{"SnapshotEvery", int64(s.SnapshotEvery)}, {"MaxBatch", int64(s.MaxBatch)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return wasabistand.ErrInvalid.New("%s is %d: must be positive", p.name, p.value)
		}
	}
	if s.ElectionTimeout < 2*s.HeartbeatInterval {
		return wasabistand.ErrInvalid.New("ElectionTimeout is %v: must be at least twice HeartbeatInterval %v",
			s.ElectionTimeout, s.HeartbeatInterval)
	}
	if s.TrailingEntries < 0 {
		return wasabistand.ErrInvalid.New("TrailingEntries is %d: must not be negative", s.TrailingEntries)
	}
	return nil
}

// Self identifies a replica.
type Self struct {
	// ID is the member name.
	ID string
	// Address is the address at which other members reach it.
	Address string
	// Storage is the identity of its data folder.
	Storage string
}

// State is the state of a replica as read from its disk.
type State struct {
	HardState *wasabistandv1.HardState
	Snapshot  *wasabistandv1.LogSnapshot
	Entries   []*wasabistandv1.LogEntry
}

// Bootstrap returns the initial state of a new group with the given voters.
// Each member must start with the same list and an empty disk, that is, one on
// which the group never existed. A member name must be bootstrapped only once.
func Bootstrap(list []*wasabistandv1.Member) (State, error) {
	first := &members{}
	seen := map[string]bool{}
	for _, m := range list {
		if m.GetId() == "" || m.GetAddress() == "" || seen[m.GetId()] {
			return State{}, wasabistand.ErrInvalid.New("member %q at %q: names must be unique and addresses not empty", m.GetId(), m.GetAddress())
		}
		seen[m.GetId()] = true
		first.Members = append(first.Members, &member{Id: m.GetId(), Address: m.GetAddress(), Voter: true})
	}
	if len(list) == 0 || len(list) > maxMembers {
		return State{}, wasabistand.ErrInvalid.New("%d members: allowed are 1 to %d", len(list), maxMembers)
	}
	data, err := marshalMembers(first)
	if err != nil {
		return State{}, err
	}
	return State{
		HardState: &wasabistandv1.HardState{Term: 1, CommitIndex: 1, Bootstrapped: true},
		Entries:   []*wasabistandv1.LogEntry{{Index: 1, Term: 1, Kind: wasabistandv1.LogEntry_KIND_MEMBERS, Data: data}},
	}, nil
}

// maxMembers limits the members of a group. A cluster has at most seven control
// instances; the other two places allow members to be replaced one at a time.
const maxMembers = 9

// Random is the source of random numbers of a replica.
type Random = *rand.Rand
