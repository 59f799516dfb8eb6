package wasabicontrol

import (
	"context"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

const (
	// handOverTimeout bounds the hand-over of an instance, within its time to stop.
	handOverTimeout = 2 * time.Second
	// leaveInterval is the interval at which a leaving instance asks to be replaced, and
	// leavingExpiry how long a request counts. An instance that was only restarted asks
	// no more.
	leaveInterval = 100 * time.Millisecond
	leavingExpiry = time.Second
)

// HandOver prepares a planned stop of the instance: it transfers leadership, and asks the
// group to do without the instance's vote if another member can take its place. It
// returns once the group has removed the instance, if no other can replace it, or when the
// context ends, at the latest after handOverTimeout. The instance goes on serving. Further calls return the first result.
func (i *Instance) HandOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	i.handOver.Do(func() { i.handOverErr = i.runHandOver(ctx) })
	return i.handOverErr
}

func (i *Instance) runHandOver(ctx context.Context) error {
	i.handingOver.Store(true)
	for _, g := range i.groups {
		if err := g.runner.Transfer(ctx); err != nil {
			return err
		}
	}
	if i.membership == nil {
		return nil
	}
	t := time.NewTicker(leaveInterval)
	defer t.Stop()
	for attempt := 0; ; attempt++ {
		outcome, err := i.requestReplacement(ctx, attempt)
		if outcome == wasabistandv1.JoinResponse_OUTCOME_REMOVED || outcome == wasabistandv1.JoinResponse_OUTCOME_STAYS {
			i.log.Info().Str("Outcome", outcome.String()).Msg("control instance handed over")
			return nil
		}
		select {
		case <-ctx.Done():
			i.log.Warn().Str("Outcome", outcome.String()).AnErr("Error", err).Msg("control instance not replaced in time")
			return Error.Wrap(ctx.Err())
		case <-t.C:
		}
	}
}

// requestReplacement asks the leader once to replace this instance. While the leader is
// unknown, another member is asked for it.
func (i *Instance) requestReplacement(ctx context.Context, attempt int) (wasabistandv1.JoinResponse_Outcome, error) {
	root := i.groups[RootGroup]
	id, address := root.runner.Leader()
	if id == i.settings.id {
		// Another voter must lead first.
		return wasabistandv1.JoinResponse_OUTCOME_WAIT, root.runner.Transfer(ctx)
	}
	if list := root.runner.Status().Members; address == "" && len(list) > 0 {
		address = list[attempt%len(list)].Address
	}
	if address == "" || address == i.settings.linkAddress {
		return wasabistandv1.JoinResponse_OUTCOME_WAIT, nil
	}
	response, _, err := i.askLeader(ctx, address, &wasabistandv1.JoinRequest{Established: true, Leaving: true})
	return response.GetOutcome(), err
}

// replaceLeaving decides on the request of a leaving member at the leader. The manager's
// next step replaces the member.
func (mm *membershipManager) replaceLeaving(ctx context.Context, id string, s wasabiraft.Status) (wasabistandv1.JoinResponse_Outcome, error) {
	for _, m := range s.Members {
		if m.ID != id {
			continue
		}
		if !m.Voter || !wasabiform.New(mm.options).CanLeave(time.Now(), s.ID, plannerMembers(s)) {
			return wasabistandv1.JoinResponse_OUTCOME_STAYS, nil
		}
		mm.recordLeaving(time.Now(), id)
		signal(mm.wake)
		return wasabistandv1.JoinResponse_OUTCOME_WAIT, nil
	}
	// The removal must be committed before the member relies on it.
	if err := mm.group.confirmer.confirm(ctx); err != nil {
		return wasabistandv1.JoinResponse_OUTCOME_WAIT, err
	}
	return wasabistandv1.JoinResponse_OUTCOME_REMOVED, nil
}

// recordLeaving records that a member asked to be replaced, and drops requests that have
// expired.
func (mm *membershipManager) recordLeaving(now time.Time, id string) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	for other, at := range mm.leaving {
		if now.Sub(at) >= leavingExpiry {
			delete(mm.leaving, other)
		}
	}
	mm.leaving[id] = now
}

// isLeaving reports whether a member asked lately to be replaced.
func (mm *membershipManager) isLeaving(now time.Time, id string) bool {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	at, ok := mm.leaving[id]
	return ok && now.Sub(at) < leavingExpiry
}
