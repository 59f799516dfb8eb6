package wasabihttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ErrBodyLarge is why a request body ends that is larger than allowed.
var ErrBodyLarge = Error.New("the request body is larger than allowed")

// errNoAnswer is why a connection ends whose request got no answer.
var errNoAnswer = errors.New("no answer was written")

// Exchange is one request with its answer. Its methods are called from the
// handler's goroutine.
type Exchange struct {
	// Request is the parsed head; its body is read through Body.
	Request *http.Request
	// Received is when the head was complete.
	Received time.Time

	conn *conn
	// before is closed once the answer to the request before is written, nil
	// for none.
	before  <-chan struct{}
	body    *requestBody
	cancel  context.CancelCauseFunc
	done    chan struct{}
	over    bool // guarded by conn.mu
	begun   bool
	ended   bool
	chunked bool
	left    int64 // of a body with a length
	closing bool
}

// Body returns the request's body, nil for none.
func (x *Exchange) Body() io.Reader {
	if x.body == nil {
		return nil
	}
	return x.body
}

// Begun reports whether an answer was begun.
func (x *Exchange) Begun() bool { return x.begun }

// Answer writes a whole answer.
func (x *Exchange) Answer(status int, h http.Header, body []byte) error {
	if err := x.Begin(status, h, int64(len(body))); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := x.Write(body); err != nil {
			return err
		}
	}
	return x.End()
}

// Begin writes the head of an answer whose body has a length, -1 for unknown.
// It waits until the request before was answered.
func (x *Exchange) Begin(status int, h http.Header, length int64) error {
	x.await()
	x.begun = true
	r := x.Request
	bodiless := r != nil && r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	x.decideClose(length < 0)
	w := x.conn.writer
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := h.WriteSubset(w, framing); err != nil {
		return x.fail(err)
	}
	switch {
	case status == http.StatusNoContent:
		x.left = 0
	case length >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
		x.left = length
	case r != nil && r.ProtoAtLeast(1, 1):
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
		x.chunked = true
	default:
		x.left = -1
	}
	if bodiless {
		x.left, x.chunked = 0, false
	}
	if x.closing {
		_, _ = w.WriteString("Connection: close\r\n")
	} else if r != nil && !r.ProtoAtLeast(1, 1) {
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
	_, err := w.WriteString("\r\n")
	return x.fail(err)
}

// await waits until the request before was answered.
func (x *Exchange) await() {
	if x.before != nil {
		<-x.before
	}
}

// decideClose decides whether the connection ends with this answer. Requests
// that are served already get their answers first.
func (x *Exchange) decideClose(unbounded bool) {
	c, r := x.conn, x.Request
	c.mu.Lock()
	defer c.mu.Unlock()
	x.closing = x.closing || r == nil || r.Close || unbounded && !r.ProtoAtLeast(1, 1) || x.body != nil && !x.body.ended()
	if c.server.draining.Load() && (len(c.open) == 0 || c.open[len(c.open)-1] == x) {
		x.closing = true
	}
	c.last = c.last || x.closing
}

// framing are the header fields that the writer of a message sets itself.
var framing = map[string]bool{
	"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true,
}

// Write writes a piece of the body.
func (x *Exchange) Write(p []byte) (int, error) {
	if x.Request != nil && x.Request.Method == http.MethodHead || len(p) == 0 {
		return len(p), nil
	}
	w := x.conn.writer
	if x.chunked {
		fmt.Fprintf(w, "%x\r\n", len(p))
		_, _ = w.Write(p)
		_, err := w.WriteString("\r\n")
		return len(p), x.fail(err)
	}
	if x.left >= 0 {
		if int64(len(p)) > x.left {
			return 0, x.fail(Error.New("body of an answer: %d bytes more than its length", int64(len(p))-x.left))
		}
		x.left -= int64(len(p))
	}
	_, err := w.Write(p)
	return len(p), x.fail(err)
}

// Flush sends what was written so far.
func (x *Exchange) Flush() error { return x.fail(x.conn.writer.Flush()) }

// End completes the answer.
func (x *Exchange) End() error {
	if x.chunked {
		_, _ = x.conn.writer.WriteString("0\r\n\r\n")
	} else if x.left > 0 {
		return x.fail(Error.New("body of an answer: %d bytes are missing", x.left))
	}
	x.ended = true
	return x.Flush()
}

// fail ends the connection after an error, so that a short answer never looks
// complete.
func (x *Exchange) fail(err error) error {
	if err != nil {
		x.Abort()
	}
	return err
}

// Abort resets the connection.
func (x *Exchange) Abort() {
	x.ended, x.closing = true, true
	if t, ok := x.conn.raw.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = x.conn.raw.Close()
}

// finish hands the connection back to its reader.
func (x *Exchange) finish() {
	x.await()
	if !x.ended {
		_ = x.fail(errNoAnswer)
	}
	c := x.conn
	c.mu.Lock()
	x.over = true
	c.open = slices.DeleteFunc(c.open, func(o *Exchange) bool { return o == x })
	c.idleSince = time.Now()
	switch {
	case c.parsing || len(c.open) > 0:
		// The reader is at work on a further request.
	case c.ahead || c.turn || c.closeIdle || x.closing:
		_ = c.raw.SetReadDeadline(past)
	default:
		_ = c.raw.SetReadDeadline(c.idleLimit())
	}
	c.mu.Unlock()
	close(x.done)
}

// reject answers a request that could not be read.
func (x *Exchange) reject(status int) {
	x.closing = true
	_ = x.Answer(status, http.Header{}, nil)
	x.conn.linger()
}

// requestBody reads a request's body within its limit.
type requestBody struct {
	conn    *conn
	reader  io.Reader
	left    int64
	expects bool
	once    sync.Once
	done    chan struct{}
	whole   bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expects {
		b.expects = false
		if _, err := b.conn.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	n, err := b.reader.Read(p)
	if b.left -= int64(n); b.left < 0 {
		n, err = 0, ErrBodyLarge
	}
	if err != nil {
		b.whole = err == io.EOF
		b.once.Do(func() { close(b.done) })
	}
	return n, err
}

// ended reports whether the body was read to its end.
func (b *requestBody) ended() bool {
	select {
	case <-b.done:
		return b.whole
	default:
		return false
	}
}

// StopBody ends a pending read of the request's body.
func (x *Exchange) StopBody() { _ = x.conn.raw.SetReadDeadline(past) }
