package wasabidisk

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
)

func (s *Store) usable() error {
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

// fail refuses all later writes: after a failed sync the kernel may have
// dropped the pages, so a later sync that succeeds proves nothing.
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
		if err := s.sealOld(); err != nil {
			return err
		}
	}
	return s.writeTo(s.active, &s.segments[len(s.segments)-1], b)
}

func (s *Store) writeTo(f File, g *segment, b []byte) error {
	if _, err := f.Write(b); err != nil {
		if !isFull(err) {
			return s.fail(err)
		}
		if cut := f.Truncate(g.size); cut != nil {
			return s.fail(errors.Join(err, cut))
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

// header returns the first batch of a segment: where it continues the log,
// and the hard state, so that older segments can be removed.
func (s *Store) header(sequence uint64) ([]byte, error) {
	body := binary.LittleEndian.AppendUint64(nil, sequence)
	body = binary.LittleEndian.AppendUint64(body, s.last.index)
	body = binary.LittleEndian.AppendUint64(body, s.last.term)
	body = append(body, s.group...)
	if s.hard == nil {
		return appendBytes(nil, kindHeader|endOfBatch, s.batch+1, body)
	}
	b, err := appendBytes(nil, kindHeader, s.batch+1, body)
	if err != nil {
		return nil, err
	}
	return appendMessage(b, kindHardState|endOfBatch, s.batch+1, s.hard)
}

// create makes the segment with the given sequence the active one.
func (s *Store) create(sequence uint64) error {
	name := filepath.Join(s.path, segmentName(sequence))
	f, err := s.fs.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
	if err != nil {
		return classify(err)
	}
	b, err := s.header(sequence)
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
		if e := s.fs.Remove(name); e != nil {
			return s.fail(errors.Join(err, e))
		}
		return err
	}
	if err := s.fs.SyncDir(s.path); err != nil {
		return s.fail(err)
	}
	return nil
}

// roll starts a new segment. The old one is sealed only once the new one is
// durable, so a sealed last segment proves that files are missing.
func (s *Store) roll() error {
	old := s.active
	if err := s.create(s.segments[len(s.segments)-1].sequence + 1); err != nil {
		return err
	}
	s.unsealed = old
	return s.sealOld()
}

// sealOld seals the segment before the active one. Nothing else is written
// before it has succeeded.
func (s *Store) sealOld() error {
	old := s.unsealed
	if err := s.seal(old, &s.segments[len(s.segments)-2]); err != nil {
		return err
	}
	s.unsealed = nil
	return classify(old.Close())
}

func (s *Store) seal(f File, g *segment) error {
	b, err := appendBytes(nil, kindSeal|endOfBatch, s.batch, nil)
	if err != nil {
		return err
	}
	// The batch number is that of the next segment's header, so that numbers
	// never fall from one segment to the next.
	s.batch--
	if err := s.writeTo(f, g, b); err != nil {
		s.batch++
		return err
	}
	g.sealed = true
	return nil
}
