package wasabidisk

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

const snapshotPrefix = "snapshot-"

// snapshotPartBytes is the maximum amount of state in one record of a snapshot.
// It must be below MaxRecordBytes.
const snapshotPartBytes = 16 << 20

// SaveSnapshot writes and syncs a snapshot and removes older ones. It may run
// concurrently with Save. The log keeps its entries until Compact or Reset. After
// an error for which IsTemporary is true the same call may be retried.
func (s *Store) SaveSnapshot(n *wasabistandv1.LogSnapshot) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	meta := &wasabistandv1.LogSnapshot{
		Index: n.GetIndex(), Term: n.GetTerm(), Members: n.GetMembers(), Size: uint64(len(n.GetState())),
	}
	b, err := appendRecord(nil, kindSnapshotMeta, 0, func(b []byte) ([]byte, error) {
		return proto.MarshalOptions{}.MarshalAppend(b, meta)
	})
	if err != nil {
		return err
	}
	parts := [][]byte{b}
	for state := n.GetState(); len(state) > 0; {
		k := min(len(state), snapshotPartBytes)
		p, err := appendBytes(nil, kindSnapshotState, 0, state[:k])
		if err != nil {
			return err
		}
		parts, state = append(parts, p), state[k:]
	}
	if err := writeFile(s.fs, s.path, snapshotName(n.GetIndex()), parts...); err != nil {
		// The older snapshot and the log are unchanged.
		return err
	}
	names, err := s.fs.ReadDir(s.path)
	if err != nil {
		return classify(OperationRead, s.path, err)
	}
	for _, name := range names {
		if i, ok := snapshotIndex(name); ok && i < n.GetIndex() {
			if err := remove(s.fs, filepath.Join(s.path, name)); err != nil {
				return err
			}
		}
	}
	return nil
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

func snapshotIndex(name string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, snapshotPrefix)
	if !ok || len(text) != 16 {
		return 0, false
	}
	i, err := strconv.ParseUint(text, 16, 64)
	return i, err == nil
}

// loadSnapshot reads the latest snapshot and returns nil when there is none.
func loadSnapshot(f FS, path string, names []string) (*wasabistandv1.LogSnapshot, error) {
	latest := ""
	for _, name := range names {
		if _, ok := snapshotIndex(name); ok && name > latest {
			latest = name
		}
	}
	if latest == "" {
		return nil, nil
	}
	name := filepath.Join(path, latest)
	b, err := f.ReadFile(name)
	if err != nil {
		return nil, classify(OperationRead, name, err)
	}
	n := new(wasabistandv1.LogSnapshot)
	for offset := 0; offset < len(b); {
		r, version, ok := parseRecord(b[offset:])
		switch {
		case !ok:
			return nil, newCorruptError(name, int64(offset), "checksum does not match")
		case version > Version:
			return nil, ErrNewerFormat.New("%s has format %d: this release reads up to %d", name, version, Version)
		case r.kind == kindSnapshotMeta && offset == 0:
			if err := proto.Unmarshal(r.body, n); err != nil {
				return nil, newCorruptError(name, 0, "%v", err)
			}
		case r.kind == kindSnapshotState && offset > 0:
			n.State = append(n.State, r.body...)
		default:
			return nil, newCorruptError(name, int64(offset), "unexpected record kind %d", r.kind)
		}
		offset += r.size
	}
	if index, _ := snapshotIndex(latest); n.GetIndex() != index || n.GetSize() != uint64(len(n.GetState())) {
		return nil, ErrIncomplete.New("%s holds %d of %d bytes at index %d", name, len(n.GetState()), n.GetSize(), n.GetIndex())
	}
	n.Size = 0
	return n, nil
}
