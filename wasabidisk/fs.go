package wasabidisk

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the set of file system operations that a store uses.
type FS interface {
	MkdirAll(path string) error
	// OpenFile takes the flags of package os. Files opened for writing are
	// opened with os.O_APPEND.
	OpenFile(name string, flag int) (File, error)
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the sorted names in a folder.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in a folder
	// durable.
	SyncDir(path string) error
	// Lock takes an exclusive lock that is released when the process ends. It
	// returns an error of class ErrLocked when another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open, append-only file.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// OS is the operating system's file system.
type OS struct{}

// MkdirAll creates a folder and its parents.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, 0o750) }

// OpenFile opens a file.
func (OS) OpenFile(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, 0o640)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReadFile returns a file's contents.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir returns the sorted names in a folder.
func (OS) ReadDir(path string) ([]string, error) {
	list, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.Name()
	}
	return names, nil
}

// Rename renames a file, replacing the target if it exists.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs a folder.
func (OS) SyncDir(path string) error {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks a file with flock.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked.New("%s: another process uses this data folder", name)
		}
		return nil, err
	}
	return f, nil
}

// String returns the name of the implementation.
func (OS) String() string { return "os" }
