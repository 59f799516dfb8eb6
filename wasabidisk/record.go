package wasabidisk

import (
	"encoding/binary"
	"hash/crc32"
)

// Version is the format version of folders and records.
const Version = 1

// A record is: length of the payload (4 bytes), CRC-32C of length, version and
// payload (4 bytes), version (1 byte), payload. The payload is: kind (1 byte,
// with the highest bit set in the last record of a batch), batch (8 bytes),
// body. All numbers are little endian.
const (
	headerBytes  = 9
	payloadBytes = 9
)

// MaxRecordBytes bounds one record, so that a damaged length is not believed.
const MaxRecordBytes = 64 << 20

type recordKind uint8

const (
	kindHeader recordKind = iota + 1
	kindEntry
	kindHardState
	kindReset
	kindSeal
	kindClosed
	kindIdentity
	kindSnapshotMeta
	kindSnapshotState

	endOfBatch recordKind = 0x80
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	kind recordKind
	// batch numbers the writes of a store. A batch is written only after the
	// one before it was synced, so a damaged record before a valid record of
	// a later batch was durable once.
	batch uint64
	// end marks the last record of the batch.
	end  bool
	body []byte
	// size is the length of the whole record.
	size int
}

// appendRecord adds a record whose body is made by fill.
func appendRecord(b []byte, kind recordKind, batch uint64, fill func([]byte) ([]byte, error)) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, Version, byte(kind))
	b = binary.LittleEndian.AppendUint64(b, batch)
	b, err := fill(b)
	if err != nil {
		return b[:start], Error.Wrap(err)
	}
	n := len(b) - start - headerBytes
	if n > MaxRecordBytes {
		return b[:start], Error.New("record of %d bytes: allowed are %d", n, MaxRecordBytes)
	}
	binary.LittleEndian.PutUint32(b[start:], uint32(n))
	binary.LittleEndian.PutUint32(b[start+4:], checksum(b[start:]))
	return b, nil
}

func appendBytes(b []byte, kind recordKind, batch uint64, body []byte) ([]byte, error) {
	return appendRecord(b, kind, batch, func(b []byte) ([]byte, error) { return append(b, body...), nil })
}

// checksum covers length, version and payload of the record that b consists
// of.
func checksum(b []byte) uint32 {
	c := crc32.Update(0, castagnoli, b[:4])
	return crc32.Update(c, castagnoli, b[8:])
}

// parseRecord reads the record at the start of b. ok is false when the bytes
// are not a record. A record of a newer version is returned without its parts,
// since only length, checksum and version keep their places.
func parseRecord(b []byte) (r record, version uint8, ok bool) {
	if len(b) < headerBytes {
		return record{}, 0, false
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n < payloadBytes || n > MaxRecordBytes || n > len(b)-headerBytes {
		return record{}, 0, false
	}
	whole := b[:headerBytes+n]
	if checksum(whole) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, 0, false
	}
	version = whole[8]
	if version != Version {
		return record{size: len(whole)}, version, true
	}
	return record{
		kind:  recordKind(whole[9]) &^ endOfBatch,
		end:   recordKind(whole[9])&endOfBatch != 0,
		batch: binary.LittleEndian.Uint64(whole[10:]),
		body:  whole[headerBytes+payloadBytes:],
		size:  len(whole),
	}, version, true
}

// laterBatch reports whether b contains, at any offset, a valid record of a
// batch after the given one.
func laterBatch(b []byte, batch uint64) bool {
	for ; len(b) >= headerBytes+payloadBytes; b = b[1:] {
		// Version and batch are compared first, because they are cheaper than
		// the checksum.
		if b[8] != Version || binary.LittleEndian.Uint64(b[10:]) <= batch {
			continue
		}
		if _, _, ok := parseRecord(b); ok {
			return true
		}
	}
	return false
}
