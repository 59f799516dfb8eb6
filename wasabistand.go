// Package wasabistand defines the parts of an overload control layer for
// service call graphs: small interfaces and the values that pass between
// them. It decides nothing itself; implementations stand in the folders
// below, and each can be embedded without the daemons.
//
// Decision parts are state machines. They take the current time and an event
// and return what to do; they start no goroutine, read no clock and do no
// I/O. Unless a doc comment says otherwise they are not safe for concurrent
// use and their owner serializes calls.
package wasabistand

import (
	"context"
	"time"
)

// Admission decides which calls one upstream runs, which wait and which are
// refused. The package wasabiadmission implements it.
type Admission interface {
	// Offer asks to run a call. The decisions concern this call and any
	// waiting call that it displaces; no decision about the call means that
	// it waits.
	Offer(now time.Time, t Ticket) []Decision
	// Done frees the slot of an admitted call and returns calls that may
	// now run or are refused. service is how long the call ran.
	Done(now time.Time, id TicketID, service time.Duration) []Decision
	// Cancel removes a waiting call, or frees the slot of an admitted one.
	Cancel(now time.Time, id TicketID) []Decision
	// SetLimit changes how many calls may run at once, at least 1.
	SetLimit(now time.Time, limit int) []Decision
	// Tick refuses waiting calls whose patience ran out and lowers the level.
	Tick(now time.Time) []Decision
	// Next returns when Tick should be called next, zero for never.
	Next() time.Time
	// Load returns the level and the occupancy.
	Load() Load
	String() string
}

// Limiter finds how many calls one upstream runs well at once. The package
// wasabilimit implements it.
type Limiter interface {
	// Observe records one finished call and returns the limit to apply.
	Observe(now time.Time, s Sample) int
	// Report records what the upstream says of its own capacity in slots. It
	// can lower the limit and never raises it above what was observed.
	Report(now time.Time, slots int) int
	// Limit returns the current limit in slots, at least 1.
	Limit() int
	String() string
}

// Levels remembers which kinds of calls would be refused further down. The
// package wasabilevel implements it.
type Levels interface {
	// Learn records the level that an answer carried for a kind of call.
	Learn(now time.Time, k CallKind, level Importance)
	// Refuse reports whether a call should be refused where it enters.
	Refuse(now time.Time, k CallKind, i Importance) bool
	// Level returns the level in force for a kind of call.
	Level(now time.Time, k CallKind) Importance
	String() string
}

// Allowance bounds the retries of one call tree. The package wasabiretry
// implements it. It is safe for concurrent use.
type Allowance interface {
	// Split takes part of what is left for a call that is sent down.
	Split() int
	// Return gives back what an answered call did not use, at most granted.
	Return(granted, unused int)
	// Take uses one retry and reports whether one was left.
	Take() bool
	// Left returns what is left.
	Left() int
	String() string
}

// RetryBudget bounds the retries of one instance as a share of its traffic.
// The package wasabiretry implements it.
type RetryBudget interface {
	// Attempt records a first attempt.
	Attempt(now time.Time)
	// Retry reports whether the budget allows a retry, and spends it.
	Retry(now time.Time) bool
	String() string
}

// Router chooses the instance that a call is sent to. The package
// wasabiroute implements it.
type Router interface {
	// SetInstances replaces the instances of a service. Load and health
	// observations of instances that stay are kept.
	SetInstances(now time.Time, service string, list []Instance)
	// Pick chooses an instance that is not in q.Exclude and counts the call
	// as outstanding on it until Done. The error is a *Refusal.
	Pick(now time.Time, q Query) (Instance, error)
	// Done records how the call ended.
	Done(now time.Time, service, instance string, r Result)
	String() string
}

// StateMachine is what a replicated log drives. Its owner calls it from one
// goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result. It must be
	// deterministic.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
	String() string
}

// ReplicatedLog orders commands among the members of one group. The package
// wasabiraft implements it. It is safe for concurrent use.
type ReplicatedLog interface {
	// Propose commits a command and returns the result of applying it. After
	// ErrUnknownOutcome the command may still be committed; after
	// ErrNotLeader it certainly is not.
	Propose(ctx context.Context, command []byte) (any, error)
	// Confirm returns once the local state machine has applied everything
	// that was committed before the call, as confirmed by a quorum. It works
	// on any member that reaches the leader.
	Confirm(ctx context.Context) error
	// Leader returns the name and address of the leader, as far as known.
	Leader() (id, address string)
	// Close stops taking part and waits.
	Close() error
	String() string
}

// Directory is a node's view of control: an immutable snapshot that is
// replaced when control sends changes. The package wasabisession implements
// it. It is safe for concurrent use.
type Directory interface {
	// View returns the current snapshot, nil before the first one.
	View() *View
	// Interest declares that this node calls a service.
	Interest(service string)
	// Changed returns a channel that is closed at the next new snapshot.
	Changed() <-chan struct{}
	String() string
}

// Claims makes a non-idempotent call run at most once. The package
// wasabisession implements it for nodes. It is safe for concurrent use.
type Claims interface {
	// Take claims the key for this call. The error is a *Refusal when the
	// claim certainly is not held.
	Take(ctx context.Context, c Claim) (ClaimState, error)
	// Settle records the outcome of a call that was granted.
	Settle(ctx context.Context, c Claim, s Settlement) error
	String() string
}

// Recorder keeps events of the time line. The package wasabievent implements
// it. It is safe for concurrent use and never blocks.
type Recorder interface {
	Record(e Event)
	String() string
}
