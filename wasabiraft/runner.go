package wasabiraft

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabidisk"
)

// Transport sends messages to other members. Send must not block: it drops
// messages if its queue is full. Messages may be lost, delayed, duplicated and
// reordered. The receiver passes them to Runner.Step.
type Transport interface {
	Send(to, address string, m []*wasabistandv1.GroupMessage)
}

// RunnerConfig holds the settings and dependencies of a Runner.
type RunnerConfig struct {
	// Self identifies the member. Self.Storage is the identity of the data
	// folder.
	Self Self
	// Settings are validated by Start.
	Settings Settings
	// Store is the group's store. The runner closes it.
	Store *wasabidisk.Store
	// Transport sends messages to other members.
	Transport Transport
	// StateMachine is called from only one goroutine at a time.
	StateMachine wasabistand.StateMachine
	// Members is the initial member list of a new group. Every member must
	// start with the same list. It is ignored unless the store is empty.
	Members []*wasabistandv1.Member
	// Join must be set for an empty store if the group already exists, that is,
	// for a member that is added and for a member whose disk was replaced. A
	// replaced disk that is started with Members instead is ignored by the
	// group. To recover, remove its data folder and restart it with Join.
	Join bool
	// Recorder records changes of the leader and the members, and a disk that
	// refuses writes. It may be nil.
	Recorder wasabistand.Recorder
}

// Limits of a runner's queues. Messages are dropped when their queue is full,
// which the protocol tolerates. Callers block when a request queue is full.
const (
	maxIncoming       = 4096
	maxQueuedRequests = 4096
)

var errStopped = errors.New("closed")

// Runner runs one Replica with its disk, transport and state machine. It
// implements wasabistand.ReplicatedLog and is safe for concurrent use.
type Runner struct {
	config  RunnerConfig
	replica *Replica // owned by the loop

	incoming        chan *message
	proposals       chan *proposal
	readRequests    chan *readWaiter
	calls           chan func()
	snapshotResults chan snapshotResult
	stop            chan struct{}
	done            chan struct{}
	stopOnce        sync.Once
	goroutines      sync.WaitGroup
	leader          atomic.Pointer[leaderInfo]
	err             error // set before done is closed
	dropped         atomic.Uint64
	disk            diskMonitor

	// Owned by the loop.
	applied          uint64
	snapshotIndex    uint64 // index of the latest snapshot taken
	savingSnapshot   bool
	observedLeaderAt time.Time // of the latest message of a leader while the disk refuses writes
	pendingProposals map[uint64]*proposal
	readBatches      []*readBatch
	pendingChanges   map[uint64]chan error
}

type leaderInfo struct {
	id, address string
	term        uint64
}

// Start starts the replica of one member. It returns once the state machine is
// restored from the latest snapshot.
func Start(c RunnerConfig) (*Runner, error) {
	stored := c.Store.State()
	state := State{HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries}
	if stored.Empty() && !c.Join {
		first, err := bootstrap(c)
		if err != nil {
			return nil, err
		}
		state = first
	}
	if state.Snapshot != nil {
		if err := c.StateMachine.Restore(state.Snapshot.GetState()); err != nil {
			return nil, Error.New("restore snapshot at index %d: %v", state.Snapshot.GetIndex(), err)
		}
	}
	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	p, err := New(c.Self, c.Settings, state, rand.New(rand.NewChaCha8(seed)), time.Now())
	if err != nil {
		return nil, err
	}
	c.Store.ReleaseState()
	r := &Runner{
		config: c, replica: p,
		incoming:         make(chan *message, maxIncoming),
		proposals:        make(chan *proposal, maxQueuedRequests),
		readRequests:     make(chan *readWaiter, maxQueuedRequests),
		calls:            make(chan func()),
		snapshotResults:  make(chan snapshotResult, 1),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		pendingProposals: map[uint64]*proposal{},
		pendingChanges:   map[uint64]chan error{},
		applied:          state.Snapshot.GetIndex(),
		snapshotIndex:    state.Snapshot.GetIndex(),
	}
	r.leader.Store(&leaderInfo{})
	r.goroutines.Go(r.loop)
	return r, nil
}

func bootstrap(c RunnerConfig) (State, error) {
	state, err := Bootstrap(c.Members)
	if err != nil {
		return State{}, err
	}
	if findMember(&members{Members: c.Members}, c.Self.ID) == nil {
		return State{}, wasabistand.ErrInvalid.New("member %q is not in the initial member list: a member added to an existing group must be started with Join", c.Self.ID)
	}
	return state, c.Store.Save(state.HardState, state.Entries)
}

// Step queues a message from another member. It drops the message if the queue
// is full.
func (r *Runner) Step(m *wasabistandv1.GroupMessage) {
	select {
	case r.incoming <- m:
	default:
		r.dropped.Add(1)
	}
}

// Leader returns the name and address of the leader, empty if unknown.
func (r *Runner) Leader() (id, address string) {
	l := r.leader.Load()
	return l.id, l.address
}

// Done returns a channel that is closed when the runner has ended, by Close or
// by a failure.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Err returns the error that ended the runner, or nil while it runs and after
// Close.
func (r *Runner) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Close stops the runner, waits for its goroutines and closes the store.
// Pending proposals fail with ErrUnknownOutcome.
func (r *Runner) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	r.goroutines.Wait()
	return r.config.Store.Close()
}

// String returns the name of the implementation.
func (r *Runner) String() string { return "raft" }

func (r *Runner) loop() {
	defer r.finish()
	// Entries that are committed on disk are applied before any message is
	// handled.
	if r.err = r.processReady(); r.err != nil {
		return
	}
	timer := time.NewTimer(time.Until(r.replica.NextTick()))
	defer timer.Stop()
	for {
		// Proposals stay queued while too many bytes are uncommitted.
		proposals := r.proposals
		if !r.replica.AcceptsProposals() {
			proposals = nil
		}
		select {
		case <-r.stop:
			return
		case m := <-r.incoming:
			r.replica.Step(time.Now(), m)
		case p := <-proposals:
			r.proposeBatch(p)
		case w := <-r.readRequests:
			r.addReadBatch(w)
		case f := <-r.calls:
			f()
		case s := <-r.snapshotResults:
			r.handleSnapshotResult(s)
		case <-timer.C:
		}
		r.drainIncoming()
		now := time.Now()
		if !now.Before(r.replica.NextTick()) {
			r.replica.Tick(now)
		}
		r.retryReads(now)
		if err := r.processReady(); err != nil {
			if !errors.Is(err, errStopped) {
				r.err = err
			}
			return
		}
		timer.Reset(time.Until(r.replica.NextTick()))
	}
}

// drainIncoming handles all queued messages, so that their entries share one
// sync.
func (r *Runner) drainIncoming() {
	for range maxIncoming {
		select {
		case m := <-r.incoming:
			r.replica.Step(time.Now(), m)
		default:
			return
		}
	}
}

// processReady does the replica's pending work until there is none left.
func (r *Runner) processReady() error {
	for {
		d := r.replica.Ready()
		if d.Empty() {
			r.publishLeader()
			return nil
		}
		r.send(d.BeforeSync)
		if err := r.save(d); err != nil {
			return err
		}
		r.replica.Synced(time.Now())
		r.send(d.AfterSync)
		if n := d.Snapshot; n != nil {
			if err := r.config.StateMachine.Restore(n.GetState()); err != nil {
				return Error.New("restore snapshot at index %d: %v", n.GetIndex(), err)
			}
			r.applied, r.snapshotIndex = n.GetIndex(), n.GetIndex()
			r.failPending(wasabistand.ErrUnknownOutcome.New("a snapshot replaced the log"))
		}
		for _, e := range d.Committed {
			r.apply(e)
		}
		r.completeReads(d.Reads)
		// The leader is published after applying, so that a leader that steps
		// down with this Ready first completes the proposals it has committed.
		r.publishLeader()
		r.takeSnapshot()
	}
}

func (r *Runner) send(list []*message) {
	for len(list) > 0 {
		to := list[0].GetTo()
		var batch, rest []*message
		for _, m := range list {
			if m.GetTo() == to {
				batch = append(batch, m)
			} else {
				rest = append(rest, m)
			}
		}
		if address := r.replica.AddressOf(to); address != "" {
			r.config.Transport.Send(to, address, batch)
		}
		list = rest
	}
}

func (r *Runner) publishLeader() {
	id, address := r.replica.Leader()
	if l := r.leader.Load(); l.id == id && l.address == address && l.term == r.replica.Term() {
		return
	}
	r.leader.Store(&leaderInfo{id: id, address: address, term: r.replica.Term()})
	r.record(wasabistand.EventGroupLeader, "Leader", id)
	if r.replica.Role() != Leader {
		r.failPending(wasabistand.ErrUnknownOutcome.New("%s no longer leads", r.config.Self.ID))
	}
}

func (r *Runner) record(kind wasabistand.EventKind, name, value string) {
	r.recordFields(kind, wasabistand.HeaderField{Name: name, Value: value})
}

func (r *Runner) recordFields(kind wasabistand.EventKind, fields ...wasabistand.HeaderField) {
	if r.config.Recorder == nil {
		return
	}
	fields = append(fields, wasabistand.HeaderField{Name: "Term", Value: fmt.Sprint(r.replica.Term())})
	r.config.Recorder.Record(wasabistand.Event{Kind: kind, Fields: fields})
}

// finish completes all pending and queued proposals when the loop ends.
func (r *Runner) finish() {
	r.leader.Store(&leaderInfo{})
	close(r.done)
	r.failPending(wasabistand.ErrUnknownOutcome.New("%s has ended", r.config.Self.ID))
	for {
		select {
		case p := <-r.proposals:
			p.complete(nil, wasabistand.ErrNotLeader.New("%s has ended", r.config.Self.ID))
		default:
			return
		}
	}
}

// runInLoop runs f in the loop and waits until it returns.
func (r *Runner) runInLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(ran) }:
		<-ran
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return Error.New("%s has ended", r.config.Self.ID)
	}
}
