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

// maxPooledBytes keeps one large frame from pinning memory in the pool.
const maxPooledBytes = 64 << 10

// Stream carries frames both ways. One goroutine may receive while others
// send. Closing it abandons both directions: the peer's Receive returns
// io.EOF.
type Stream struct {
	link     *Link
	raw      *yamux.Stream
	reader   *bufio.Reader
	sendMu   sync.Mutex
	wrote    atomic.Bool
	closeOne sync.Once
}

// streamBuffer holds the length of a frame and a small frame; large ones are
// read past it. Each call makes a stream at both ends.
const streamBuffer = 512

func newStream(l *Link, raw *yamux.Stream) *Stream {
	if l.streams.Add(1) == 1 {
		l.usedSince.store(steady())
	}
	return &Stream{link: l, raw: raw, reader: bufio.NewReaderSize(raw, streamBuffer)}
}

// Send writes one frame. It blocks while the peer's window is full.
func (s *Stream) Send(m proto.Message) error { return s.send(m) }

// send writes frames together.
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

// SetDeadline bounds pending and future Send and Receive calls.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// Wrote reports whether a frame may have left this end.
func (s *Stream) Wrote() bool { return s.wrote.Load() }

// Link returns the link that carries the stream.
func (s *Stream) Link() *Link { return s.link }

// Close abandons the stream, and tells the peer at once.
func (s *Stream) Close() error {
	s.close()
	s.link.conn.Flush()
	return nil
}

// Finish closes a stream on which nothing is due any more. The peer learns of
// it with the next frame.
func (s *Stream) Finish() { s.close() }

func (s *Stream) close() {
	s.closeOne.Do(func() {
		s.link.streams.Add(-1)
		s.link.lastUse.store(steady())
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
