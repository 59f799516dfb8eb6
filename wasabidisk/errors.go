package wasabidisk

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"

	"github.com/zeebo/errs"
)

// Error classes of this package.
var (
	// Error is the class of errors that no other class covers.
	Error = errs.Class("disk")
	// ErrLocked means that another process uses the data folder.
	ErrLocked = errs.Class("data folder locked")
	// ErrOtherCluster means that the folder belongs to another cluster.
	ErrOtherCluster = errs.Class("data folder of another cluster")
	// ErrNewerFormat means that a later release wrote the folder.
	ErrNewerFormat = errs.Class("newer data format")
	// ErrIncomplete means that files are missing, as in a partial copy.
	ErrIncomplete = errs.Class("incomplete data folder")
	// ErrReadOnly means that the folder is not writable.
	ErrReadOnly = errs.Class("read-only data folder")
	// ErrCorrupt means that synced data no longer matches its checksum. The
	// error contains a *CorruptError.
	ErrCorrupt = errs.Class("corrupt data")
	// ErrFull means that nothing was written because the disk is full. The
	// same write may be retried.
	ErrFull = errs.Class("disk full")
	// ErrFailed means that a write or sync failed. It is unknown which data is
	// durable, so the store refuses all later writes.
	ErrFailed = errs.Class("disk failed")
	// ErrClosed means that the store or folder was closed.
	ErrClosed = errs.Class("store closed")
)

// CorruptError reports the location of damage in synced data.
type CorruptError struct {
	File   string
	Offset int64
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s at offset %d: %s", e.File, e.Offset, e.Detail)
}

func newCorruptError(file string, offset int64, format string, a ...any) error {
	return ErrCorrupt.Wrap(&CorruptError{File: file, Offset: offset, Detail: fmt.Sprintf(format, a...)})
}

// isFull reports whether the disk is full or the quota is exceeded; freeing
// space clears both.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func isReadOnly(err error) bool {
	return errors.Is(err, syscall.EROFS) || errors.Is(err, fs.ErrPermission)
}

// classify wraps an error from the file system by its cause.
func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case isFull(err):
		return ErrFull.Wrap(err)
	case isReadOnly(err):
		return ErrReadOnly.Wrap(err)
	default:
		return Error.Wrap(err)
	}
}
