package wasabilink

import (
	"encoding/binary"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
)

// Layout of a yamux frame header: version, type, flags, stream, length.
const (
	headerBytes      = 12
	typeOffset       = 1
	typeData         = 0
	typeWindowUpdate = 1
	flagsOffset      = 2
	lengthOffset     = 8
	flagsDeferrable  = flagSYN | flagACK | flagFIN
	flagSYN          = 1
	flagACK          = 2
	flagFIN          = 4
)

const (
	// maxPendingBytes bounds the write buffer. Writers block while it is full,
	// as when the peer does not read.
	maxPendingBytes = 32 << 10
	// minDirectBytes is the smallest frame body that is written without a copy.
	minDirectBytes = 16 << 10
	// maxReusedBytes bounds a write buffer that a busy link reuses, and
	// maxIdleBytes one that an idle link keeps.
	maxReusedBytes = 256 << 10
	maxIdleBytes   = 4 << 10
	// closeYields is how often a closing link yields to its writer.
	closeYields = 4
)

// frameConn coalesces frames that are written at about the same time into one
// system call, and usually one packet. Frames that only open, accept or close a
// stream are held until the next other frame or Flush, because a call follows
// the opening and a response follows the acceptance.
type frameConn struct {
	net.Conn
	// lastRead is when bytes were last received.
	lastRead atomicTime
	closed   atomic.Bool
	// onReadError is called before yamux gets the error of a read.
	onReadError func(error)

	mu             sync.Mutex
	writable       sync.Cond
	pending        []byte
	spare          []byte
	bodyRemaining  int // bytes of the current frame's body not yet written by yamux
	flushRequested bool
	flushing       bool
	err            error
	writers        sync.WaitGroup
}

func newFrameConn(c net.Conn, onReadError func(error)) *frameConn {
	f := &frameConn{Conn: c, onReadError: onReadError}
	f.writable.L = &f.mu
	f.lastRead.store(monotonicNow())
	return f
}

// Read implements net.Conn. On an error it closes the connection before yamux
// shuts the session down, so that the shutdown does not have to wait.
func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.store(monotonicNow())
	}
	if err != nil {
		c.onReadError(err)
		_ = c.Close()
	}
	return n, err
}

// Write buffers a frame's header or body. It blocks while the buffer is full.
// It returns no write errors; the connection's reader reports them. On an error
// from Write, yamux would close the session, and the readers of all streams
// would then spin until its own reader has ended.
func (c *frameConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingBytes && c.err == nil && !c.closed.Load() {
		c.requestFlush()
		c.writable.Wait()
	}
	if c.err != nil || c.closed.Load() {
		return len(p), nil
	}
	if c.bodyRemaining == len(p) && len(p) >= minDirectBytes && !c.flushing {
		c.bodyRemaining = 0
		c.writeDirect(p)
		return len(p), nil
	}
	c.pending = append(c.pending, p...)
	if c.bodyRemaining > 0 {
		c.bodyRemaining = max(c.bodyRemaining-len(p), 0)
		if c.bodyRemaining == 0 {
			c.requestFlush()
		}
		return len(p), nil
	}
	length := 0
	if len(p) == headerBytes {
		length = int(binary.BigEndian.Uint32(p[lengthOffset:]))
	}
	switch {
	case len(p) == headerBytes && p[typeOffset] == typeData && length > 0:
		c.bodyRemaining = length
	case len(p) == headerBytes && p[typeOffset] == typeWindowUpdate && length == 0 && isDeferrable(binary.BigEndian.Uint16(p[flagsOffset:])):
	default:
		c.requestFlush()
	}
	return len(p), nil
}

// isDeferrable reports whether flags only open, accept or close a stream, so
// that the frame may be held until the next one.
func isDeferrable(flags uint16) bool { return flags != 0 && flags&^flagsDeferrable == 0 }

// Flush schedules the pending frames for writing.
func (c *frameConn) Flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 && c.bodyRemaining == 0 && c.err == nil {
		c.requestFlush()
	}
}

// requestFlush requests a write of the pending bytes and starts the writer
// unless it is running. The caller holds the mutex.
func (c *frameConn) requestFlush() {
	c.flushRequested = true
	if c.flushing || c.closed.Load() {
		return
	}
	c.flushing = true
	c.writers.Go(c.writePending)
}

// writeDirect writes the pending bytes followed by the body of a large frame.
// The caller holds the mutex, which is released during the write.
func (c *frameConn) writeDirect(p []byte) {
	c.flushing, c.flushRequested = true, false
	b := c.pending
	c.pending, c.spare = c.spare[:0], nil
	c.mu.Unlock()
	buffers := net.Buffers{b, p}
	_, err := buffers.WriteTo(c.Conn)
	c.mu.Lock()
	c.spare, c.flushing = b[:0], false
	if err != nil {
		c.setError(err)
	} else if c.flushRequested {
		c.requestFlush()
	}
}

// writePending writes until no flush is requested.
func (c *frameConn) writePending() {
	// Yield, so that goroutines that are ready to write add to this flush.
	runtime.Gosched()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.flushRequested && c.err == nil {
		c.flushRequested = false
		b := c.pending
		c.pending, c.spare = c.spare[:0], nil
		c.writable.Broadcast()
		c.mu.Unlock()
		_, err := c.Conn.Write(b)
		c.mu.Lock()
		if cap(b) <= maxReusedBytes {
			c.spare = b[:0]
		}
		if err != nil {
			c.setError(err)
		}
	}
	c.flushing = false
}

// releaseBuffers drops buffers that have grown beyond maxIdleBytes.
func (c *frameConn) releaseBuffers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cap(c.spare) > maxIdleBytes {
		c.spare = nil
	}
	if len(c.pending) == 0 && cap(c.pending) > maxIdleBytes {
		c.pending = nil
	}
}

// setError stops all writing. The caller holds the mutex.
func (c *frameConn) setError(err error) {
	c.err = err
	c.writable.Broadcast()
}

// yieldToWriter lets the writer send frames that were written just before a
// close. It does not wait for the peer.
func (c *frameConn) yieldToWriter() {
	for range closeYields {
		c.mu.Lock()
		flushing := c.flushing
		c.mu.Unlock()
		if !flushing {
			return
		}
		runtime.Gosched()
	}
}

// waitForWriters waits until no writer runs. The connection must be closed.
func (c *frameConn) waitForWriters() {
	// A writer that another goroutine was starting when the connection was closed has
	// started once the mutex is free; later ones see the close.
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	c.writers.Wait()
}

// Close closes the connection. It takes no lock, because the readers of yamux
// streams spin from the shutdown of a session until Close returns. A write in
// progress fails, which wakes the writers that are blocked on it.
func (c *frameConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}
