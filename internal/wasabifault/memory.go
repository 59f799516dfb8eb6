// Package wasabifault provides an in-memory file system with fault injection,
// for crash recovery tests.
package wasabifault

import (
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

// Memory is an in-memory file system. Only synced data and names are guaranteed
// to survive Crash. It is safe for concurrent use.
type Memory struct {
	mu                 sync.Mutex
	files              map[string]*inode
	durableFiles       map[string]*inode
	unsyncedChanges    []folderChange // since the last SyncDir of the respective folder
	folders            map[string]bool
	locks              map[string]bool
	generation         int // incremented by Crash, to invalidate open files and locks
	capacity           int
	readOnly           bool
	syncsBeforeFailure int
	syncsToFail        int
	successfulSyncs    int
	fault              Fault
	refusals           int
}

type inode struct {
	data   []byte
	synced []byte
	// failed is the data at the last failed sync, nil after a sync that
	// succeeded. All of it or none of its unsynced part may be on the disk.
	failed []byte
	// Data from cleanFrom to cleanTo belongs to a failed sync: the kernel holds
	// it as if it were on the disk, so that no later sync writes it. Only what
	// replaces it does.
	cleanFrom, cleanTo int
}

// folderChange is an atomic change of the names in a folder. It maps a name to
// its new file, or to nil if the name is removed. A rename changes two names in
// one step.
type folderChange struct {
	folder string
	files  map[string]*inode
}

// New returns an empty file system.
func New() *Memory {
	return &Memory{
		files: map[string]*inode{}, durableFiles: map[string]*inode{},
		folders: map[string]bool{}, locks: map[string]bool{},
	}
}

// Crash simulates a power loss. The unsynced writes to a file are lost, truncated
// or partially written, and unsynced changes of names are lost from some point
// on. Files that were open return errors from now on, and all locks are released.
func (m *Memory) Crash(r *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.locks = map[string]bool{}
	for _, c := range m.unsyncedChanges[:r.IntN(len(m.unsyncedChanges)+1)] {
		m.apply(m.durableFiles, c)
	}
	m.unsyncedChanges = nil
	m.files = map[string]*inode{}
	list := make([]string, 0, len(m.durableFiles))
	for name := range m.durableFiles {
		list = append(list, name)
	}
	slices.Sort(list) // so that the same seed always causes the same crash
	for _, name := range list {
		f := m.durableFiles[name]
		f.data = contentAfterCrash(f, r)
		f.synced, f.failed = slices.Clone(f.data), nil
		f.cleanFrom, f.cleanTo = 0, 0
		m.files[name] = f
	}
}

// contentAfterCrash returns the synced data with a random part of the unsynced
// writes. Lost sectors among the unsynced writes are zero.
func contentAfterCrash(f *inode, r *rand.Rand) []byte {
	if f.failed != nil && r.IntN(3) == 0 {
		return slices.Clone(f.failed)
	}
	b := unsyncedContentAfterCrash(f, r)
	if from, to := min(f.cleanFrom, len(b)), min(f.cleanTo, len(b)); from < to && r.IntN(2) == 0 {
		clear(b[from:to])
	}
	return b
}

func unsyncedContentAfterCrash(f *inode, r *rand.Rand) []byte {
	n := len(f.synced)
	if len(f.data) < n || string(f.data[:n]) != string(f.synced) {
		// Truncated without a sync.
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
	for offset := n; offset < len(b); offset = (offset/sectorBytes + 1) * sectorBytes {
		if r.IntN(2) == 0 {
			clear(b[offset:min(len(b), (offset/sectorBytes+1)*sectorBytes)])
		}
	}
	return b
}

// apply applies a change to files.
func (m *Memory) apply(files map[string]*inode, c folderChange) {
	for name, f := range c.files {
		if f == nil {
			delete(files, name)
		} else {
			files[name] = f
		}
	}
}

// applyUnsynced changes the names in a folder. The change becomes durable with
// the next SyncDir.
func (m *Memory) applyUnsynced(folder string, files map[string]*inode) {
	c := folderChange{folder, files}
	m.apply(m.files, c)
	m.unsyncedChanges = append(m.unsyncedChanges, c)
}

// SetCapacity limits the total size of all files in bytes. 0 means no limit.
func (m *Memory) SetCapacity(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = n
}

// SetReadOnly sets whether all changes fail with EROFS.
func (m *Memory) SetReadOnly(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readOnly = on
}

// Syncs returns the number of successful syncs of files.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.successfulSyncs
}

// Used returns the total size of all files in bytes.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}

func (m *Memory) used() (n int) {
	for _, f := range m.files {
		n += len(f.data)
	}
	return n
}

// Edit replaces the content of a file and makes it durable.
func (m *Memory) Edit(name string, edit func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
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
	f := m.files[name]
	if f == nil && flag&os.O_CREATE != 0 {
		if err := m.refusal(Create); err != nil {
			return nil, err
		}
	}
	switch {
	case f == nil && flag&os.O_CREATE == 0:
		return nil, fs.ErrNotExist
	case f == nil:
		f = &inode{}
		m.applyUnsynced(filepath.Dir(name), map[string]*inode{name: f})
	case flag&os.O_TRUNC != 0:
		f.truncate(0)
	}
	return &openFile{m: m, inode: f, generation: m.generation}, nil
}

// ReadFile implements wasabidisk.FS.
func (m *Memory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
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
	names := map[string]bool{}
	addName := func(name string) {
		if rest, ok := strings.CutPrefix(name, path+"/"); ok {
			first, _, _ := strings.Cut(rest, "/")
			names[first] = true
		}
	}
	for name := range m.files {
		addName(name)
	}
	for name := range m.folders {
		addName(name)
	}
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list, nil
}

// Rename implements wasabidisk.FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[from]
	switch {
	case m.readOnly:
		return syscall.EROFS
	case f == nil:
		return fs.ErrNotExist
	}
	if err := m.refusal(Rename); err != nil {
		return err
	}
	m.applyUnsynced(filepath.Dir(to), map[string]*inode{from: nil, to: f})
	return nil
}

// Remove implements wasabidisk.FS.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.readOnly:
		return syscall.EROFS
	case m.files[name] == nil:
		return fs.ErrNotExist
	}
	if err := m.refusal(Remove); err != nil {
		return err
	}
	m.applyUnsynced(filepath.Dir(name), map[string]*inode{name: nil})
	return nil
}

// SyncDir implements wasabidisk.FS.
func (m *Memory) SyncDir(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refusal(SyncDir); err != nil {
		return err
	}
	remaining := m.unsyncedChanges[:0]
	for _, c := range m.unsyncedChanges {
		if c.folder == path {
			m.apply(m.durableFiles, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	m.unsyncedChanges = remaining
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
	return &lockHandle{m, name, m.generation}, nil
}

// String returns the name of the implementation.
func (m *Memory) String() string { return "memory" }

type lockHandle struct {
	m          *Memory
	name       string
	generation int
}

func (l *lockHandle) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if l.generation == l.m.generation {
		delete(l.m.locks, l.name)
	}
	return nil
}
