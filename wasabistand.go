// Package wasabistand defines the components of overload control for service
// call graphs: small interfaces and the values that they exchange. It contains
// no decision logic. The implementations are in subfolders, and each can be
// embedded without the daemons.
//
// The deciding components are state machines. They take the current time and
// an event and return the actions to perform; they start no goroutine, read no
// clock and do no I/O. Unless a doc comment states otherwise, they are not
// safe for concurrent use and callers must serialize access.
package wasabistand

import (
	"context"
	"time"
)

// Admission decides which calls one upstream runs, which wait and which are
// refused. The package wasabiadmission implements it.
type Admission interface {
	// Offer submits a call for admission. The decisions concern this call and
	// any waiting call that it displaces; if there is none about this call, it
	// waits.
	Offer(now time.Time, t Ticket) []Decision
	// Done frees the slot of an admitted call and returns decisions about
	// waiting calls that are now admitted or refused. service is how long the
	// call ran.
	Done(now time.Time, id TicketID, service time.Duration) []Decision
	// Cancel removes a waiting call, or frees the slot of an admitted one.
	Cancel(now time.Time, id TicketID) []Decision
	// SetLimit sets the number of calls that may run concurrently, at least 1.
	SetLimit(now time.Time, limit int) []Decision
	// Tick refuses waiting calls whose deadline has passed and lowers the
	// admission level.
	Tick(now time.Time) []Decision
	// NextTick returns when Tick should be called next, zero for never.
	NextTick() time.Time
	// Load returns the admission level, the limit and the number of running
	// and waiting calls.
	Load() Load
	String() string
}

// Limiter determines how many calls one upstream can run concurrently. The
// package wasabilimit implements it.
type Limiter interface {
	// Observe records one finished call and returns the limit to apply.
	Observe(now time.Time, s Sample) int
	// Report records the capacity in slots that the upstream reports. It can
	// lower the limit and never raises it above what was observed.
	Report(now time.Time, slots int) int
	// Limit returns the current limit in slots, at least 1.
	Limit() int
	String() string
}

// Levels records which kinds of calls downstream services would refuse. The
// package wasabilevel implements it.
type Levels interface {
	// Observe records the level that a response carried for a kind of call.
	Observe(now time.Time, k CallKind, level Importance)
	// ShouldRefuse reports whether a call should be refused at the ingress.
	ShouldRefuse(now time.Time, k CallKind, i Importance) bool
	// Level returns the admission level that applies to a kind of call.
	Level(now time.Time, k CallKind) Importance
	String() string
}

// RequestRetryBudget limits the retries of one call tree. The package
// wasabiretry implements it. It is safe for concurrent use.
type RequestRetryBudget interface {
	// Split takes part of the remaining budget for a downstream call.
	Split() int
	// Return gives back what a completed call did not use, at most granted.
	Return(granted, unused int)
	// Take spends one retry and reports whether one was left.
	Take() bool
	// Remaining returns the number of retries left.
	Remaining() int
	String() string
}

// RetryBudget limits the retries of one instance to a share of its first
// attempts. The package wasabiretry implements it.
type RetryBudget interface {
	// Attempt records a first attempt.
	Attempt(now time.Time)
	// Retry reports whether the budget allows a retry, and if so spends it.
	Retry(now time.Time) bool
	String() string
}

// Router chooses the instance that a call is sent to. The package
// wasabiroute implements it.
type Router interface {
	// SetInstances replaces the instances of a service. The observed load and
	// health of instances that remain are kept.
	SetInstances(now time.Time, service string, list []Instance)
	// Pick chooses an instance that is not in q.Exclude and counts the call
	// as outstanding on it until Done. The error is a *Refusal.
	Pick(now time.Time, q Query) (Instance, error)
	// Done records the result of a call.
	Done(now time.Time, service, instance string, r Result)
	String() string
}

// StateMachine is the state that a ReplicatedLog replicates. Its methods are
// called from one goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result. It must be
	// deterministic.
	Apply(index uint64, command []byte) any
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(snapshot []byte) error
	String() string
}

// ReplicatedLog replicates commands among the members of one group. The
// package wasabiraft implements it. It is safe for concurrent use.
type ReplicatedLog interface {
	// Propose commits a command and returns the result of applying it. After
	// ErrUnknownOutcome the command may still be committed; after
	// ErrNotLeader it certainly is not.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadBarrier waits until the local state machine has applied everything
	// that was committed before the call, as confirmed by a quorum. It works on
	// any member that can reach the leader.
	ReadBarrier(ctx context.Context) error
	// Leader returns the name and address of the leader, if known.
	Leader() (id, address string)
	// Close stops this member and waits until it has stopped.
	Close() error
	String() string
}

// Directory is a node's view of the state received from control: an immutable
// snapshot that is replaced on every change. The package wasabisession
// implements it. It is safe for concurrent use.
type Directory interface {
	// View returns the current snapshot, nil before the first one is received.
	View() *View
	// Subscribe subscribes to the instances of a service that this node calls.
	Subscribe(service string)
	// Changed returns a channel that is closed at the next new snapshot.
	Changed() <-chan struct{}
	String() string
}

// Claims ensures that a non-idempotent call runs at most once. The package
// wasabisession implements it for nodes. It is safe for concurrent use.
type Claims interface {
	// Take requests the claim on the key for this call. The error is a
	// *Refusal when the claim certainly is not held.
	Take(ctx context.Context, c Claim) (ClaimState, error)
	// Settle records the outcome of a call that was granted.
	Settle(ctx context.Context, c Claim, s Settlement) error
	String() string
}

// Recorder records events in the event timeline. The package wasabievent
// implements it. It is safe for concurrent use and never blocks.
type Recorder interface {
	Record(e Event)
	String() string
}
