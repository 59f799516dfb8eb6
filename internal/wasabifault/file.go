package wasabifault

import (
	"errors"
	"slices"
	"syscall"
)

type openFile struct {
	m          *Memory
	inode      *inode
	generation int
	// syncFailed is set by a failed sync: a later sync of the same open file can
	// succeed although the data was lost.
	syncFailed bool
}

var errCrashed = errors.New("the process that opened this file has crashed")

func (h *openFile) Write(b []byte) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.generation != h.m.generation {
		return 0, errCrashed
	}
	if err := h.m.refusal(Write); err != nil {
		h.inode.data = append(h.inode.data, b[:len(b)/2]...)
		return len(b) / 2, err
	}
	n := len(b)
	if h.m.capacity > 0 {
		n = max(0, min(n, h.m.capacity-h.m.used()))
	}
	h.inode.data = append(h.inode.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *openFile) Sync() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	switch {
	case h.generation != h.m.generation:
		return errCrashed
	case h.m.syncsToFail > 0 && h.m.syncsBeforeFailure > 0:
		h.m.syncsBeforeFailure--
	case h.m.syncsToFail > 0:
		h.m.syncsToFail--
		h.failSync()
		return ErrSync
	}
	if err := h.m.refusal(Sync); err != nil {
		h.failSync()
		return err
	}
	if !h.syncFailed {
		h.inode.synced, h.inode.failed = slices.Clone(h.inode.data), nil
	}
	h.m.successfulSyncs++
	return nil
}

// failSync marks the unsynced data as clean, as kernels do with pages that can't
// be written.
func (h *openFile) failSync() {
	h.syncFailed = true
	f := h.inode
	if from := commonPrefix(f.data, f.synced); from < len(f.data) {
		if f.cleanFrom == f.cleanTo {
			f.cleanFrom = from
		}
		f.cleanFrom, f.cleanTo = min(f.cleanFrom, from), len(f.data)
	}
	f.failed = slices.Clone(f.data)
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func (h *openFile) Truncate(size int64) error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.generation != h.m.generation {
		return errCrashed
	}
	if err := h.m.refusal(Truncate); err != nil {
		return err
	}
	h.inode.truncate(int(size))
	return nil
}

func (f *inode) truncate(size int) {
	f.data = slices.Clone(f.data[:size])
	f.cleanFrom, f.cleanTo = min(f.cleanFrom, size), min(f.cleanTo, size)
}

func (h *openFile) Close() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.generation != h.m.generation {
		return nil
	}
	return h.m.refusal(Close)
}
