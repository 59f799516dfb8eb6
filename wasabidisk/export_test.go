package wasabidisk

import "encoding/binary"

// NewerFormat sets the first record of a file to the next format version.
func NewerFormat(b []byte) []byte {
	n := headerBytes + int(binary.LittleEndian.Uint32(b))
	b[8] = Version + 1
	binary.LittleEndian.PutUint32(b[4:], checksum(b[:n]))
	return b
}
