package wasabiraft

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabidisk"
)

// diskRetryInterval is the time between write attempts on a disk that refuses
// them.
const diskRetryInterval = 250 * time.Millisecond

// DiskStatus describes whether a member's disk accepts writes.
type DiskStatus struct {
	// Err is the latest error while the disk refuses a write that the member
	// needs, otherwise nil.
	Err error
	// Since is the time of the first of these errors.
	Since time.Time
	// Errors counts all errors of the disk.
	Errors map[DiskError]uint64
}

// DiskError is a kind of error of a disk.
type DiskError struct {
	// Class is "full", "failed", "read-only" or "other".
	Class string
	// Operation is the operation that failed, empty if unknown.
	Operation wasabidisk.Operation
}

func diskErrorOf(err error) DiskError {
	e := DiskError{Class: "other"}
	switch {
	case wasabidisk.ErrFull.Has(err):
		e.Class = "full"
	case wasabidisk.ErrReadOnly.Has(err):
		e.Class = "read-only"
	case wasabidisk.ErrFailed.Has(err):
		e.Class = "failed"
	}
	if o := new(wasabidisk.OperationError); errors.As(err, &o) {
		e.Operation = o.Operation
	}
	return e
}

// diskMonitor holds the status of a disk. It is safe for concurrent use.
type diskMonitor struct {
	mu     sync.Mutex
	err    error
	since  time.Time
	errors map[DiskError]uint64
}

func (d *diskMonitor) count(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.errors == nil {
		d.errors = map[DiskError]uint64{}
	}
	d.errors[diskErrorOf(err)]++
}

// setRefusal sets the error of a write that the member waits for. It returns
// whether the disk accepted writes before.
func (d *diskMonitor) setRefusal(now time.Time, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.err == nil
	if first {
		d.since = now
	}
	d.err = err
	return first
}

// clearRefusal returns how long the disk refused writes, 0 if it did not.
func (d *diskMonitor) clearRefusal(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		return 0
	}
	d.err = nil
	return now.Sub(d.since)
}

func (d *diskMonitor) refuses() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err != nil
}

func (d *diskMonitor) status() DiskStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := DiskStatus{Err: d.err, Errors: maps.Clone(d.errors)}
	if d.err != nil {
		s.Since = d.since
	}
	return s
}

// save writes the work that Ready returned to disk. It retries until the disk
// accepts it. The replica sends nothing until then, so the group continues without
// it.
func (r *Runner) save(d Ready) error {
	store := r.config.Store
	if n := d.Snapshot; n != nil {
		r.waitForSnapshot()
		if err := r.retryWhileRefused(func() error { return store.SaveSnapshot(n) }); err != nil {
			return err
		}
		if err := r.retryWhileRefused(func() error { return store.Reset(n.GetIndex(), n.GetTerm()) }); err != nil {
			return err
		}
	}
	return r.retryWhileRefused(func() error { return store.Save(d.HardState, d.Entries) })
}

// retryWhileRefused repeats a write until the disk accepts it. It returns an
// error that does not pass, or errStopped.
func (r *Runner) retryWhileRefused(write func() error) error {
	for {
		err := write()
		if err != nil {
			r.disk.count(err)
		}
		if !wasabidisk.IsTemporary(err) {
			if d := r.disk.clearRefusal(time.Now()); err == nil && d > 0 {
				r.record(wasabistand.EventDiskAccepted, "After", d.String())
			}
			return err
		}
		if r.disk.setRefusal(time.Now(), err) {
			r.leader.Store(&leaderInfo{})
			r.failPending(wasabistand.ErrUnknownOutcome.New("the disk refuses writes: %v", err))
			e := diskErrorOf(err)
			r.recordFields(wasabistand.EventDiskRefused, wasabistand.HeaderField{Name: "Class", Value: e.Class},
				wasabistand.HeaderField{Name: "Operation", Value: string(e.Operation)}, wasabistand.HeaderField{Name: "Error", Value: err.Error()})
		}
		if !r.waitForDisk() {
			return errStopped
		}
	}
}

// waitForDisk handles what does not need the disk until the next attempt. It
// returns false if the runner is stopped.
func (r *Runner) waitForDisk() bool {
	if l := r.leader.Load(); l.id != "" && time.Since(r.observedLeaderAt) > r.config.Settings.ElectionTimeout {
		r.leader.Store(&leaderInfo{term: l.term})
	}
	retry := time.NewTimer(diskRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-r.stop:
			return false
		case m := <-r.incoming:
			r.observeLeader(m)
		case p := <-r.proposals:
			p.complete(nil, wasabistand.ErrNotLeader.New("the disk refuses writes"))
		case s := <-r.snapshotResults:
			// Its compaction may make room.
			r.handleSnapshotResult(s)
		case f := <-r.calls:
			f()
		case <-retry.C:
			return true
		}
	}
}

// observeLeader publishes the sender of a leader's message, so that callers find
// the leader while the messages themselves can't be handled.
func (r *Runner) observeLeader(m *message) {
	switch m.GetKind() {
	case wasabistandv1.GroupMessage_KIND_APPEND, wasabistandv1.GroupMessage_KIND_HEARTBEAT, wasabistandv1.GroupMessage_KIND_SNAPSHOT:
	default:
		return
	}
	l, address := r.leader.Load(), r.replica.AddressOf(m.GetFrom())
	if address == "" || m.GetTerm() < max(r.replica.Term(), l.term) {
		return
	}
	r.observedLeaderAt = time.Now()
	r.leader.Store(&leaderInfo{id: m.GetFrom(), address: address, term: m.GetTerm()})
}

// recordDiskError counts and records an error that the member does not wait for.
func (r *Runner) recordDiskError(what string, err error) {
	r.disk.count(err)
	r.record(wasabistand.EventDiskRefused, what, err.Error())
}
