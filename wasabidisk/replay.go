package wasabidisk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

const segmentPrefix = "log-"

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func segmentSequence(name string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok || len(text) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil && n > 0
}

// segment describes one file of the log.
type segment struct {
	sequence uint64
	// file is open for appending, nil when the segment is sealed or must be
	// repaired before the next write.
	file File
	// maxIndex is the highest entry index in the file.
	maxIndex uint64
	// size is the length of the batches that are known to be synced.
	size   int64
	sealed bool
	// hasData is set when records follow the header batch.
	hasData bool
	// torn is set when the file ends in an incomplete batch.
	torn *TornTail
}

// position identifies a log entry.
type position struct{ index, term uint64 }

// replay reconstructs a store's state from its segments.
type replay struct {
	path          string
	group         string
	snapshotIndex uint64 // of the latest snapshot, 0 if there is none
	base          position
	entries       []*wasabistandv1.LogEntry
	hardState     *wasabistandv1.HardState
	batch         uint64
	segments      []segment
}

// last returns the position of the last entry, or the base if there is none.
func (r *replay) last() position {
	if n := len(r.entries); n > 0 {
		return position{r.entries[n-1].GetIndex(), r.entries[n-1].GetTerm()}
	}
	return r.base
}

// offsetRecord is a record with its offset in a file.
type offsetRecord struct {
	record
	offset int
}

// readSegment replays one file. Complete batches are applied in order up to the
// first damaged one. If that may be the remains of a batch that was never
// synced, the log ends there.
func (r *replay) readSegment(sequence uint64, b []byte) error {
	name := filepath.Join(r.path, segmentName(sequence))
	g := segment{sequence: sequence}
	list, end, err := r.scan(name, b)
	if err != nil {
		return err
	}
	for _, c := range list {
		if g.sealed {
			return newCorruptError(name, int64(c.offset), "record after the end mark")
		}
		if err := r.applyRecord(&g, c.record); err != nil {
			if e := new(CorruptError); errors.As(err, &e) {
				e.File, e.Offset = name, int64(c.offset)
			}
			return err
		}
	}
	g.size = int64(end)
	if end < len(b) {
		g.torn = &TornTail{File: name, Offset: int64(end), Bytes: int64(len(b) - end)}
	}
	r.segments = append(r.segments, g)
	return nil
}

// scan returns the records of complete batches and the offset at which the last
// of these batches ends.
func (r *replay) scan(name string, b []byte) (list []offsetRecord, end int, err error) {
	complete, open, batch := 0, false, r.batch
	for offset := 0; offset < len(b); {
		c, version, ok := parseRecord(b[offset:])
		if !ok {
			// The damaged record belongs to the current batch or, if that is
			// complete, to the next one.
			damaged := batch
			if !open {
				damaged++
			}
			if hasLaterBatch(b[offset+1:], damaged) {
				return nil, 0, newCorruptError(name, int64(offset), "checksum does not match, and later records are intact")
			}
			break
		}
		if version > Version {
			return nil, 0, ErrNewerFormat.New("%s at offset %d has format %d: this release reads up to %d", name, offset, version, Version)
		}
		if (offset == 0) != (c.kind == kindHeader) {
			return nil, 0, newCorruptError(name, int64(offset), "record kind %d is out of place", c.kind)
		}
		if c.batch < batch || open && c.batch != batch {
			return nil, 0, newCorruptError(name, int64(offset), "batch %d after batch %d", c.batch, batch)
		}
		list = append(list, offsetRecord{c, offset})
		batch, open = c.batch, !c.endsBatch
		offset += c.size
		if !open {
			r.batch, end, complete = batch, offset, len(list)
		}
	}
	return list[:complete], end, nil
}

func (r *replay) applyRecord(g *segment, c record) error {
	switch c.kind {
	case kindHeader:
		return r.applyHeader(g, c.body)
	case kindEntry:
		g.hasData = true
		e := new(wasabistandv1.LogEntry)
		if err := proto.Unmarshal(c.body, e); err != nil {
			return newCorruptError("", 0, "%v", err)
		}
		g.maxIndex = max(g.maxIndex, e.GetIndex())
		return r.append(e)
	case kindHardState:
		h := new(wasabistandv1.HardState)
		if err := proto.Unmarshal(c.body, h); err != nil {
			return newCorruptError("", 0, "%v", err)
		}
		r.hardState = h
	case kindReset:
		g.hasData = true
		if len(c.body) != 16 {
			return newCorruptError("", 0, "reset of %d bytes", len(c.body))
		}
		r.base = position{binary.LittleEndian.Uint64(c.body), binary.LittleEndian.Uint64(c.body[8:])}
		r.entries = nil
	case kindSeal:
		g.sealed = true
	case kindClosed:
	default:
		return newCorruptError("", 0, "unknown record kind %d", c.kind)
	}
	return nil
}

func (r *replay) applyHeader(g *segment, b []byte) error {
	if len(b) < 24 {
		return newCorruptError("", 0, "header of %d bytes", len(b))
	}
	sequence := binary.LittleEndian.Uint64(b)
	base := position{binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:])}
	if sequence != g.sequence || string(b[24:]) != r.group {
		return newCorruptError("", 0, "header of segment %d of group %q", sequence, b[24:])
	}
	if len(r.segments) == 0 {
		r.base = base
		return nil
	}
	if last := r.last(); last != base {
		return ErrIncomplete.New("%s: segment %d continues index %d of term %d, but index %d of term %d was found",
			r.path, sequence, base.index, base.term, last.index, last.term)
	}
	return nil
}

// append adds an entry, replacing any entries from its index on.
func (r *replay) append(e *wasabistandv1.LogEntry) error {
	i := e.GetIndex()
	switch last := r.last().index; {
	case i == last+1:
		r.entries = append(r.entries, e)
	case i > last+1 || i == 0:
		return newCorruptError("", 0, "entry %d after entry %d", i, last)
	case i > r.base.index:
		r.entries = append(r.entries[:i-r.base.index-1], e)
	case i <= r.snapshotIndex:
		// The segment with the replaced entries was removed by compaction. The
		// snapshot covers both them and this entry.
		r.base, r.entries = position{index: i - 1}, append(r.entries[:0], e)
	default:
		return newCorruptError("", 0, "entry %d replaces entries up to %d that were compacted", i, r.base.index)
	}
	return nil
}
