package wasabiraft

import (
	"context"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Status is the state of a group as seen by one member.
type Status struct {
	ID      string
	Storage string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	// SnapshotIndex is the index of the latest snapshot.
	SnapshotIndex uint64
	// Disk describes whether the member's disk accepts writes. While it does
	// not, the member leads no more, and Leader is the member whose messages it
	// receives.
	Disk DiskStatus
	// DroppedMessages is the number of messages dropped because the queue was
	// full.
	DroppedMessages uint64
	// LeaderContact is the time of the latest message from a leader, zero for none
	// since the start.
	LeaderContact time.Time
	Members       []MemberStatus
}

// MemberStatus is the status of one member. Match, LastContact, CaughtUpAt and
// JoiningStorage are set only on the leader.
type MemberStatus struct {
	ID      string
	Address string
	// Storage is the identity of the disk that holds the membership, empty until
	// it is recorded.
	Storage string
	Voter   bool
	// Match is the highest index that the member is known to have synced.
	Match uint64
	// LastContact is the time of the last response from the member or, until the
	// first response, the time at which the leader began to replicate to it.
	LastContact time.Time
	// Led is set for the leader of the term before. Its LastContact is that of its last
	// message to this member as a follower, until it responds.
	Led bool
	// CaughtUpAt is when the member last had all committed entries, zero for never.
	CaughtUpAt time.Time
	// JoiningStorage is the identity of a new disk that waits to be admitted,
	// empty for none.
	JoiningStorage string
}

// Status returns the state of the group as seen by this replica.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.self.ID, Storage: r.self.Storage, Role: r.role, Term: r.Term(), Leader: r.leader,
		Commit: r.log.commit, Applied: r.log.applied, SnapshotIndex: r.snapshot.GetIndex(),
		LeaderContact: r.lastLeaderContact,
	}
	for _, m := range r.currentMembers().GetMembers() {
		x := MemberStatus{ID: m.GetId(), Address: m.GetAddress(), Storage: m.GetStorage(), Voter: m.GetVoter()}
		if p := r.progress[m.GetId()]; p != nil {
			x.Match, x.LastContact, x.Led, x.CaughtUpAt = p.match, p.lastContact, p.led, p.caughtUpAt
			if p.joiningStorage != m.GetStorage() {
				x.JoiningStorage = p.joiningStorage
			}
		}
		s.Members = append(s.Members, x)
	}
	return s
}

// Status returns the state of the group as seen by this member. After the
// runner has ended, only ID and Storage are set.
func (r *Runner) Status() Status {
	s := Status{ID: r.config.Self.ID, Storage: r.config.Self.Storage}
	_ = r.runInLoop(context.Background(), func() {
		s = r.replica.Status()
		s.Applied, s.DroppedMessages = r.applied, r.dropped.Load()
		if r.disk.refuses() {
			s.Role, s.Leader, s.LeaderContact = Follower, r.leader.Load().id, r.observedLeaderAt
		}
	})
	s.Disk = r.disk.status()
	return s
}

// ChangeMembers adds or removes one member and returns once the change is
// committed. An added member must be started with Join on an empty data folder, or its
// disk must be named. It is promoted to a voter once it has caught up, which Status
// shows. The errors are those of Propose, and ErrInvalid.
func (r *Runner) ChangeMembers(ctx context.Context, c MemberChange) error {
	result := make(chan error, 1)
	for {
		busy := false
		err := r.runInLoop(ctx, func() {
			if r.disk.refuses() {
				result <- wasabistand.ErrNotLeader.New("the disk refuses writes")
				return
			}
			if r.replica.Role() == Leader && !r.replica.canChangeMembers() {
				busy = true
				return
			}
			index, _, err := r.replica.ChangeMembers(now(), c)
			if err != nil || index == 0 {
				result <- err
				return
			}
			r.pendingChanges[index] = result
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

// Transfer transfers leadership to another voter and returns once this member is
// no longer the leader. It does nothing on a member that is not the leader, or if no
// other voter responds.
func (r *Runner) Transfer(ctx context.Context) error {
	poll := time.NewTicker(r.config.Settings.HeartbeatInterval / 4)
	defer poll.Stop()
	var requestedAt time.Time
	for {
		leads := false
		err := r.runInLoop(ctx, func() {
			leads = r.replica.Role() == Leader && !r.disk.refuses()
			if leads && time.Since(requestedAt) > r.config.Settings.ElectionTimeout {
				requestedAt = now()
				// Without another voter that responds there is no transfer to wait for.
				leads = r.replica.Transfer(requestedAt, "") == nil
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

type snapshotResult struct {
	snapshot *wasabistandv1.LogSnapshot
	err      error
}

// takeSnapshot takes a snapshot if enough entries were applied since the last
// one. It is written in the background, so that the log is not blocked.
func (r *Runner) takeSnapshot() {
	if r.savingSnapshot || r.applied < r.snapshotIndex+uint64(r.config.Settings.SnapshotEvery) {
		return
	}
	state, err := r.config.StateMachine.Snapshot()
	if err != nil {
		r.record(wasabistand.EventGroupMembers, "snapshot", err.Error())
		r.snapshotIndex = r.applied // retried after another SnapshotEvery entries
		return
	}
	n := r.replica.SnapshotAt(r.applied, state)
	if n == nil {
		return
	}
	r.savingSnapshot, r.snapshotIndex = true, r.applied
	r.goroutines.Go(func() {
		r.snapshotResults <- snapshotResult{n, r.config.Store.SaveSnapshot(n)}
	})
}

// handleSnapshotResult compacts the log up to a snapshot that was saved. What
// failed is done with the next snapshot.
func (r *Runner) handleSnapshotResult(s snapshotResult) {
	r.savingSnapshot = false
	if s.err != nil {
		r.recordDiskError("snapshot", s.err)
		return
	}
	r.replica.Compact(s.snapshot)
	if err := r.config.Store.Compact(s.snapshot.GetIndex()); err != nil {
		r.recordDiskError("compact", err)
	}
}

// waitForSnapshot waits until the snapshot that is being saved is written, so
// that it does not overwrite a newer one.
func (r *Runner) waitForSnapshot() {
	if r.savingSnapshot {
		r.handleSnapshotResult(<-r.snapshotResults)
	}
}
