// Package wasabidisk stores the logs and snapshots of replicated groups in one
// data folder. Data that a method reports as written has been synced. The
// package does not decide what is written, nor what a replica does after a
// failure.
//
// The folder contains:
//
//	lock                       held with flock while a process uses the folder
//	identity                   cluster name, format version, storage identity
//	groups/<group>/log-<n>     segments of the log, numbered from 1
//	groups/<group>/snapshot-<index>
//
// A copy of a folder must be complete: a missing file or segment is an error. A
// copy that lacks only the end of the last segment can't be distinguished from
// the state after a crash, so a folder that was copied while in use must not be
// opened.
package wasabidisk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
)

// Identity identifies the owner and the contents of a data folder.
type Identity struct {
	// Cluster is the name of the cluster.
	Cluster string
	// Format is the version of the folder's layout.
	Format int
	// Storage is a random identity, generated once when the folder is created,
	// so that a replaced disk can be distinguished from the previous one.
	Storage string
	// Groups are the groups whose first segment is durable.
	Groups []string
}

// Folder is a locked data folder. It is safe for concurrent use.
type Folder struct {
	fs       FS
	path     string
	lock     io.Closer
	mu       sync.Mutex
	identity Identity
	stores   map[string]*Store
	closed   bool
}

// Open locks the data folder at path and checks that it belongs to the
// cluster. A folder that does not exist or is empty is initialized.
func Open(f FS, path, cluster string) (*Folder, error) {
	if cluster == "" {
		return nil, Error.New("cluster name is empty")
	}
	if err := f.MkdirAll(filepath.Join(path, "groups")); err != nil {
		return nil, classify(OperationMkdir, path, err)
	}
	lockName := filepath.Join(path, "lock")
	lock, err := f.Lock(lockName)
	if err != nil {
		if ErrLocked.Has(err) {
			return nil, err
		}
		return nil, classify(OperationLock, lockName, err)
	}
	d := &Folder{fs: f, path: path, lock: lock, stores: map[string]*Store{}}
	if err := d.load(cluster); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return d, nil
}

// load reads and checks the identity file, or writes a new one if the folder is
// empty.
func (d *Folder) load(cluster string) error {
	name := filepath.Join(d.path, "identity")
	b, err := d.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		groups, err := d.fs.ReadDir(filepath.Join(d.path, "groups"))
		if err != nil {
			return classify(OperationRead, d.path, err)
		}
		if len(groups) > 0 {
			return ErrIncomplete.New("%s is missing but groups exist: %s", name, strings.Join(groups, ", "))
		}
		var random [16]byte
		if _, err := rand.Read(random[:]); err != nil {
			return Error.Wrap(err)
		}
		return d.writeIdentity(Identity{Cluster: cluster, Format: Version, Storage: hex.EncodeToString(random[:])})
	}
	if err != nil {
		return classify(OperationRead, name, err)
	}
	if len(b) == 0 {
		return ErrIncomplete.New("%s is empty", name)
	}
	r, version, ok := parseRecord(b)
	switch {
	case !ok:
		return newCorruptError(name, 0, "checksum does not match")
	case version > Version:
		return ErrNewerFormat.New("%s has format %d: this release reads up to %d", name, version, Version)
	case r.kind != kindIdentity:
		return newCorruptError(name, 0, "record kind %d is not an identity", r.kind)
	}
	var id Identity
	if err := toml.Unmarshal(r.body, &id); err != nil {
		return newCorruptError(name, 0, "%v", err)
	}
	if id.Format > Version {
		return ErrNewerFormat.New("%s has format %d: this release reads up to %d", name, id.Format, Version)
	}
	if id.Cluster != cluster {
		return ErrOtherCluster.New("%s names cluster %q: expected %q", name, id.Cluster, cluster)
	}
	if id.Storage == "" {
		return newCorruptError(name, 0, "no storage identity")
	}
	// An earlier process may have failed between the rename of the file and the
	// sync of the folder.
	if err := syncDir(d.fs, d.path); err != nil {
		return err
	}
	d.identity = id
	return nil
}

func (d *Folder) writeIdentity(id Identity) error {
	text, err := toml.Marshal(id)
	if err != nil {
		return Error.Wrap(err)
	}
	b, err := appendBytes(nil, kindIdentity, 0, text)
	if err != nil {
		return err
	}
	if err := writeFile(d.fs, d.path, "identity", b); err != nil {
		return err
	}
	d.identity = id
	return nil
}

// Identity returns the identity of the folder.
func (d *Folder) Identity() Identity {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.identity
	id.Groups = slices.Clone(id.Groups)
	return id
}

// Group opens the store of one group and creates it if it does not exist. The
// name consists of 1 to 64 letters, digits, "-" and "_".
func (d *Folder) Group(name string, o Options) (*Store, error) {
	if !isValidGroupName(name) {
		return nil, Error.New("group name %q: allowed are 1 to 64 letters, digits, - and _", name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed.New("%s", d.path)
	}
	if _, ok := d.stores[name]; ok {
		return nil, ErrLocked.New("group %s is already open", name)
	}
	listed := slices.Contains(d.identity.Groups, name)
	s, err := openStore(d.fs, filepath.Join(d.path, "groups", name), name, listed, o)
	if err != nil {
		return nil, err
	}
	if !listed {
		id := d.identity
		id.Groups = append(slices.Clone(id.Groups), name)
		if err := d.writeIdentity(id); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	s.onClose = func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.stores, name)
	}
	d.stores[name] = s
	return s, nil
}

func isValidGroupName(name string) bool {
	return name != "" && len(name) <= 64 && strings.IndexFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_'
	}) < 0
}

// Close closes all stores and unlocks the folder.
func (d *Folder) Close() error {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return nil
	}
	d.closed = true
	list := make([]*Store, 0, len(d.stores))
	for _, s := range d.stores {
		list = append(list, s)
	}
	d.mu.Unlock()
	var closeErr error
	for _, s := range list {
		closeErr = errors.Join(closeErr, s.Close())
	}
	return errors.Join(closeErr, d.lock.Close())
}

// String returns the name of the implementation.
func (d *Folder) String() string { return "segments" }
