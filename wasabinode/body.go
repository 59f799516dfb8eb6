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
	errBodyStopped = errors.New("request body is no longer read")
	errBodyLarge   = errors.New("request body is larger than the call's contract allows")
)

// callBody reads a caller's body once and keeps its beginning, so that another
// attempt can send it again.
type callBody struct {
	source  io.Reader
	writer  http.ResponseWriter
	control *http.ResponseController
	idle    time.Duration
	keep    int
	limit   int64 // 0 for no bound
	until   time.Time

	reading sync.Mutex // held while source is read

	mu       sync.Mutex
	reader   *bodyReader
	kept     []byte
	overflow bool // bytes were passed on that are not kept
	consumed int64
	err      error
	stopped  bool
}

// bodyReader is one attempt's view of a body. It is dead once another attempt
// has its own.
type bodyReader struct {
	body *callBody
	at   int64
	dead bool
}

// newCallBody returns nil for a request without a body. The body must arrive
// within the patience, without pauses above the idle timeout.
func newCallBody(w http.ResponseWriter, r *http.Request, s Settings, limit int64, patience time.Duration) *callBody {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	b := &callBody{source: r.Body, writer: w, control: http.NewResponseController(w), idle: s.bodyIdleTimeout, keep: s.replayBytes, limit: limit, until: time.Now().Add(patience + answerGrace)}
	// Without full duplex the server reads the rest of the body before it
	// sends an answer, at the same time as the attempt does.
	_ = b.control.EnableFullDuplex()
	return b
}

// open returns a reader from the start of the body and ends the one before.
// It reports false when the start was not kept.
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
		b.reader.dead = true
	}
	b.reader = &bodyReader{body: b}
	return b.reader, true
}

// replayable reports whether another attempt can send the body.
func (b *callBody) replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflow && (b.err == nil || errors.Is(b.err, io.EOF))
}

// failure returns why the body could not be read, nil for a body that was
// read whole or is still being read.
func (b *callBody) failure() error {
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
// They are kept, so the result must not be changed.
func (b *callBody) prefix(n int) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	b.keep = max(b.keep, n)
	b.mu.Unlock()
	r, _ := b.open()
	p := chunks.Get().(*[]byte)
	defer chunks.Put(p)
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
	return b.kept, nil
}

// stop ends reading and waits until nobody reads. A connection with a body
// that was not read to its end must not carry another request.
func (b *callBody) stop() {
	if b == nil {
		return
	}
	b.mu.Lock()
	started, done := b.reader != nil, errors.Is(b.err, io.EOF)
	b.stopped = true
	if started && !done {
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
	b.mu.Unlock()
	if !started || done {
		return
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	// MaxBytesReader is the documented way to have the server close the
	// connection after the answer, also when the header is already sent.
	_, _ = http.MaxBytesReader(b.writer, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	if n, err, ok := r.fromKept(p); ok {
		return n, err
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	// A reader before this one may have read on meanwhile.
	if n, err, ok := r.fromKept(p); ok {
		return n, err
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed += int64(n)
	switch {
	case len(b.kept)+n <= b.keep || r.dead:
		if !b.overflow {
			b.kept = append(b.kept, p[:n]...)
		}
	default:
		b.overflow = true
	}
	if (err == nil || errors.Is(err, io.EOF)) && b.limit > 0 && b.consumed > b.limit {
		n, err = 0, errBodyLarge
	}
	if err != nil {
		b.err = err
		if err == io.EOF && !b.stopped {
			// The server now waits for the caller to disconnect; the
			// deadline of the last read must not look like that.
			_ = b.control.SetReadDeadline(time.Time{})
		}
	}
	if r.dead {
		return 0, errBodyStopped
	}
	r.at += int64(n)
	return n, err
}

// fromKept reads what was kept, and arms the idle timeout when the source must
// be read instead.
func (r *bodyReader) fromKept(p []byte) (int, error, bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.dead, b.overflow && r.at < b.consumed:
		return 0, errBodyStopped, true
	case r.at < int64(len(b.kept)):
		n := copy(p, b.kept[r.at:])
		r.at += int64(n)
		return n, nil, true
	case b.err != nil:
		return 0, b.err, true
	case b.stopped:
		return 0, errBodyStopped, true
	}
	_ = b.control.SetReadDeadline(earlier(time.Now().Add(b.idle), b.until))
	return 0, nil, false
}

// bodyRefusal tells what a failed body means for its call.
func bodyRefusal(err error, outcome wasabistand.Outcome) *wasabistand.Refusal {
	if errors.Is(err, errBodyLarge) {
		return &wasabistand.Refusal{Outcome: outcome, Reason: wasabistand.ReasonTooLarge, Detail: err.Error()}
	}
	return &wasabistand.Refusal{Outcome: outcome, Reason: wasabistand.ReasonCancelled, Detail: "the request body ended early: " + err.Error()}
}
