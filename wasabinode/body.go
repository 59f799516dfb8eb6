package wasabinode

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

var (
	errBodyStopped  = errors.New("request body is no longer read")
	errBodyTooLarge = errors.New("request body is larger than the call's contract allows")
)

// callBody reads a request body once and buffers its start, so that a retry can
// send it again.
type callBody struct {
	source      io.Reader
	writer      http.ResponseWriter
	controller  *http.ResponseController
	idleTimeout time.Duration
	replayLimit int
	limit       int64 // 0 for no limit
	deadline    time.Time

	sourceMu sync.Mutex // held while source is read

	mu       sync.Mutex
	reader   *bodyReader
	buffered []byte
	overflow bool // bytes were forwarded that are not buffered
	consumed int64
	err      error
	stopped  bool
}

// bodyReader reads a callBody for one attempt. It is superseded once another
// attempt opens the body.
type bodyReader struct {
	body       *callBody
	offset     int64
	superseded bool
}

// newCallBody returns nil for a request without a body. The body must arrive
// within timeout, without pauses longer than the idle timeout.
func newCallBody(w http.ResponseWriter, r *http.Request, s Settings, limit int64, timeout time.Duration) *callBody {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	b := &callBody{source: r.Body, writer: w, controller: http.NewResponseController(w), idleTimeout: s.bodyIdleTimeout, replayLimit: s.replayBytes, limit: limit, deadline: time.Now().Add(timeout + responseGrace)}
	// Without full duplex the server would read the rest of the body before
	// it sends a response, concurrently with the attempt.
	_ = b.controller.EnableFullDuplex()
	return b
}

// open returns a reader from the start of the body and supersedes the previous
// one. It returns false when the start is no longer buffered.
func (b *callBody) open() (io.Reader, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, false
	}
	if b.reader != nil {
		b.reader.superseded = true
	}
	b.reader = &bodyReader{body: b}
	return b.reader, true
}

// replayable reports whether a retry can send the body again.
func (b *callBody) replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflow && (b.err == nil || errors.Is(b.err, io.EOF))
}

// readErr returns the error that ended reading, nil for a body that was read
// completely or is still being read.
func (b *callBody) readErr() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) || b.stopped {
		return nil
	}
	return b.err
}

// prefix reads and returns the first n bytes, fewer when the body is shorter.
// The result is the internal buffer, so it must not be modified.
func (b *callBody) prefix(n int) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	b.replayLimit = max(b.replayLimit, n)
	b.mu.Unlock()
	r, _ := b.open()
	p := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(p)
	for total := 0; total < n; {
		count, err := r.Read((*p)[:min(n-total, chunkBytes)])
		total += count
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered, nil
}

// stop ends reading and waits for a pending Read. If the body was not read to
// its end, the connection must not be reused for another request.
func (b *callBody) stop() {
	if b == nil {
		return
	}
	b.mu.Lock()
	started, done := b.reader != nil, errors.Is(b.err, io.EOF)
	b.stopped = true
	if started && !done {
		_ = b.controller.SetReadDeadline(time.Unix(1, 0))
	}
	b.mu.Unlock()
	if !started || done {
		return
	}
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	// MaxBytesReader is the documented way to make the server close the
	// connection after the response, even when the header is already sent.
	_, _ = http.MaxBytesReader(b.writer, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	if n, err, ok := r.readBuffered(p); ok {
		return n, err
	}
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	// A superseded reader may have read more in the meantime.
	if n, err, ok := r.readBuffered(p); ok {
		return n, err
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed += int64(n)
	switch {
	case len(b.buffered)+n <= b.replayLimit || r.superseded:
		if !b.overflow {
			b.buffered = append(b.buffered, p[:n]...)
		}
	default:
		b.overflow = true
	}
	if (err == nil || errors.Is(err, io.EOF)) && b.limit > 0 && b.consumed > b.limit {
		n, err = 0, errBodyTooLarge
	}
	if err != nil {
		b.err = err
		if err == io.EOF && !b.stopped {
			// The server now reads to detect that the caller disconnects; the
			// deadline of the last read must not be mistaken for that.
			_ = b.controller.SetReadDeadline(time.Time{})
		}
	}
	if r.superseded {
		return 0, errBodyStopped
	}
	r.offset += int64(n)
	return n, err
}

// readBuffered reads from the buffer. It returns false and sets the read
// deadline for the idle timeout when the source must be read instead.
func (r *bodyReader) readBuffered(p []byte) (int, error, bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.superseded, b.overflow && r.offset < b.consumed:
		return 0, errBodyStopped, true
	case r.offset < int64(len(b.buffered)):
		n := copy(p, b.buffered[r.offset:])
		r.offset += int64(n)
		return n, nil, true
	case b.err != nil:
		return 0, b.err, true
	case b.stopped:
		return 0, errBodyStopped, true
	}
	_ = b.controller.SetReadDeadline(earlier(time.Now().Add(b.idleTimeout), b.deadline))
	return 0, nil, false
}

// bodyRefusal returns the refusal for a call whose body could not be read.
func bodyRefusal(err error, outcome wasabistand.Outcome) *wasabistand.Refusal {
	if errors.Is(err, errBodyTooLarge) {
		return &wasabistand.Refusal{Outcome: outcome, Reason: wasabistand.ReasonTooLarge, Detail: err.Error()}
	}
	return &wasabistand.Refusal{Outcome: outcome, Reason: wasabistand.ReasonCancelled, Detail: "the request body ended early: " + err.Error()}
}
