package wasabilink

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// maxPooledBytes bounds the buffers returned to the pool, so that one large
// frame does not pin memory there.
const maxPooledBytes = 64 << 10

// Stream carries frames in both directions. One goroutine may receive while
// others send. Close abandons both directions: the peer's Receive returns
// io.EOF.
type Stream struct {
	link      *Link
	raw       *yamux.Stream
	reader    *bufio.Reader
	sendMu    sync.Mutex
	wrote     atomic.Bool
	closeOnce sync.Once
}

// readBufferBytes is enough for the length prefix and a small frame; larger
// frames are read directly. It is small because every call allocates a stream
// at both ends.
const readBufferBytes = 512

func newStream(l *Link, raw *yamux.Stream) *Stream {
	if l.streams.Add(1) == 1 {
		l.activeSince.store(monotonicNow())
	}
	s := &Stream{link: l, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
	l.reads.add(s)
	return s
}

// pendingReads holds the open streams of a link, to end their reads with the link.
type pendingReads struct {
	mu      sync.Mutex
	streams map[*Stream]struct{}
	ended   bool
}

func (p *pendingReads) add(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams == nil {
		p.streams = map[*Stream]struct{}{}
	}
	p.streams[s] = struct{}{}
	if p.ended {
		s.endReads()
	}
}

func (p *pendingReads) remove(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, s)
}

func (p *pendingReads) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for s := range p.streams {
		s.endReads()
	}
}

// endReads makes reads fail once the bytes that have arrived are read.
func (s *Stream) endReads() { _ = s.raw.SetReadDeadline(expired) }

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// Send writes one frame. It blocks while the peer's receive window is full.
func (s *Stream) Send(m proto.Message) error { return s.send(m) }

// send writes several frames in one write.
func (s *Stream) send(list ...proto.Message) error {
	p := bufferPool.Get().(*[]byte)
	b := (*p)[:0]
	var err error
	for _, m := range list {
		size := proto.Size(m)
		if size > s.link.options.maxFrameBytes {
			bufferPool.Put(p)
			return Error.New("frame of %d bytes, at most %d are allowed", size, s.link.options.maxFrameBytes)
		}
		b = binary.AppendUvarint(b, uint64(size))
		if b, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(b, m); err != nil {
			break
		}
	}
	if err == nil {
		s.sendMu.Lock()
		s.wrote.Store(true)
		_, err = s.raw.Write(b)
		s.sendMu.Unlock()
	}
	if cap(b) <= maxPooledBytes {
		*p = b
		bufferPool.Put(p)
	}
	return s.wrap(err)
}

// Receive reads one frame into m. It returns io.EOF when the peer closed the
// stream between frames.
func (s *Stream) Receive(m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: int64(s.link.options.maxFrameBytes)}.UnmarshalFrom(s.reader, m)
	if errors.Is(err, io.EOF) && s.link.Err() == nil {
		return io.EOF
	}
	return s.wrap(err)
}

// SetDeadline sets the deadline of pending and future Send and Receive calls.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// Wrote reports whether a frame may have been sent.
func (s *Stream) Wrote() bool { return s.wrote.Load() }

// Link returns the link that carries the stream.
func (s *Stream) Link() *Link { return s.link }

// Close abandons the stream and notifies the peer at once.
func (s *Stream) Close() error {
	s.close()
	s.link.conn.Flush()
	return nil
}

// Finish closes a stream on which both ends are done. The close is sent with
// the link's next frame.
func (s *Stream) Finish() { s.close() }

func (s *Stream) close() {
	s.closeOnce.Do(func() {
		s.link.streams.Add(-1)
		s.link.reads.remove(s)
		s.link.lastUse.store(monotonicNow())
		_ = s.raw.Close()
	})
}

func (s *Stream) wrap(err error) error {
	if err == nil {
		return nil
	}
	if cause := s.link.Err(); cause != nil {
		return cause
	}
	return Error.Wrap(err)
}
