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

// MaxRecordBytes is the maximum length of a payload. A greater length is treated
// as corruption.
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
	// batch is the sequence number of the write. A batch is written only after
	// the previous one was synced, so a damaged record that precedes a valid
	// record of a later batch had been durable.
	batch uint64
	// endsBatch is set in the last record of the batch.
	endsBatch bool
	body      []byte
	// size is the encoded length in bytes, including the header.
	size int
}

// appendRecord appends a record to b. appendBody appends the record's body.
func appendRecord(b []byte, kind recordKind, batch uint64, appendBody func([]byte) ([]byte, error)) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, Version, byte(kind))
	b = binary.LittleEndian.AppendUint64(b, batch)
	b, err := appendBody(b)
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

// checksum returns the CRC-32C of length, version and payload. b must hold
// exactly one record.
func checksum(b []byte) uint32 {
	c := crc32.Update(0, castagnoli, b[:4])
	return crc32.Update(c, castagnoli, b[8:])
}

// parseRecord decodes the record at the start of b. ok is false if b does not
// start with a valid record. For a record of a newer version only the size is
// returned, since only length, checksum and version have the same position in
// all versions.
func parseRecord(b []byte) (r record, version uint8, ok bool) {
	if len(b) < headerBytes {
		return record{}, 0, false
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n < payloadBytes || n > MaxRecordBytes || n > len(b)-headerBytes {
		return record{}, 0, false
	}
	encoded := b[:headerBytes+n]
	if checksum(encoded) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, 0, false
	}
	version = encoded[8]
	if version != Version {
		return record{size: len(encoded)}, version, true
	}
	return record{
		kind:      recordKind(encoded[9]) &^ endOfBatch,
		endsBatch: recordKind(encoded[9])&endOfBatch != 0,
		batch:     binary.LittleEndian.Uint64(encoded[10:]),
		body:      encoded[headerBytes+payloadBytes:],
		size:      len(encoded),
	}, version, true
}

// hasLaterBatch reports whether b contains, at any offset, a valid record of a
// batch after the given one.
func hasLaterBatch(b []byte, batch uint64) bool {
	for ; len(b) >= headerBytes+payloadBytes; b = b[1:] {
		// Version and batch are compared first, because that is cheaper than
		// computing the checksum.
		if b[8] != Version || binary.LittleEndian.Uint64(b[10:]) <= batch {
			continue
		}
		if _, _, ok := parseRecord(b); ok {
			return true
		}
	}
	return false
}
