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
	// ErrFull means that the disk is full or the quota is exceeded. The call
	// may be retried.
	ErrFull = errs.Class("disk full")
	// ErrFailed means that the disk refused an operation for another reason,
	// such as an I/O error. The call may be retried.
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

// OperationError is an error of the file system with the operation and the file.
type OperationError struct {
	Operation Operation
	File      string
	Err       error
}

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Operation, e.File, e.Err)
}

// Unwrap returns the error of the file system.
func (e *OperationError) Unwrap() error { return e.Err }

// Operation names an operation of the file system.
type Operation string

// The operations that an OperationError names.
const (
	OperationOpen     Operation = "open"
	OperationRead     Operation = "read"
	OperationWrite    Operation = "write"
	OperationSync     Operation = "sync"
	OperationClose    Operation = "close"
	OperationTruncate Operation = "truncate"
	OperationRename   Operation = "rename"
	OperationRemove   Operation = "remove"
	OperationSyncDir  Operation = "syncdir"
	OperationLock     Operation = "lock"
	OperationMkdir    Operation = "mkdir"
)

// IsTemporary reports whether an error may pass without anyone opening the store
// again: the same call may be retried. Nothing that the failed call was to write
// counts as durable until a retry has succeeded.
func IsTemporary(err error) bool { return ErrFull.Has(err) || ErrFailed.Has(err) }

// isFull reports whether the disk is full or the quota is exceeded; freeing
// space clears both.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func isReadOnly(err error) bool {
	return errors.Is(err, syscall.EROFS) || errors.Is(err, fs.ErrPermission)
}

// classify wraps an error from the file system by its cause. It returns nil for
// nil.
func classify(o Operation, file string, err error) error {
	if err == nil {
		return nil
	}
	operationErr := &OperationError{o, file, err}
	switch {
	case isFull(err):
		return ErrFull.Wrap(operationErr)
	case isReadOnly(err):
		return ErrReadOnly.Wrap(operationErr)
	case errors.Is(err, fs.ErrNotExist):
		// A file that was removed by someone else does not come back.
		return Error.Wrap(operationErr)
	default:
		return ErrFailed.Wrap(operationErr)
	}
}
