// Package wasabifault is a file system in memory that fails on demand, for
// tests of what survives a crash.
package wasabifault

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/wasabistand/wasabistand/wasabidisk"
)

// sectorBytes is the unit in which unsynced writes reach the disk.
const sectorBytes = 512

// ErrSync is the failure that FailSyncs injects.
var ErrSync = errors.New("injected sync failure")

// Memory is a file system of which only synced data and names survive Crash.
// It is safe for concurrent use.
type Memory struct {
	mu         sync.Mutex
	names      map[string]*inode
	durable    map[string]*inode
	pending    []nameChange // since the last SyncDir of their folder
	folders    map[string]bool
	locks      map[string]bool
	generation int
	capacity   int
	readOnly   bool
	passSyncs  int
	failSyncs  int
	syncs      int
}

type inode struct {
	data   []byte
	synced []byte
}

// nameChange sets a name to a file, or removes it when the file is nil. The
// second name changes in the same step.
type nameChange struct {
	folder string
	set    map[string]*inode
}

// New returns an empty file system.
func New() *Memory {
	return &Memory{
		names: map[string]*inode{}, durable: map[string]*inode{},
		folders: map[string]bool{}, locks: map[string]bool{},
	}
}

// Crash loses what was not synced: each unsynced write is lost, cut, or
// written in part, and unsynced changes of names are undone from some point
// on. Open files fail from now on, and locks are free.
func (m *Memory) Crash(r *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.locks = map[string]bool{}
	for _, c := range m.pending[:r.IntN(len(m.pending)+1)] {
		m.apply(m.durable, c)
	}
	m.pending = nil
	m.names = map[string]*inode{}
	list := make([]string, 0, len(m.durable))
	for name := range m.durable {
		list = append(list, name)
	}
	slices.Sort(list) // so that a seed always gives the same crash
	for _, name := range list {
		f := m.durable[name]
		f.data = survivor(f, r)
		f.synced = slices.Clone(f.data)
		m.names[name] = f
	}
}

func survivor(f *inode, r *rand.Rand) []byte {
	n := len(f.synced)
	if len(f.data) < n || string(f.data[:n]) != string(f.synced) {
		// Cut without a sync.
		if r.IntN(2) == 0 {
			return slices.Clone(f.synced)
		}
		return slices.Clone(f.data)
	}
	b := slices.Clone(f.data[:n+r.IntN(len(f.data)-n+1)])
	switch r.IntN(3) {
	case 0:
		return b[:n]
	case 1:
		return b
	}
	for at := n; at < len(b); at = (at/sectorBytes + 1) * sectorBytes {
		if r.IntN(2) == 0 {
			clear(b[at:min(len(b), (at/sectorBytes+1)*sectorBytes)])
		}
	}
	return b
}

func (m *Memory) apply(names map[string]*inode, c nameChange) {
	for name, f := range c.set {
		if f == nil {
			delete(names, name)
		} else {
			names[name] = f
		}
	}
}

func (m *Memory) change(folder string, set map[string]*inode) {
	c := nameChange{folder, set}
	m.apply(m.names, c)
	m.pending = append(m.pending, c)
}

// FailSyncs lets n syncs of files fail after some that pass. Data that a
// failed sync was to make durable is lost at the next crash, even if a later
// sync succeeds.
func (m *Memory) FailSyncs(pass, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passSyncs, m.failSyncs = pass, n
}

// SetCapacity bounds the bytes of all files, 0 for no bound.
func (m *Memory) SetCapacity(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = n
}

// SetReadOnly refuses all changes.
func (m *Memory) SetReadOnly(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readOnly = on
}

// Syncs returns how many syncs of files succeeded.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Used returns the bytes of all files.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}

func (m *Memory) used() (n int) {
	for _, f := range m.names {
		n += len(f.data)
	}
	return n
}

// Edit replaces a file's durable contents.
func (m *Memory) Edit(name string, edit func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	f.data = edit(f.data)
	f.synced = slices.Clone(f.data)
}

// MkdirAll implements wasabidisk.FS.
func (m *Memory) MkdirAll(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readOnly && !m.folders[path] {
		return syscall.EROFS
	}
	for p := path; !m.folders[p]; p = filepath.Dir(p) {
		m.folders[p] = true
	}
	return nil
}

// OpenFile implements wasabidisk.FS.
func (m *Memory) OpenFile(name string, flag int) (wasabidisk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readOnly {
		return nil, syscall.EROFS
	}
	f := m.names[name]
	switch {
	case f == nil && flag&os.O_CREATE == 0:
		return nil, fs.ErrNotExist
	case f == nil:
		f = &inode{}
		m.change(filepath.Dir(name), map[string]*inode{name: f})
	case flag&os.O_TRUNC != 0:
		f.data = nil
	}
	return &handle{m: m, f: f, generation: m.generation}, nil
}

// ReadFile implements wasabidisk.FS.
func (m *Memory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// ReadDir implements wasabidisk.FS.
func (m *Memory) ReadDir(path string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.folders[path] {
		return nil, fs.ErrNotExist
	}
	found := map[string]bool{}
	note := func(name string) {
		if rest, ok := strings.CutPrefix(name, path+"/"); ok {
			first, _, _ := strings.Cut(rest, "/")
			found[first] = true
		}
	}
	for name := range m.names {
		note(name)
	}
	for name := range m.folders {
		note(name)
	}
	list := make([]string, 0, len(found))
	for name := range found {
		list = append(list, name)
	}
	slices.Sort(list)
	return list, nil
}

// Rename implements wasabidisk.FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[from]
	switch {
	case m.readOnly:
		return syscall.EROFS
	case f == nil:
		return fs.ErrNotExist
	}
	m.change(filepath.Dir(to), map[string]*inode{from: nil, to: f})
	return nil
}

// Remove implements wasabidisk.FS.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.readOnly:
		return syscall.EROFS
	case m.names[name] == nil:
		return fs.ErrNotExist
	}
	m.change(filepath.Dir(name), map[string]*inode{name: nil})
	return nil
}

// SyncDir implements wasabidisk.FS.
func (m *Memory) SyncDir(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := m.pending[:0]
	for _, c := range m.pending {
		if c.folder == path {
			m.apply(m.durable, c)
		} else {
			kept = append(kept, c)
		}
	}
	m.pending = kept
	return nil
}

// Lock implements wasabidisk.FS.
func (m *Memory) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.readOnly:
		return nil, syscall.EROFS
	case m.locks[name]:
		return nil, wasabidisk.ErrLocked.New("%s", name)
	}
	m.locks[name] = true
	return &unlock{m, name, m.generation}, nil
}

// String names the implementation.
func (m *Memory) String() string { return "memory" }

type unlock struct {
	m          *Memory
	name       string
	generation int
}

func (u *unlock) Close() error {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	if u.generation == u.m.generation {
		delete(u.m.locks, u.name)
	}
	return nil
}

type handle struct {
	m          *Memory
	f          *inode
	generation int
	// lost is set by a failed sync: the kernel may have dropped the pages.
	lost bool
}

var errCrashed = errors.New("the process that opened this file has crashed")

func (h *handle) Write(b []byte) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.generation != h.m.generation {
		return 0, errCrashed
	}
	n := len(b)
	if h.m.capacity > 0 {
		n = max(0, min(n, h.m.capacity-h.m.used()))
	}
	h.f.data = append(h.f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *handle) Sync() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	switch {
	case h.generation != h.m.generation:
		return errCrashed
	case h.m.failSyncs > 0 && h.m.passSyncs > 0:
		h.m.passSyncs--
	case h.m.failSyncs > 0:
		h.m.failSyncs--
		h.lost = true
		return ErrSync
	}
	if !h.lost {
		h.f.synced = slices.Clone(h.f.data)
	}
	h.m.syncs++
	return nil
}

func (h *handle) Truncate(size int64) error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.generation != h.m.generation {
		return errCrashed
	}
	h.f.data = slices.Clone(h.f.data[:size])
	return nil
}

func (h *handle) Close() error { return nil }
