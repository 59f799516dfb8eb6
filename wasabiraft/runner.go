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

// Transport sends messages to other members. Send does not block: it drops
// messages that it has no room for, and may lose, delay, repeat and reorder
// them. The receiver hands them to Runner.Step.
type Transport interface {
	Send(to, address string, m []*wasabistandv1.GroupMessage)
}

// RunnerConfig is what a Runner needs.
type RunnerConfig struct {
	// Self names the member. Storage is the identity of the data folder.
	Self Self
	// Settings are checked by Start.
	Settings Settings
	// Store is the group's store. The runner closes it.
	Store *wasabidisk.Store
	// Transport sends to other members.
	Transport Transport
	// StateMachine is called from one goroutine.
	StateMachine wasabistand.StateMachine
	// Members is the first member list of a new group. Every member starts
	// with the same one. It is ignored once the store holds anything.
	Members []*wasabistandv1.Member
	// Join is set for an empty store when the group exists already: for a
	// member that is added, and for a member whose disk was replaced. A
	// replaced disk that starts with Members instead is ignored by the group;
	// then its data folder is removed and it is started again with Join.
	Join bool
	// Recorder receives changes of leader and members, nil for none.
	Recorder wasabistand.Recorder
}

// Bounds of a runner's queues. A full queue of messages drops, which the
// protocol repairs; a full queue of requests lets callers wait.
const (
	maxIncoming = 4096
	maxWaiting  = 4096
)

// fullRetry is how often a write is tried again on a full disk.
const fullRetry = 250 * time.Millisecond

var errStopped = errors.New("closed")

// Runner drives one Replica. It implements wasabistand.ReplicatedLog and is
// safe for concurrent use.
type Runner struct {
	config  RunnerConfig
	replica *Replica // owned by the loop

	incoming  chan *message
	proposals chan *proposal
	confirms  chan *confirmation
	calls     chan func()
	saved     chan savedSnapshot
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	wait      sync.WaitGroup
	leader    atomic.Pointer[leaderInfo]
	err       error // set before done is closed
	dropped   atomic.Uint64

	// Owned by the loop.
	applied   uint64
	taken     uint64 // index of the latest snapshot taken
	saving    bool
	full      bool
	waiting   map[uint64]*proposal
	confirmed []*confirmBatch
	changes   map[uint64]chan error
}

type leaderInfo struct {
	id, address string
	term        uint64
}

// Start starts the replica of one member and returns once the state machine
// holds the latest snapshot.
func Start(c RunnerConfig) (*Runner, error) {
	held := c.Store.State()
	state := State{HardState: held.HardState, Snapshot: held.Snapshot, Entries: held.Entries}
	if held.Empty() && !c.Join {
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
	c.Store.Forget()
	r := &Runner{
		config: c, replica: p,
		incoming:  make(chan *message, maxIncoming),
		proposals: make(chan *proposal, maxWaiting),
		confirms:  make(chan *confirmation, maxWaiting),
		calls:     make(chan func()),
		saved:     make(chan savedSnapshot, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		waiting:   map[uint64]*proposal{},
		changes:   map[uint64]chan error{},
		applied:   state.Snapshot.GetIndex(),
		taken:     state.Snapshot.GetIndex(),
	}
	r.leader.Store(&leaderInfo{})
	r.wait.Go(r.loop)
	return r, nil
}

func bootstrap(c RunnerConfig) (State, error) {
	state, err := Bootstrap(c.Members)
	if err != nil {
		return State{}, err
	}
	if findMember(&members{Members: c.Members}, c.Self.ID) == nil {
		return State{}, wasabistand.ErrInvalid.New("member %q is not in the first member list: a member that is added starts with Join", c.Self.ID)
	}
	return state, c.Store.Save(state.HardState, state.Entries)
}

// Step takes a message from another member. It drops the message when the
// queue is full.
func (r *Runner) Step(m *wasabistandv1.GroupMessage) {
	select {
	case r.incoming <- m:
	default:
		r.dropped.Add(1)
	}
}

// Leader returns the name and address of the leader, as far as known.
func (r *Runner) Leader() (id, address string) {
	l := r.leader.Load()
	return l.id, l.address
}

// Done is closed when the runner has ended, by Close or by a failure.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Err returns why the runner ended: nil while it runs and after Close.
func (r *Runner) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Close stops taking part, closes the store and waits. Proposals that are
// waiting end with ErrUnknownOutcome.
func (r *Runner) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	r.wait.Wait()
	return r.config.Store.Close()
}

// String names the implementation.
func (r *Runner) String() string { return "raft" }

func (r *Runner) loop() {
	defer r.end()
	// What the disk holds as committed is applied before anybody is heard.
	if r.err = r.process(); r.err != nil {
		return
	}
	timer := time.NewTimer(time.Until(r.replica.Next()))
	defer timer.Stop()
	for {
		// Proposals wait in their queue while too many are not committed.
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
			r.propose(p)
		case c := <-r.confirms:
			r.confirm(c)
		case f := <-r.calls:
			f()
		case s := <-r.saved:
			r.snapshotSaved(s)
		case <-timer.C:
		}
		r.drainIncoming()
		now := time.Now()
		if !now.Before(r.replica.Next()) {
			r.replica.Tick(now)
		}
		r.retryReads(now)
		if err := r.process(); err != nil {
			if !errors.Is(err, errStopped) {
				r.err = err
			}
			return
		}
		timer.Reset(time.Until(r.replica.Next()))
	}
}

// drainIncoming takes the messages that are there already, so that their
// entries share one sync.
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

// process does what the replica wants until there is nothing left.
func (r *Runner) process() error {
	for {
		d := r.replica.Ready()
		if d.Empty() {
			r.noteLeader()
			return nil
		}
		r.send(d.Now)
		if err := r.save(d); err != nil {
			return err
		}
		r.replica.Synced(time.Now())
		r.send(d.AfterSync)
		if n := d.Snapshot; n != nil {
			if err := r.config.StateMachine.Restore(n.GetState()); err != nil {
				return Error.New("restore snapshot at index %d: %v", n.GetIndex(), err)
			}
			r.applied, r.taken = n.GetIndex(), n.GetIndex()
			r.dropWaiting(wasabistand.ErrUnknownOutcome.New("a snapshot replaced the log"))
		}
		for _, e := range d.Committed {
			r.apply(e)
		}
		r.answerReads(d.Reads)
		// After applying: a leader that steps down with this Ready answers
		// what it has committed.
		r.noteLeader()
		r.takeSnapshot()
	}
}

// save syncs what Ready returned. On a full disk it tries until there is
// room: the replica sends nothing meanwhile, so the group goes on without it.
func (r *Runner) save(d Ready) error {
	store := r.config.Store
	if n := d.Snapshot; n != nil {
		r.waitSaving()
		if err := r.untilNotFull(func() error { return store.SaveSnapshot(n) }); err != nil {
			return err
		}
		if err := r.untilNotFull(func() error { return store.Reset(n.GetIndex(), n.GetTerm()) }); err != nil {
			return err
		}
	}
	return r.untilNotFull(func() error { return store.Save(d.HardState, d.Entries) })
}

func (r *Runner) untilNotFull(write func() error) error {
	for {
		err := write()
		if !wasabidisk.ErrFull.Has(err) {
			r.full = false
			return err
		}
		if !r.full {
			r.full = true
			r.leader.Store(&leaderInfo{})
			r.dropWaiting(wasabistand.ErrUnknownOutcome.New("disk full"))
			r.record(wasabistand.EventGroupLeader, "disk", err.Error())
		}
		retry := time.NewTimer(fullRetry)
		for waiting := true; waiting; {
			select {
			case <-r.stop:
				retry.Stop()
				return errStopped
			case <-r.incoming:
			case p := <-r.proposals:
				p.answer(nil, wasabistand.ErrNotLeader.New("disk full"))
			case f := <-r.calls:
				f()
			case <-retry.C:
				waiting = false
			}
		}
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

func (r *Runner) noteLeader() {
	id, address := r.replica.Leader()
	if l := r.leader.Load(); l.id == id && l.address == address && l.term == r.replica.Term() {
		return
	}
	r.leader.Store(&leaderInfo{id: id, address: address, term: r.replica.Term()})
	r.record(wasabistand.EventGroupLeader, "Leader", id)
	if r.replica.Role() != Leader {
		r.dropWaiting(wasabistand.ErrUnknownOutcome.New("%s no longer leads", r.config.Self.ID))
	}
}

func (r *Runner) record(kind wasabistand.EventKind, name, value string) {
	if r.config.Recorder == nil {
		return
	}
	r.config.Recorder.Record(wasabistand.Event{Kind: kind, Fields: []wasabistand.HeaderField{
		{Name: name, Value: value}, {Name: "Term", Value: fmt.Sprint(r.replica.Term())},
	}})
}

// end answers all who wait.
func (r *Runner) end() {
	r.leader.Store(&leaderInfo{})
	close(r.done)
	r.dropWaiting(wasabistand.ErrUnknownOutcome.New("%s has ended", r.config.Self.ID))
	for {
		select {
		case p := <-r.proposals:
			p.answer(nil, wasabistand.ErrNotLeader.New("%s has ended", r.config.Self.ID))
		default:
			return
		}
	}
}

// call runs f in the loop and waits for it.
func (r *Runner) call(ctx context.Context, f func()) error {
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
