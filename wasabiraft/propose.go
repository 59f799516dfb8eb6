package wasabiraft

import (
	"context"
	"sync/atomic"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// proposal is a command that waits to be applied.
type proposal struct {
	command []byte
	term    uint64
	// claimed is set by whoever comes first: the loop that takes the command,
	// or the caller that gives up before.
	claimed atomic.Bool
	result  chan outcome
}

type outcome struct {
	value any
	err   error
}

// answer delivers the result, at most once.
func (p *proposal) answer(value any, err error) {
	select {
	case p.result <- outcome{value, err}:
	default:
	}
}

// Propose commits a command and returns the result of applying it here. The
// error is of class ErrNotLeader when the command certainly is not accepted,
// and ErrUnknownOutcome when it may be. The command must not be modified
// afterwards.
func (r *Runner) Propose(ctx context.Context, command []byte) (any, error) {
	if n := r.config.Settings.MaxCommandBytes; len(command) > n {
		return nil, wasabistand.ErrInvalid.New("command of %d bytes: allowed are %d", len(command), n)
	}
	p := &proposal{command: command, result: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, wasabistand.ErrNotLeader.New("too many proposals wait: %v", ctx.Err())
	case <-r.done:
		return nil, wasabistand.ErrNotLeader.New("%s has ended", r.config.Self.ID)
	}
	select {
	case o := <-p.result:
		return o.value, o.err
	case <-ctx.Done():
	case <-r.done:
	}
	if p.claimed.CompareAndSwap(false, true) {
		return nil, wasabistand.ErrNotLeader.New("given up before it was proposed")
	}
	select {
	case o := <-p.result:
		return o.value, o.err
	default:
	}
	if err := ctx.Err(); err != nil {
		return nil, wasabistand.ErrUnknownOutcome.Wrap(err)
	}
	return nil, wasabistand.ErrUnknownOutcome.New("%s has ended", r.config.Self.ID)
}

// propose appends a proposal and those that wait behind it.
func (r *Runner) propose(p *proposal) {
	var batch []*proposal
	var commands [][]byte
	bytes := 0
	for {
		if p.claimed.CompareAndSwap(false, true) {
			batch, commands = append(batch, p), append(commands, p.command)
			bytes += len(p.command)
		}
		if len(batch) >= r.config.Settings.MaxBatch || bytes >= r.config.Settings.MaxUncommitted {
			break
		}
		select {
		case p = <-r.proposals:
			continue
		default:
		}
		break
	}
	if len(batch) == 0 {
		return
	}
	first, term, err := r.replica.Propose(now(), commands)
	for i, p := range batch {
		if err != nil {
			p.answer(nil, err)
			continue
		}
		p.term = term
		if old, ok := r.waiting[first+uint64(i)]; ok {
			// From an earlier term here. Other members may hold its entry.
			old.answer(nil, wasabistand.ErrUnknownOutcome.New("the entry was replaced here before it was committed"))
		}
		r.waiting[first+uint64(i)] = p
	}
}

// apply executes one committed entry and answers its proposal.
func (r *Runner) apply(e *entry) {
	var value any
	switch e.GetKind() {
	case wasabistandv1.LogEntry_KIND_COMMAND:
		value = r.config.StateMachine.Apply(e.GetIndex(), e.GetData())
	case wasabistandv1.LogEntry_KIND_MEMBERS:
		r.record(wasabistand.EventGroupMembers, "index", uitoa(e.GetIndex()))
	}
	r.applied = e.GetIndex()
	if p, ok := r.waiting[e.GetIndex()]; ok {
		delete(r.waiting, e.GetIndex())
		if p.term == e.GetTerm() {
			p.answer(value, nil)
		} else {
			p.answer(nil, wasabistand.ErrNotLeader.New("another leader's entry took its place"))
		}
	}
	if c, ok := r.changes[e.GetIndex()]; ok {
		delete(r.changes, e.GetIndex())
		if e.GetKind() == wasabistandv1.LogEntry_KIND_MEMBERS {
			c <- nil
		} else {
			c <- wasabistand.ErrNotLeader.New("another leader's entry took its place")
		}
	}
}

// dropWaiting ends all proposals and changes whose fate is open.
func (r *Runner) dropWaiting(err error) {
	for i, p := range r.waiting {
		p.answer(nil, err)
		delete(r.waiting, i)
	}
	for i, c := range r.changes {
		c <- err
		delete(r.changes, i)
	}
}
