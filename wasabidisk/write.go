package wasabidisk

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
)

// checkUsable returns an error if the store is closed or an earlier write
// failed.
func (s *Store) checkUsable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failed != nil:
		return ErrFailed.New("an earlier write failed: %v", s.failed)
	case s.closed:
		return ErrClosed.New("%s", s.path)
	}
	return nil
}

// fail makes the store refuse all later writes: after a failed sync the kernel
// may have dropped the dirty pages, so a later sync can succeed although the
// data was lost.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
	}
	return ErrFailed.Wrap(err)
}

// write appends one batch to the active segment and syncs it.
func (s *Store) write(b []byte) error {
	if s.unsealed != nil {
		if err := s.sealPrevious(); err != nil {
			return err
		}
	}
	return s.writeTo(s.active, &s.segments[len(s.segments)-1], b)
}

// writeTo appends one batch to a segment and syncs it. When the disk is full,
// it truncates the segment to its previous size.
func (s *Store) writeTo(f File, g *segment, b []byte) error {
	if _, err := f.Write(b); err != nil {
		if !isFull(err) {
			return s.fail(err)
		}
		if truncateErr := f.Truncate(g.size); truncateErr != nil {
			return s.fail(errors.Join(err, truncateErr))
		}
		return ErrFull.Wrap(err)
	}
	if err := f.Sync(); err != nil {
		return s.fail(err)
	}
	g.size += int64(len(b))
	s.batch++
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
	name := filepath.Join(s.path, segmentName(sequence))
	f, err := s.fs.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
	if err != nil {
		return classify(err)
	}
	b, err := s.segmentHeader(sequence)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	old := s.active
	s.active = f
	s.segments = append(s.segments, segment{sequence: sequence})
	if err := s.write(b); err != nil {
		s.segments, s.active = s.segments[:len(s.segments)-1], old
		err = errors.Join(err, f.Close())
		if !ErrFull.Has(err) {
			return err
		}
		if removeErr := s.fs.Remove(name); removeErr != nil {
			return s.fail(errors.Join(err, removeErr))
		}
		return err
	}
	if err := s.fs.SyncDir(s.path); err != nil {
		return s.fail(err)
	}
	return nil
}

// roll starts a new segment. The previous one is sealed only once the new one
// is durable, so a sealed last segment means that files are missing.
func (s *Store) roll() error {
	old := s.active
	if err := s.createSegment(s.segments[len(s.segments)-1].sequence + 1); err != nil {
		return err
	}
	s.unsealed = old
	return s.sealPrevious()
}

// sealPrevious seals the segment before the active one. No other write happens
// until it has succeeded.
func (s *Store) sealPrevious() error {
	previous := s.unsealed
	if err := s.seal(previous, &s.segments[len(s.segments)-2]); err != nil {
		return err
	}
	s.unsealed = nil
	return classify(previous.Close())
}

// seal appends the end mark to a segment.
func (s *Store) seal(f File, g *segment) error {
	b, err := appendBytes(nil, kindSeal|endOfBatch, s.batch, nil)
	if err != nil {
		return err
	}
	// The end mark has the batch number of the next segment's header, so that
	// batch numbers never decrease from one segment to the next.
	s.batch--
	if err := s.writeTo(f, g, b); err != nil {
		s.batch++
		return err
	}
	g.sealed = true
	return nil
}
