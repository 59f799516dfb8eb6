package wasabiraft

import (
	"context"
	"strconv"
	"time"

	"github.com/wasabistand/wasabistand"
)

// confirmation is a caller that waits for a read index.
type confirmation struct {
	ctx  context.Context
	done chan struct{}
}

// confirmBatch are callers that share one read.
type confirmBatch struct {
	list []*confirmation
	id   uint64 // of the latest read, 0 for none
	// index is what must be applied, once ready.
	index uint64
	ready bool
	retry time.Time
}

// Confirm returns once the state machine here has applied everything that was
// committed before the call, as confirmed by a quorum. It works on any member
// that reaches the leader. The error is of class ErrNotConfirmed.
func (r *Runner) Confirm(ctx context.Context) error {
	c := &confirmation{ctx: ctx, done: make(chan struct{})}
	select {
	case r.confirms <- c:
	case <-ctx.Done():
		return wasabistand.ErrNotConfirmed.Wrap(ctx.Err())
	case <-r.done:
		return wasabistand.ErrNotConfirmed.New("%s has ended", r.config.Self.ID)
	}
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return wasabistand.ErrNotConfirmed.Wrap(ctx.Err())
	case <-r.done:
		return wasabistand.ErrNotConfirmed.New("%s has ended", r.config.Self.ID)
	}
}

// confirm starts one read for a caller and those that wait behind it.
func (r *Runner) confirm(c *confirmation) {
	b := &confirmBatch{list: []*confirmation{c}}
	for range maxWaiting {
		select {
		case c = <-r.confirms:
			b.list = append(b.list, c)
			continue
		default:
		}
		break
	}
	r.confirmed = append(r.confirmed, b)
}

// retryReads asks for the reads that have no answer: new ones, and those whose
// messages may be lost.
func (r *Runner) retryReads(now time.Time) {
	kept := r.confirmed[:0]
	for _, b := range r.confirmed {
		if !b.ready && !now.Before(b.retry) {
			list := b.list[:0]
			for _, c := range b.list {
				if c.ctx.Err() == nil {
					list = append(list, c)
				}
			}
			b.list = list
			if id, err := r.replica.Read(); err == nil {
				b.id, b.retry = id, now.Add(2*r.config.Settings.HeartbeatInterval)
			}
		}
		if len(b.list) > 0 {
			kept = append(kept, b)
		}
	}
	clear(r.confirmed[len(kept):])
	r.confirmed = kept
}

// answerReads matches confirmed reads and releases callers whose index is
// applied.
func (r *Runner) answerReads(reads []Read) {
	kept := r.confirmed[:0]
	for _, b := range r.confirmed {
		for _, d := range reads {
			if !b.ready && b.id != 0 && d.ID == b.id {
				b.ready, b.index = true, d.Index
			}
		}
		if b.ready && b.index <= r.applied {
			for _, c := range b.list {
				close(c.done)
			}
			continue
		}
		kept = append(kept, b)
	}
	clear(r.confirmed[len(kept):])
	r.confirmed = kept
}

func uitoa(i uint64) string { return strconv.FormatUint(i, 10) }

func now() time.Time { return time.Now() }
