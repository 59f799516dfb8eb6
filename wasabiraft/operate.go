package wasabiraft

import (
	"context"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Status is what a member knows of its group.
type Status struct {
	ID      string
	Storage string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	// Snapshot is the index of the latest snapshot.
	Snapshot uint64
	// Full says that the disk has no room and the member waits for it.
	Full bool
	// Dropped counts messages for which the queue had no room.
	Dropped uint64
	Members []MemberStatus
}

// MemberStatus is one member. Match, Heard and Joining are known to the leader
// only.
type MemberStatus struct {
	ID      string
	Address string
	// Storage is the identity of the disk that counts, empty until known.
	Storage string
	Voter   bool
	// Match is the highest index that the member is known to have synced.
	Match uint64
	// Heard is when the member last answered.
	Heard time.Time
	// Joining is the identity of a new disk that waits to be admitted.
	Joining string
}

// Status returns what this replica knows of the group.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.self.ID, Storage: r.self.Storage, Role: r.role, Term: r.Term(), Leader: r.leader,
		Commit: r.log.commit, Applied: r.log.applied, Snapshot: r.snapshot.GetIndex(),
	}
	for _, m := range r.current().GetMembers() {
		x := MemberStatus{ID: m.GetId(), Address: m.GetAddress(), Storage: m.GetStorage(), Voter: m.GetVoter()}
		if p := r.progress[m.GetId()]; p != nil {
			x.Match, x.Heard = p.match, p.heard
			if p.joining != m.GetStorage() {
				x.Joining = p.joining
			}
		}
		s.Members = append(s.Members, x)
	}
	return s
}

// Status returns what this member knows of the group. After the runner has
// ended only the name is set.
func (r *Runner) Status() Status {
	s := Status{ID: r.config.Self.ID, Storage: r.config.Self.Storage}
	_ = r.call(context.Background(), func() {
		s = r.replica.Status()
		s.Applied, s.Full, s.Dropped = r.applied, r.full, r.dropped.Load()
	})
	return s
}

// ChangeMembers adds or removes one member and returns once the change is
// committed. An added member is started with Join on an empty folder; it
// becomes a voter by itself once it has caught up, which Status shows. A
// member that was removed comes back only with an empty folder. The errors are
// those of Propose, and ErrInvalid.
func (r *Runner) ChangeMembers(ctx context.Context, c MemberChange) error {
	result := make(chan error, 1)
	for {
		busy := false
		err := r.call(ctx, func() {
			if r.replica.Role() == Leader && !r.replica.mayChange() {
				busy = true
				return
			}
			index, _, err := r.replica.ChangeMembers(now(), c)
			if err != nil || index == 0 {
				result <- err
				return
			}
			r.changes[index] = result
		})
		if err != nil {
			return wasabistand.ErrNotLeader.Wrap(err)
		}
		if !busy {
			break
		}
		select {
		case <-time.After(r.config.Settings.HeartbeatInterval):
		case <-ctx.Done():
			return wasabistand.ErrNotLeader.New("an earlier change of members is not committed yet: %v", ctx.Err())
		}
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return wasabistand.ErrUnknownOutcome.Wrap(ctx.Err())
	}
}

// Transfer hands leadership to another voter and returns once this member no
// longer leads. On a member that does not lead, or that is the only voter, it
// does nothing.
func (r *Runner) Transfer(ctx context.Context) error {
	poll := time.NewTicker(r.config.Settings.HeartbeatInterval / 4)
	defer poll.Stop()
	var asked time.Time
	for {
		leads := false
		err := r.call(ctx, func() {
			leads = r.replica.Role() == Leader
			if leads && time.Since(asked) > r.config.Settings.ElectionTimeout {
				asked = now()
				// Without another voter there is nobody to wait for.
				leads = r.replica.Transfer(asked, "") == nil
			}
		})
		if err != nil || !leads {
			return Error.Wrap(err)
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
}

type savedSnapshot struct {
	snapshot *wasabistandv1.LogSnapshot
	err      error
}

// takeSnapshot starts saving a snapshot when enough entries were applied
// since the last one. Writing it does not hold up the log.
func (r *Runner) takeSnapshot() {
	if r.saving || r.applied < r.taken+uint64(r.config.Settings.SnapshotEvery) {
		return
	}
	state, err := r.config.StateMachine.Snapshot()
	if err != nil {
		r.record(wasabistand.EventGroupMembers, "snapshot", err.Error())
		r.taken = r.applied // tried again after as many entries
		return
	}
	n := r.replica.SnapshotAt(r.applied, state)
	if n == nil {
		return
	}
	r.saving, r.taken = true, r.applied
	r.wait.Go(func() {
		r.saved <- savedSnapshot{n, r.config.Store.SaveSnapshot(n)}
	})
}

// snapshotSaved compacts the log behind a snapshot that is durable. After a
// failed sync the store refuses the next write, which ends the runner.
func (r *Runner) snapshotSaved(s savedSnapshot) {
	r.saving = false
	if s.err != nil {
		r.record(wasabistand.EventGroupMembers, "snapshot", s.err.Error())
		return
	}
	r.replica.Compact(s.snapshot)
	if err := r.config.Store.Compact(s.snapshot.GetIndex()); err != nil {
		r.record(wasabistand.EventGroupMembers, "compact", err.Error())
	}
}

// waitSaving waits for a snapshot that is being saved, so that it does not
// replace a newer one.
func (r *Runner) waitSaving() {
	if r.saving {
		r.snapshotSaved(<-r.saved)
	}
}
