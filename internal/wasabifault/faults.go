package wasabifault

import (
	"errors"
	"slices"
)

// ErrSync is the error that FailSyncs injects.
var ErrSync = errors.New("injected sync failure")

// Operation is an operation of the file system that can fail.
type Operation string

// Operations that a Fault can name.
const (
	// Write appends half of the data before it fails.
	Write Operation = "write"
	// Sync is the sync of a file.
	Sync Operation = "sync"
	// Close closes the file although it fails.
	Close    Operation = "close"
	Truncate Operation = "truncate"
	// Create is the opening of a file that does not exist yet.
	Create  Operation = "create"
	Rename  Operation = "rename"
	Remove  Operation = "remove"
	SyncDir Operation = "syncdir"
)

// Operations lists all operations.
var Operations = []Operation{Write, Sync, Close, Truncate, Create, Rename, Remove, SyncDir}

// Fault makes operations fail.
type Fault struct {
	Err        error
	Operations []Operation
	// After is the number of these operations that succeed first.
	After int
	// Count is the number of these operations that fail, 0 for all until the
	// fault is replaced.
	Count int
}

// Inject replaces the current fault. The zero value ends it.
func (m *Memory) Inject(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Refusals returns the number of operations that faults have made fail.
func (m *Memory) Refusals() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refusals
}

// refusal returns the error of an operation, or nil if it may proceed.
func (m *Memory) refusal(o Operation) error {
	f := &m.fault
	if f.Err == nil || !slices.Contains(f.Operations, o) {
		return nil
	}
	if f.After > 0 {
		f.After--
		return nil
	}
	m.refusals++
	err := f.Err
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			*f = Fault{}
		}
	}
	return err
}

// FailSyncs makes n syncs of files fail after the given number of successes.
// Data that a failed sync should have made durable can be lost at the next
// crash, even if a later sync of the file succeeds, unless it was written again.
func (m *Memory) FailSyncs(successes, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncsBeforeFailure, m.syncsToFail = successes, n
}

// Kill simulates the end of the process while the machine runs on: files keep
// what was written, synced or not. Files that were open return errors from now
// on, and all locks are released.
func (m *Memory) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.locks = map[string]bool{}
}
