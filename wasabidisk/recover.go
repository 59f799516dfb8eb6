package wasabidisk

// recoverSegments prepares the last segment for writing and seals the one before
// it if that was not done.
//
// The batches at the end may be those of a failed sync: a process that has ended
// since may have left data that the kernel holds and the disk does not, and that
// no later sync writes. A batch is written only after the previous one was
// synced, so only the last batch of the log and an end mark that no later batch
// follows can be such data. Their segments are written again as new files.
func (s *Store) recoverSegments(r *replay) error {
	s.segments = r.segments
	last := len(s.segments) - 1
	for i, g := range s.segments {
		// The remains of a segment header or of an end mark are no lost batch.
		if g.torn != nil && (i < last || g.size > 0) {
			s.state.Torn = g.torn
		}
	}
	if err := s.rewriteActive(); err != nil {
		return err
	}
	last = len(s.segments) - 1
	if last == 0 || s.segments[last].hasData {
		return nil
	}
	previous := &s.segments[last-1]
	if err := s.rewrite(previous); err != nil {
		return err
	}
	s.rolling = !previous.sealed
	if !s.rolling {
		closeFile(previous)
	}
	return s.sealPrevious()
}

// rewriteActive rewrites the active segment. On a full disk it first removes the
// segments that the snapshot covers, since only an open store compacts its log.
func (s *Store) rewriteActive() error {
	err := s.rewrite(s.active())
	if !ErrFull.Has(err) {
		return err
	}
	keep := 1
	if !s.active().hasData {
		// The segment before it may lack its end mark.
		keep = 2
	}
	// The snapshot's name must be durable before the log that it replaces is removed.
	s.unsyncedDir = true
	if err := s.repairFolder(); err != nil {
		return err
	}
	if err := s.removeSegments(s.state.Snapshot.GetIndex(), keep); err != nil {
		return err
	}
	return s.rewrite(s.active())
}

// rewrite replaces a segment's file by a new one with the same batches, or with a
// new header if it has none, and opens it for appending.
func (s *Store) rewrite(g *segment) error {
	name := s.segmentPath(*g)
	b, err := s.fs.ReadFile(name)
	if err != nil {
		return classify(OperationRead, name, err)
	}
	b = b[:g.size]
	if g.size == 0 {
		if b, err = s.segmentHeader(g.sequence); err != nil {
			return err
		}
	}
	if err := writeFile(s.fs, s.path, segmentName(g.sequence), b); err != nil {
		return err
	}
	if g.size == 0 {
		g.size = int64(len(b))
		s.batch++
	}
	return s.repair(g)
}
