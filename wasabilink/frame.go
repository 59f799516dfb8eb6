package wasabilink

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags, stream, length.
const (
	headerBytes  = 12
	typeOffset   = 1
	typeData     = 0
	lengthOffset = 8
)

// frameConn sends a frame's header and body by one system call. yamux writes
// them apart, which without Nagle's algorithm costs two calls and two packets
// for each frame. yamux writes from one goroutine.
type frameConn struct {
	net.Conn
	header [headerBytes]byte
	held   bool
	parts  [2][]byte
}

func newFrameConn(c net.Conn) *frameConn { return &frameConn{Conn: c} }

// Write holds back the header of a frame that has a body until the body comes.
func (c *frameConn) Write(p []byte) (int, error) {
	if !c.held {
		if len(p) == headerBytes && p[typeOffset] == typeData && binary.BigEndian.Uint32(p[lengthOffset:]) > 0 {
			copy(c.header[:], p)
			c.held = true
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	c.held = false
	c.parts = [2][]byte{c.header[:], p}
	buffers := net.Buffers(c.parts[:])
	n, err := buffers.WriteTo(c.Conn)
	return max(int(n)-headerBytes, 0), err
}
