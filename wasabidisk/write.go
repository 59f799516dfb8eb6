package wasabidisk

import (
	"encoding/binary"
	"os"
	"path/filepath"
)

// checkUsable returns an error if the store is closed or an earlier call was
// invalid.
func (s *Store) checkUsable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failed != nil:
		return Error.New("an earlier call was invalid: %v", s.failed)
	case s.closed:
		return ErrClosed.New("%s", s.path)
	}
	return nil
}

// fail makes the store refuse all later writes, because the caller's state can't
// be trusted.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
	}
	return err
}

// active returns the segment that batches are appended to.
func (s *Store) active() *segment { return &s.segments[len(s.segments)-1] }

func (s *Store) segmentPath(g segment) string {
	return filepath.Join(s.path, segmentName(g.sequence))
}

// write appends one batch to the active segment and syncs it.
func (s *Store) write(b []byte) error {
	if err := s.repairFolder(); err != nil {
		return err
	}
	if err := s.sealPrevious(); err != nil {
		return err
	}
	return s.writeTo(s.active(), b)
}

// writeTo appends one batch to a segment and syncs it. After an error the segment
// holds an unknown part of the batch, which the next write removes.
func (s *Store) writeTo(g *segment, b []byte) error {
	if err := s.repair(g); err != nil {
		return err
	}
	f, name := g.file, s.segmentPath(*g)
	if _, err := f.Write(b); err != nil {
		closeFile(g)
		return classify(OperationWrite, name, err)
	}
	if err := f.Sync(); err != nil {
		closeFile(g)
		return classify(OperationSync, name, err)
	}
	g.size += int64(len(b))
	s.batch++
	return nil
}

// repair opens a segment for appending if it is not open, and truncates it to its
// synced batches. After a failed sync the kernel may hold data that is not on the
// disk and that no later sync writes, so this data is dropped and written again.
// The truncation is synced first: otherwise a crash could leave a mix of both
// writes.
func (s *Store) repair(g *segment) error {
	if g.file != nil {
		return nil
	}
	name := s.segmentPath(*g)
	f, err := s.fs.OpenFile(name, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return classify(OperationOpen, name, err)
	}
	if err := f.Truncate(g.size); err != nil {
		_ = f.Close()
		return classify(OperationTruncate, name, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return classify(OperationSync, name, err)
	}
	g.file = f
	return nil
}

// closeFile closes a segment's file. Errors are ignored: whatever was reported as
// written is synced, and the rest is written again.
func closeFile(g *segment) {
	if g.file != nil {
		_ = g.file.Close()
		g.file = nil
	}
}

func (s *Store) closeFiles() {
	for i := range s.segments {
		closeFile(&s.segments[i])
	}
}

// repairFolder removes a segment whose creation failed, and makes earlier
// removals durable.
func (s *Store) repairFolder() error {
	if s.orphan != "" {
		if err := remove(s.fs, s.orphan); err != nil {
			return err
		}
		s.orphan, s.unsyncedDir = "", true
	}
	if s.unsyncedDir {
		if err := syncDir(s.fs, s.path); err != nil {
			return err
		}
		s.unsyncedDir = false
	}
	return nil
}

// segmentHeader returns the first batch of a segment. It holds the position of
// the preceding entry and the hard state, so that older segments can be removed.
func (s *Store) segmentHeader(sequence uint64) ([]byte, error) {
	body := binary.LittleEndian.AppendUint64(nil, sequence)
	body = binary.LittleEndian.AppendUint64(body, s.last.index)
	body = binary.LittleEndian.AppendUint64(body, s.last.term)
	body = append(body, s.group...)
	if s.hardState == nil {
		return appendBytes(nil, kindHeader|endOfBatch, s.batch+1, body)
	}
	b, err := appendBytes(nil, kindHeader, s.batch+1, body)
	if err != nil {
		return nil, err
	}
	return appendMessage(b, kindHardState|endOfBatch, s.batch+1, s.hardState)
}

// createSegment creates the segment with the given sequence number and makes it
// the active one.
func (s *Store) createSegment(sequence uint64) error {
	if err := s.repairFolder(); err != nil {
		return err
	}
	b, err := s.segmentHeader(sequence)
	if err != nil {
		return s.fail(err)
	}
	g := segment{sequence: sequence}
	name := s.segmentPath(g)
	s.orphan = name
	if g.file, err = s.fs.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND); err != nil {
		return classify(OperationOpen, name, err)
	}
	if err := s.writeTo(&g, b); err != nil {
		return err
	}
	if err := syncDir(s.fs, s.path); err != nil {
		closeFile(&g)
		s.batch--
		return err
	}
	s.orphan, s.segments = "", append(s.segments, g)
	return nil
}

// roll starts a new segment. The previous one is sealed only once the new one
// is durable, so a sealed last segment means that files are missing.
func (s *Store) roll() error {
	if err := s.sealPrevious(); err != nil {
		return err
	}
	if err := s.createSegment(s.active().sequence + 1); err != nil {
		return err
	}
	s.rolling = true
	return s.sealPrevious()
}

// sealPrevious seals the segment before the active one unless it is sealed. No
// other write happens until it has succeeded.
func (s *Store) sealPrevious() error {
	if !s.rolling {
		return nil
	}
	g := &s.segments[len(s.segments)-2]
	b, err := appendBytes(nil, kindSeal|endOfBatch, s.batch, nil)
	if err != nil {
		return s.fail(err)
	}
	// The end mark has the batch number of the next segment's header, so that
	// batch numbers never decrease from one segment to the next.
	s.batch--
	if err := s.writeTo(g, b); err != nil {
		s.batch++
		return err
	}
	closeFile(g)
	g.sealed, s.rolling = true, false
	return nil
}
