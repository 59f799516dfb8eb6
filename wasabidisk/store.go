package wasabidisk

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Options are the settings of a store. The value is immutable, and the zero
// value is ready to use.
type Options struct {
	segmentBytes int64
}

// WithSegmentBytes returns a copy that starts a new segment once the current
// one has reached n bytes.
func (o Options) WithSegmentBytes(n int64) Options {
	o.segmentBytes = n
	return o
}

// defaultSegmentBytes is small enough that compaction frees space soon, and
// large enough that the three syncs of a new segment are rare.
const defaultSegmentBytes = 8 << 20

// State is the content of a store when it was opened.
type State struct {
	// HardState is nil when none was written.
	HardState *wasabistandv1.HardState
	// Snapshot is nil when there is none.
	Snapshot *wasabistandv1.LogSnapshot
	// Entries follow the snapshot.
	Entries []*wasabistandv1.LogEntry
	// Torn is the incomplete batch that was truncated, or nil for none. It was
	// never reported as written.
	Torn *TornTail
}

// Empty reports whether nothing has ever been written.
func (s State) Empty() bool { return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0 }

// TornTail is an incomplete batch at the end of the log.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Store holds the log and the snapshots of one group. Save, Reset, Compact and
// Close must be called from one goroutine; SaveSnapshot may run concurrently
// with them.
type Store struct {
	fs      FS
	path    string
	group   string
	options Options
	state   State
	onClose func()

	mu     sync.Mutex
	failed error
	closed bool

	segments []segment // the last one is active
	// rolling is set until the segment before the active one is sealed.
	rolling bool
	// orphan is the path of a segment whose creation failed, empty for none.
	orphan string
	// unsyncedDir is set while a removal of a file may not be durable.
	unsyncedDir bool
	batch       uint64
	last        position
	hardState   *wasabistandv1.HardState
	buffer      []byte
}

// openStore replays a group's files. listed reports whether the identity file
// contains the group; if so, its log must exist.
func openStore(f FS, path, group string, listed bool, o Options) (*Store, error) {
	if o.segmentBytes <= 0 {
		o.segmentBytes = defaultSegmentBytes
	}
	if !listed {
		if err := f.MkdirAll(path); err != nil {
			return nil, classify(OperationMkdir, path, err)
		}
		if err := syncDir(f, filepath.Dir(path)); err != nil {
			return nil, err
		}
	}
	names, err := f.ReadDir(path)
	if err != nil {
		if listed && errors.Is(err, os.ErrNotExist) {
			return nil, ErrIncomplete.New("%s is missing", path)
		}
		return nil, classify(OperationRead, path, err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".tmp") {
			if err := remove(f, filepath.Join(path, name)); err != nil {
				return nil, err
			}
		}
	}
	s := &Store{fs: f, path: path, group: group, options: o}
	if s.state.Snapshot, err = loadSnapshot(f, path, names); err != nil {
		return nil, err
	}
	r, err := s.replaySegments(names, listed)
	if err != nil {
		return nil, err
	}
	if len(r.segments) == 0 {
		if listed || s.state.Snapshot != nil {
			return nil, ErrIncomplete.New("%s contains no log", path)
		}
		return opened(s, s.createSegment(1))
	}
	if !listed && (s.state.Snapshot != nil || len(r.segments) > 1 || r.segments[0].hasData) {
		return nil, ErrIncomplete.New("%s contains data, but the identity file does not name the group", path)
	}
	return opened(s, s.restore(r))
}

// opened returns the store, or closes its files if it could not be opened.
func opened(s *Store, err error) (*Store, error) {
	if err != nil {
		s.closeFiles()
		return nil, err
	}
	return s, nil
}

// replaySegments reads all segments in order and checks that none is missing.
func (s *Store) replaySegments(names []string, listed bool) (*replay, error) {
	r := &replay{path: s.path, group: s.group, snapshotIndex: s.state.Snapshot.GetIndex()}
	var sequences []uint64
	for _, name := range names {
		if n, ok := segmentSequence(name); ok {
			sequences = append(sequences, n)
		}
	}
	for i, n := range sequences {
		if n != sequences[0]+uint64(i) {
			return nil, ErrIncomplete.New("%s is missing", filepath.Join(s.path, segmentName(sequences[0]+uint64(i))))
		}
		name := filepath.Join(s.path, segmentName(n))
		b, err := s.fs.ReadFile(name)
		if err != nil {
			return nil, classify(OperationRead, name, err)
		}
		if err := r.readSegment(n, b); err != nil {
			return nil, err
		}
	}
	return r, s.checkSegments(r, listed)
}

// checkSegments returns an error if the files are in a state that no crash can
// cause.
func (s *Store) checkSegments(r *replay, listed bool) error {
	n := len(r.segments)
	for i, g := range r.segments {
		name := filepath.Join(s.path, segmentName(g.sequence))
		// A new segment is created before the previous one is sealed.
		rolling := i == n-2 && !r.segments[n-1].hasData && !r.segments[n-1].sealed
		switch {
		case i == n-1 && g.sealed:
			return ErrIncomplete.New("%s is followed by a segment that is missing", name)
		case i == n-1 && g.size == 0 && (i > 0 && r.segments[i-1].sealed || i == 0 && listed):
			return ErrIncomplete.New("%s is empty", name)
		case i < n-1 && !g.sealed && !rolling && g.torn != nil:
			return newCorruptError(name, g.torn.Offset, "the segment is truncated, and another follows")
		case i < n-1 && !g.sealed && !rolling:
			return ErrIncomplete.New("%s has no end mark, and another segment follows", name)
		}
	}
	return nil
}

// restore combines log and snapshot into the store's state and prepares the
// last segment for writing.
func (s *Store) restore(r *replay) error {
	snap := s.state.Snapshot
	if r.base.index > snap.GetIndex() {
		return ErrIncomplete.New("%s: the log starts after index %d, but the latest snapshot is at index %d",
			s.path, r.base.index, snap.GetIndex())
	}
	last := r.last()
	if h := r.hardState; h.GetCommitIndex() > max(last.index, snap.GetIndex()) {
		return ErrIncomplete.New("%s: index %d was committed, but the log ends at %d", s.path, h.GetCommitIndex(), last.index)
	}
	s.state.Entries, s.hardState, s.batch, s.last = r.entries, r.hardState, r.batch, last
	reset := false
	if snap != nil {
		s.state.Entries, reset = afterSnapshot(r, position{snap.GetIndex(), snap.GetTerm()})
	}
	s.state.HardState = s.hardState
	if err := s.recoverSegments(r); err != nil {
		return err
	}
	if reset {
		return s.reset(position{snap.GetIndex(), snap.GetTerm()})
	}
	return nil
}

// afterSnapshot returns the entries that follow the snapshot, and whether the
// log must be reset. When the log does not contain the snapshot's last entry, a
// crash occurred between installing the snapshot and resetting the log.
func afterSnapshot(r *replay, p position) ([]*wasabistandv1.LogEntry, bool) {
	if p.index == r.base.index {
		return r.entries, false
	}
	if last := r.last(); last.index < p.index || r.entries[p.index-r.base.index-1].GetTerm() != p.term {
		return nil, true
	}
	return r.entries[p.index-r.base.index:], false
}

// State returns the content of the store when it was opened.
func (s *Store) State() State { return s.state }

// ReleaseState releases the memory of the state that State returns, except for
// Torn.
func (s *Store) ReleaseState() { s.state = State{Torn: s.state.Torn} }

// Save appends entries, replacing those from the first one's index on, and
// the hard state unless it is nil, with a single sync. After an error for
// which IsTemporary is true the same call or another one may be made: it first
// repairs what the failed one left. After any other error the store refuses all
// writes.
func (s *Store) Save(h *wasabistandv1.HardState, entries []*wasabistandv1.LogEntry) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	if h == nil && len(entries) == 0 {
		return nil
	}
	if s.active().size >= s.options.segmentBytes {
		if err := s.roll(); err != nil {
			return err
		}
	}
	var err error
	b := s.buffer[:0]
	last, maxIndex := s.last, uint64(0)
	for i, e := range entries {
		if e.GetIndex() == 0 || e.GetIndex() > last.index+1 {
			return s.fail(Error.New("entry %d after entry %d", e.GetIndex(), last.index))
		}
		kind := kindEntry
		if i == len(entries)-1 && h == nil {
			kind |= endOfBatch
		}
		if b, err = appendMessage(b, kind, s.batch+1, e); err != nil {
			return s.fail(err)
		}
		last = position{e.GetIndex(), e.GetTerm()}
		maxIndex = max(maxIndex, e.GetIndex())
	}
	if h != nil {
		if b, err = appendMessage(b, kindHardState|endOfBatch, s.batch+1, h); err != nil {
			return s.fail(err)
		}
	}
	s.buffer = b
	if cap(s.buffer) > 4<<20 {
		s.buffer = nil
	}
	if err := s.write(b); err != nil {
		return err
	}
	g := s.active()
	g.hasData, g.maxIndex, s.last = true, max(g.maxIndex, maxIndex), last
	if h != nil {
		s.hardState = proto.CloneOf(h)
	}
	return nil
}

func appendMessage(b []byte, kind recordKind, batch uint64, m proto.Message) ([]byte, error) {
	return appendRecord(b, kind, batch, func(b []byte) ([]byte, error) {
		return proto.MarshalOptions{}.MarshalAppend(b, m)
	})
}

// Reset discards all entries after a snapshot at index and term was saved whose
// last entry the log does not contain.
func (s *Store) Reset(index, term uint64) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	return s.reset(position{index, term})
}

func (s *Store) reset(p position) error {
	body := binary.LittleEndian.AppendUint64(nil, p.index)
	b, err := appendBytes(nil, kindReset|endOfBatch, s.batch+1, binary.LittleEndian.AppendUint64(body, p.term))
	if err != nil {
		return err
	}
	if err := s.write(b); err != nil {
		return err
	}
	s.last = p
	// The segment must not be removed by a compaction below the new base.
	g := s.active()
	g.hasData, g.maxIndex = true, max(g.maxIndex, p.index)
	return nil
}

// Compact removes the segments that only hold entries up to index. A saved
// snapshot must cover these entries.
func (s *Store) Compact(index uint64) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	// A full disk may have room again only after a removal, so this does not
	// require that the active segment is repaired.
	if err := s.repairFolder(); err != nil {
		return err
	}
	keep := 1
	if s.rolling {
		keep = 2
	}
	return s.removeSegments(index, keep)
}

// removeSegments removes the oldest segments that only hold entries up to index, but
// not the last ones, as many as keep says.
func (s *Store) removeSegments(index uint64, keep int) error {
	for len(s.segments) > keep && s.segments[0].maxIndex <= index {
		if err := remove(s.fs, s.segmentPath(s.segments[0])); err != nil {
			return err
		}
		s.segments, s.unsyncedDir = s.segments[1:], true
		// Sync each removal separately, so that a crash can't leave a gap.
		if err := s.repairFolder(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the files. Later writes fail. What the store reported as written
// is durable even if the disk refuses to take the end mark.
func (s *Store) Close() error {
	err := s.checkUsable()
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return nil
	}
	if err == nil {
		// Damage to a batch is detected only if a later batch follows, so append
		// one.
		if b, err := appendBytes(nil, kindClosed|endOfBatch, s.batch+1, nil); err == nil {
			_ = s.write(b)
		}
	}
	if s.onClose != nil {
		s.onClose()
	}
	s.closeFiles()
	return nil
}

// String returns the name of the implementation.
func (s *Store) String() string { return "segments" }
