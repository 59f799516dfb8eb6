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

// Settings are the bounds and times of a replica. NewSettings returns values
// that work between regions 20 ms apart.
type Settings struct {
	// ElectionTimeout is how long a follower hears nothing before it may
	// campaign, and how long a leader leads without hearing from a quorum.
	// Each wait is between one and two timeouts.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often a leader shows that it is alive.
	HeartbeatInterval time.Duration
	// MaxMessageBytes bounds the entries in one message, and the part of a
	// snapshot in one message. A single entry is sent whatever its size.
	MaxMessageBytes int
	// MaxInflight bounds the messages with entries that are sent to one member
	// ahead of its answers.
	MaxInflight int
	// MaxUncommitted bounds the bytes of commands that are not committed yet.
	MaxUncommitted int
	// MaxCommandBytes bounds one command.
	MaxCommandBytes int
	// MaxReads bounds the reads waiting for confirmation.
	MaxReads int
	// TrailingEntries are kept in memory behind a snapshot, so that a member
	// that is a little behind needs no snapshot.
	TrailingEntries int
	// SnapshotEvery is how many applied entries lie between snapshots.
	SnapshotEvery int
	// MaxBatch bounds the proposals that share one sync.
	MaxBatch int
	// MaxVoters is how many members vote; further ones stay learners. 0 for no
	// bound.
	MaxVoters int
}

// NewSettings returns the default settings.
func NewSettings() Settings {
	return Settings{
		// 15 round trips between regions, so that one slow sync or a lost
		// heartbeat starts no election.
		ElectionTimeout:   600 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond,
		// Half the largest frame of a link.
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

// WithElection returns a copy with other times.
func (s Settings) WithElection(timeout, heartbeat time.Duration) Settings {
	s.ElectionTimeout, s.HeartbeatInterval = timeout, heartbeat
	return s
}

// WithSnapshots returns a copy that takes a snapshot every n applied entries
// and keeps trailing entries behind it.
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

// check names the first setting that can't work.
func (s Settings) check() error {
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

// Self says who a replica is.
type Self struct {
	// ID is the member name.
	ID string
	// Address is where other members reach it.
	Address string
	// Storage is the identity of its data folder.
	Storage string
}

// State is what a replica finds on its disk.
type State struct {
	HardState *wasabistandv1.HardState
	Snapshot  *wasabistandv1.LogSnapshot
	Entries   []*wasabistandv1.LogEntry
}

// Bootstrap returns the first state of a new group with the given voters.
// Each member must start with the same list, on a disk on which the group
// never existed, and only once under its name.
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

// maxMembers bounds a group. Seven instances are set aside for control; the
// rest leaves room for replacing members one by one.
const maxMembers = 9

// Random is the source of random numbers of a replica.
type Random = *rand.Rand
