package wasabiraft

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/wasabistand/wasabistand"
)

// readWaiter is a caller of ReadBarrier that waits for a read index.
type readWaiter struct {
	ctx  context.Context
	done chan struct{}
}

// maxReadIDs bounds the requests of a batch whose responses may still come.
const maxReadIDs = 16

// readBatch is a group of callers that share one read.
type readBatch struct {
	waiters []*readWaiter
	// readIDs are those of the latest requests. Each was made after the callers had
	// arrived, so that the response to any of them confirms the batch.
	readIDs []uint64
	// index must be applied before the callers return. It is valid once
	// confirmed is set.
	index     uint64
	confirmed bool
	retryAt   time.Time
}

// ReadBarrier waits until the local state machine has applied every entry that
// was committed before the call, as confirmed by a quorum. It works on any
// member that can reach the leader. The error is of class ErrNotConfirmed.
func (r *Runner) ReadBarrier(ctx context.Context) error {
	w := &readWaiter{ctx: ctx, done: make(chan struct{})}
	select {
	case r.readRequests <- w:
	case <-ctx.Done():
		return wasabistand.ErrNotConfirmed.Wrap(ctx.Err())
	case <-r.done:
		return wasabistand.ErrNotConfirmed.New("%s has ended", r.config.Self.ID)
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return wasabistand.ErrNotConfirmed.Wrap(ctx.Err())
	case <-r.done:
		return wasabistand.ErrNotConfirmed.New("%s has ended", r.config.Self.ID)
	}
}

// addReadBatch adds one read for a caller and the callers queued behind it.
func (r *Runner) addReadBatch(w *readWaiter) {
	b := &readBatch{waiters: []*readWaiter{w}}
	for range maxQueuedRequests {
		select {
		case w = <-r.readRequests:
			b.waiters = append(b.waiters, w)
			continue
		default:
		}
		break
	}
	r.readBatches = append(r.readBatches, b)
}

// retryReads requests the reads that are not confirmed: new ones, and those
// whose messages may have been lost.
func (r *Runner) retryReads(now time.Time) {
	kept := r.readBatches[:0]
	for _, b := range r.readBatches {
		if !b.confirmed && !now.Before(b.retryAt) {
			list := b.waiters[:0]
			for _, w := range b.waiters {
				if w.ctx.Err() == nil {
					list = append(list, w)
				}
			}
			b.waiters = list
			if id, err := r.replica.Read(); err == nil {
				b.readIDs = append(b.readIDs[max(len(b.readIDs)-maxReadIDs+1, 0):], id)
				b.retryAt = now.Add(2 * r.config.Settings.HeartbeatInterval)
			}
		}
		if len(b.waiters) > 0 {
			kept = append(kept, b)
		}
	}
	clear(r.readBatches[len(kept):])
	r.readBatches = kept
}

// completeReads marks the batches of confirmed reads, and completes the batches
// whose index is applied.
func (r *Runner) completeReads(reads []Read) {
	kept := r.readBatches[:0]
	for _, b := range r.readBatches {
		for _, d := range reads {
			if !b.confirmed && slices.Contains(b.readIDs, d.ID) {
				b.confirmed, b.index = true, d.Index
			}
		}
		if b.confirmed && b.index <= r.applied {
			for _, w := range b.waiters {
				close(w.done)
			}
			continue
		}
		kept = append(kept, b)
	}
	clear(r.readBatches[len(kept):])
	r.readBatches = kept
}

func uitoa(i uint64) string { return strconv.FormatUint(i, 10) }

func now() time.Time { return time.Now() }
