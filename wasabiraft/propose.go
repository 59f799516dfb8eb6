package wasabiraft

import (
	"context"
	"sync/atomic"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// proposal is a command whose caller waits until it is applied.
type proposal struct {
	command []byte
	term    uint64
	// claimed is set either by the loop when it takes the command or by the
	// caller when it gives up, whichever happens first.
	claimed atomic.Bool
	result  chan outcome
}

type outcome struct {
	value any
	err   error
}

// complete delivers the result to the caller. Only the first call has an effect.
func (p *proposal) complete(value any, err error) {
	select {
	case p.result <- outcome{value, err}:
	default:
	}
}

// Propose commits a command and returns the result of applying it locally. The
// error is of class ErrNotLeader if the command was certainly not accepted, of
// class ErrUnknownOutcome if it may have been, and of class ErrInvalid if it is
// too large. The command must not be modified afterwards.
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

// proposeBatch appends the command of a proposal and of those queued behind it.
func (r *Runner) proposeBatch(p *proposal) {
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
			p.complete(nil, err)
			continue
		}
		p.term = term
		if old, ok := r.pendingProposals[first+uint64(i)]; ok {
			// A proposal of an earlier term of this leader. Other members may
			// still hold its entry.
			old.complete(nil, wasabistand.ErrUnknownOutcome.New("the entry was replaced here before it was committed"))
		}
		r.pendingProposals[first+uint64(i)] = p
	}
}

// apply applies one committed entry and completes its proposal.
func (r *Runner) apply(e *entry) {
	var value any
	switch e.GetKind() {
	case wasabistandv1.LogEntry_KIND_COMMAND:
		value = r.config.StateMachine.Apply(e.GetIndex(), e.GetData())
	case wasabistandv1.LogEntry_KIND_MEMBERS:
		r.record(wasabistand.EventGroupMembers, "index", uitoa(e.GetIndex()))
	}
	r.applied = e.GetIndex()
	if p, ok := r.pendingProposals[e.GetIndex()]; ok {
		delete(r.pendingProposals, e.GetIndex())
		if p.term == e.GetTerm() {
			p.complete(value, nil)
		} else {
			p.complete(nil, wasabistand.ErrNotLeader.New("another leader's entry took its place"))
		}
	}
	if c, ok := r.pendingChanges[e.GetIndex()]; ok {
		delete(r.pendingChanges, e.GetIndex())
		if e.GetKind() == wasabistandv1.LogEntry_KIND_MEMBERS {
			c <- nil
		} else {
			c <- wasabistand.ErrNotLeader.New("another leader's entry took its place")
		}
	}
}

// failPending completes all pending proposals and membership changes with err.
func (r *Runner) failPending(err error) {
	for i, p := range r.pendingProposals {
		p.complete(nil, err)
		delete(r.pendingProposals, i)
	}
	for i, c := range r.pendingChanges {
		c <- err
		delete(r.pendingChanges, i)
	}
}
