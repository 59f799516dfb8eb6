package wasabidisk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// writeFile replaces a file atomically: after a crash it holds either the old
// or the new contents. After an error it is unknown which of them it holds.
func writeFile(f FS, path, name string, parts ...[]byte) error {
	temporary := filepath.Join(path, name+".tmp")
	if err := writeTemporary(f, temporary, parts); err != nil {
		// The remains are truncated by a retry, or removed when the folder is
		// opened.
		_ = f.Remove(temporary)
		return err
	}
	if err := f.Rename(temporary, filepath.Join(path, name)); err != nil {
		return classify(OperationRename, temporary, err)
	}
	return syncDir(f, path)
}

func writeTemporary(f FS, name string, parts [][]byte) error {
	w, err := f.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
	if err != nil {
		return classify(OperationOpen, name, err)
	}
	for _, b := range parts {
		if _, err := w.Write(b); err != nil {
			_ = w.Close()
			return classify(OperationWrite, name, err)
		}
	}
	if err := w.Sync(); err != nil {
		_ = w.Close()
		return classify(OperationSync, name, err)
	}
	return classify(OperationClose, name, w.Close())
}

func syncDir(f FS, path string) error {
	return classify(OperationSyncDir, path, f.SyncDir(path))
}

// remove removes a file that may have been removed already.
func remove(f FS, name string) error {
	if err := f.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return classify(OperationRemove, name, err)
	}
	return nil
}
