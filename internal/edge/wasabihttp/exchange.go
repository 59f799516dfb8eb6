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

// ErrBodyLarge is returned by reads of a request body that is larger than allowed.
var ErrBodyLarge = Error.New("the request body is larger than allowed")

// errNoResponse ends the connection of a request that got no response.
var errNoResponse = errors.New("no response was written")

// Exchange is one request and its response. Its methods are called from the
// handler's goroutine.
type Exchange struct {
	// Request is the parsed head of the request; its body is read through Body.
	Request *http.Request
	// Received is the time at which the head was complete.
	Received time.Time

	conn *conn
	// previous is closed once the response to the previous request is written, nil
	// if there is none.
	previous  <-chan struct{}
	body      *requestBody
	cancel    context.CancelCauseFunc
	done      chan struct{}
	finished  bool // guarded by conn.mu
	opened    bool // whether the handler was called
	streaming bool
	started   bool
	ended     bool
	chunked   bool
	remaining int64 // bytes left of a response body with a length
	closing   bool
}

// Body returns the request's body, nil if there is none.
func (x *Exchange) Body() io.Reader {
	if x.body == nil {
		return nil
	}
	return x.body
}

// Started reports whether a response has been started.
func (x *Exchange) Started() bool { return x.started }

// Respond writes a complete response.
func (x *Exchange) Respond(status int, h http.Header, body []byte) error {
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

// Begin writes the head of a response with a body of the given length, -1 for
// unknown. It waits until the previous request has its response.
func (x *Exchange) Begin(status int, h http.Header, length int64) error {
	x.awaitPrevious()
	x.started = true
	r := x.Request
	bodiless := r != nil && r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	x.decideClose(length < 0)
	w := x.conn.writer
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := h.WriteSubset(w, framingHeaders); err != nil {
		return x.fail(err)
	}
	switch {
	case status == http.StatusNoContent:
		x.remaining = 0
	case length >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
		x.remaining = length
	case r != nil && r.ProtoAtLeast(1, 1):
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
		x.chunked = true
	default:
		x.remaining = -1
	}
	if bodiless {
		x.remaining, x.chunked = 0, false
	}
	if x.closing {
		_, _ = w.WriteString("Connection: close\r\n")
	} else if r != nil && !r.ProtoAtLeast(1, 1) {
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
	_, err := w.WriteString("\r\n")
	return x.fail(err)
}

// ReserveStream must be called before Begin if the response is not complete yet and may
// break off, which ends the connection. No request behind this one is served from then
// on until it has finished. It returns false if some are served already: they would lose
// their responses. It waits until the previous request has its response.
func (x *Exchange) ReserveStream() bool {
	x.awaitPrevious()
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	x.streaming, c.streaming = true, true
	return c.openExchanges[len(c.openExchanges)-1] == x
}

// awaitPrevious waits until the previous request has its response.
func (x *Exchange) awaitPrevious() {
	if x.previous != nil {
		<-x.previous
	}
}

// decideClose decides whether the connection closes after this response. Requests
// that are already being served get their responses first.
func (x *Exchange) decideClose(unbounded bool) {
	c, r := x.conn, x.Request
	c.mu.Lock()
	defer c.mu.Unlock()
	x.closing = x.closing || r == nil || r.Close || unbounded && !r.ProtoAtLeast(1, 1) || x.body != nil && !x.body.isComplete()
	if c.server.draining.Load() && (len(c.openExchanges) == 0 || c.openExchanges[len(c.openExchanges)-1] == x) {
		x.closing = true
	}
	c.closing = c.closing || x.closing
}

// framingHeaders are the header fields that the writer of a message sets itself.
var framingHeaders = map[string]bool{
	"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true,
}

// Write writes a part of the response body.
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
	if x.remaining >= 0 {
		if int64(len(p)) > x.remaining {
			return 0, x.fail(Error.New("response body: %d bytes more than its declared length", int64(len(p))-x.remaining))
		}
		x.remaining -= int64(len(p))
	}
	_, err := w.Write(p)
	return len(p), x.fail(err)
}

// Flush sends the buffered part of the response.
func (x *Exchange) Flush() error { return x.fail(x.conn.writer.Flush()) }

// End completes the response.
func (x *Exchange) End() error {
	if x.chunked {
		_, _ = x.conn.writer.WriteString("0\r\n\r\n")
	} else if x.remaining > 0 {
		return x.fail(Error.New("response body: %d bytes less than its declared length", x.remaining))
	}
	x.ended = true
	return x.Flush()
}

// fail closes the connection after an error, so that a truncated response never
// looks complete.
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

// finish marks the exchange as finished and unblocks the connection's reader.
func (x *Exchange) finish() {
	x.awaitPrevious()
	if !x.ended {
		_ = x.fail(errNoResponse)
	}
	c := x.conn
	c.mu.Lock()
	x.finished = true
	if x.streaming {
		c.streaming = false
	}
	c.openExchanges = slices.DeleteFunc(c.openExchanges, func(o *Exchange) bool { return o == x })
	c.idleSince = time.Now()
	switch {
	case c.parsing || len(c.openExchanges) > 0:
		// The reader is busy with a further request.
	case c.hasBuffered || c.waiting || c.closeIdle || x.closing:
		_ = c.raw.SetReadDeadline(expiredDeadline)
	default:
		_ = c.raw.SetReadDeadline(c.idleDeadline())
		c.untilIdleTimeout = true
	}
	c.mu.Unlock()
	close(x.done)
}

// reject refuses a request that is malformed or exceeds a limit, and ends the
// connection.
func (x *Exchange) reject(status int) {
	x.closing = true
	_ = x.Respond(status, http.Header{}, nil)
	x.conn.linger()
}

// requestBody reads a request's body up to its limit.
type requestBody struct {
	conn           *conn
	reader         io.Reader
	remaining      int64
	expectContinue bool
	once           sync.Once
	done           chan struct{}
	complete       bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expectContinue {
		b.expectContinue = false
		if _, err := b.conn.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	n, err := b.reader.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		n, err = 0, ErrBodyLarge
	}
	if err != nil {
		b.once.Do(func() {
			b.complete = err == io.EOF
			close(b.done)
		})
	}
	return n, err
}

// isComplete reports whether the body was read to its end.
func (b *requestBody) isComplete() bool {
	select {
	case <-b.done:
		return b.complete
	default:
		return false
	}
}

// StopBody aborts a pending read of the request's body.
func (x *Exchange) StopBody() { _ = x.conn.raw.SetReadDeadline(expiredDeadline) }
