package wasabihttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihead"
)

const (
	// readBuffer also bounds the pipelined requests that are read ahead.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// lingerTimeout and lingerBytes bound the discarding of an unread request body,
	// so that the caller can read its response before the connection is closed.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 20 * time.Second
)

var expiredDeadline = time.Unix(1, 0)

// conn is a caller's connection. One goroutine reads requests and watches for the
// caller's disconnect while others respond.
type conn struct {
	server *Server
	raw    net.Conn
	reader *wasabihead.Reader
	writer *bufio.Writer

	mu sync.Mutex
	// openExchanges are the exchanges that have not finished, in the order of their
	// requests.
	openExchanges []*Exchange
	// hasBuffered reports whether bytes of a further request are in the reader.
	hasBuffered bool
	// parsing reports whether a further request is being read while others are open.
	parsing bool
	// waiting reports whether a request was read that waits for earlier ones.
	waiting bool
	// streaming reports whether an open exchange may begin a response that is not
	// complete. No request behind it is served until it has finished.
	streaming bool
	// closing reports whether the connection will be closed after a response that
	// has started.
	closing   bool
	idle      bool
	closeIdle bool
	idleSince time.Time
	// untilIdleTimeout reports whether the reader waits for a request until the idle
	// timeout.
	untilIdleTimeout bool
}

// maxPipelined bounds the requests of a connection that are served concurrently.
const maxPipelined = 8

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, reader: wasabihead.NewReader(raw, readBuffer)}
	c.writer = bufio.NewWriterSize(&deadlineWriter{raw}, writeBuffer)
	return c
}

// deadlineWriter sets a deadline for each write.
type deadlineWriter struct{ net.Conn }

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.raw.Close()
	c.mu.Lock()
	c.idleSince = time.Now()
	c.mu.Unlock()
	var last *Exchange
	for c.awaitRequest(last) {
		x := c.readRequest(last)
		if x == nil || !c.dispatch(x, last) {
			c.finishOpen()
			return
		}
		last = x
		if x.body != nil && !c.awaitBody(x) {
			c.finishOpen()
			return
		}
		switch c.watch(x, true) {
		case callerGone:
			c.finishOpen()
			return
		case exchangeFinished:
			if x.closing {
				if c.shouldLinger(x) {
					c.linger()
				}
				return
			}
		case requestAvailable:
		}
	}
}

// dispatch passes a request to the handler: at once if it may be served
// concurrently with the previous one, otherwise after that has finished. It reports
// false when the connection must be closed.
func (c *conn) dispatch(x, previous *Exchange) bool {
	mustWait := previous != nil && (x.body != nil || !c.server.isPipelinable(x.Request))
	ctx, cancel := context.WithCancelCause(c.server.ctx)
	x.cancel = cancel
	for !c.open(x, previous, mustWait) {
		if c.watch(previous, false) == callerGone {
			cancel(nil)
			return false
		}
		// When the previous exchange finished, it unblocked the reader with an
		// expired deadline.
		_ = c.raw.SetReadDeadline(time.Time{})
		mustWait = false
	}
	if !x.opened {
		cancel(nil)
		return false
	}
	c.server.wait.Go(func() {
		defer cancel(nil)
		c.server.handler(ctx, x)
		x.finish()
	})
	return true
}

// open adds an exchange to the open ones, unless the connection closes after a response
// before it. It returns false if the exchange must wait until the previous one has
// finished.
func (c *conn) open(x, previous *Exchange, mustWait bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parsing = false
	c.waiting = mustWait || c.streaming && !previous.finished
	if c.waiting {
		return false
	}
	if !c.closing {
		c.openExchanges = append(c.openExchanges, x)
		x.opened = true
	}
	return true
}

// departureInterval is how often a connection is asked for its caller's departure while
// a body is not read to its end.
const departureInterval = 100 * time.Millisecond

// awaitBody waits until the body of a request is read to its end, or its exchange has
// finished. It returns false if the caller has disconnected before. The rest of a body may
// stay unread while the request waits, and only the kernel knows of the disconnect behind it.
func (c *conn) awaitBody(x *Exchange) bool {
	t := time.NewTicker(departureInterval)
	defer t.Stop()
	for {
		select {
		case <-x.body.done:
			return true
		case <-x.done:
			return true
		case <-t.C:
			if hasDeparted(c.raw) {
				return false
			}
		}
	}
}

// finishOpen ends the open exchanges of a connection that reads no more requests.
// Responses that the caller may still read are written.
func (c *conn) finishOpen() {
	c.mu.Lock()
	open, closing := append([]*Exchange(nil), c.openExchanges...), c.closing
	c.mu.Unlock()
	for _, x := range open {
		if !closing {
			x.cancel(ErrCallerGone)
		}
		<-x.done
	}
	if closing {
		c.linger()
	}
}

// idleDeadline returns when the idle timeout of the connection ends.
func (c *conn) idleDeadline() time.Time { return c.idleSince.Add(c.server.limits.Load().IdleTimeout) }

// awaitRequest waits for the first byte of a request, at most for the idle timeout.
func (c *conn) awaitRequest(last *Exchange) bool {
	defer c.endIdleTimeout()
	if c.reader.Buffered() > 0 {
		return true
	}
	for {
		c.mu.Lock()
		if c.closeIdle {
			c.mu.Unlock()
			return false
		}
		c.idle = true
		if last == nil || c.hasBuffered {
			_ = c.raw.SetReadDeadline(c.idleDeadline())
		}
		c.untilIdleTimeout = true
		limit := c.idleDeadline()
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(limit) && !time.Now().Before(c.idleDeadline()) {
			return false
		}
		c.mu.Lock()
		_ = c.raw.SetReadDeadline(c.idleDeadline())
		c.mu.Unlock()
	}
}

// endIdleTimeout records that the reader no longer waits until the idle timeout.
func (c *conn) endIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.untilIdleTimeout = false
}

// closeIfIdle closes the connection if no request has started.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle = true
	if c.idle {
		_ = c.raw.SetReadDeadline(expiredDeadline)
	}
}

// applyIdleTimeout applies a changed idle timeout to a connection that is idle already.
func (c *conn) applyIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.untilIdleTimeout && !c.closeIdle {
		_ = c.raw.SetReadDeadline(c.idleDeadline())
	}
}

// readRequest parses the head of a request. It returns nil if the connection failed
// or the request was rejected.
func (c *conn) readRequest(previous *Exchange) *Exchange {
	l := c.server.limits.Load()
	_ = c.raw.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	r, err := c.parseRequest(l.MaxHeaderBytes + readBuffer)
	_ = c.raw.SetReadDeadline(time.Time{})
	x := &Exchange{conn: c, Request: r, Received: time.Now(), done: make(chan struct{})}
	if previous != nil {
		x.previous = previous.done
	}
	switch {
	case err == nil:
	case errors.Is(err, wasabihead.ErrTooLarge):
		x.reject(http.StatusRequestHeaderFieldsTooLarge)
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.reject(http.StatusRequestTimeout)
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return nil
	default:
		x.reject(http.StatusBadRequest)
		return nil
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		x.reject(http.StatusBadRequest)
		return nil
	}
	if headerSize(r) > l.MaxHeaderBytes {
		x.reject(http.StatusRequestHeaderFieldsTooLarge)
		return nil
	}
	if r.ContentLength > l.MaxBodyBytes {
		x.reject(http.StatusRequestEntityTooLarge)
		return nil
	}
	if r.ContentLength != 0 {
		x.body = &requestBody{
			conn: c, reader: r.Body, remaining: l.MaxBodyBytes, done: make(chan struct{}),
			expectContinue: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "100-continue",
		}
	}
	return x
}

// parseRequest reads the head of a request of at most limit bytes, checks and parses it.
func (c *conn) parseRequest(limit int) (*http.Request, error) {
	head, err := c.reader.PeekHead(limit)
	if err != nil {
		return nil, err
	}
	if err := wasabihead.CheckRequest(head); err != nil {
		return nil, err
	}
	return http.ReadRequest(c.reader.Reader)
}

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// headerSize returns the size of a request's head.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for k, list := range r.Header {
		for _, v := range list {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// watchResult is the reason why watch returns.
type watchResult int

const (
	exchangeFinished watchResult = iota
	callerGone
	requestAvailable
)

// watch waits for the end of an exchange, for the caller's disconnect or, if
// readAhead is set, for a further request that may be read. It reads ahead, since
// only the end of the stream shows a disconnect behind pipelined requests.
func (c *conn) watch(x *Exchange, readAhead bool) watchResult {
	for {
		n := c.reader.Buffered()
		c.mu.Lock()
		if x.finished {
			c.mu.Unlock()
			return exchangeFinished
		}
		if n > 0 && readAhead && c.mayReadAhead(x) {
			c.parsing = true
			c.mu.Unlock()
			return requestAvailable
		}
		c.hasBuffered = n > 0
		_ = c.raw.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		if n >= c.reader.Size() || x.body != nil && !x.body.isComplete() {
			<-x.done
			return exchangeFinished
		}
		_, err := c.reader.Peek(n + 1)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		c.mu.Lock()
		finished := x.finished
		c.mu.Unlock()
		if finished {
			return exchangeFinished
		}
		return callerGone
	}
}

// mayReadAhead reports whether a further request may be read while x is open. The
// mutex must be held.
func (c *conn) mayReadAhead(x *Exchange) bool {
	return c.server.pipelined != nil && len(c.openExchanges) < maxPipelined && !c.closing && !c.streaming && !c.server.draining.Load() &&
		!x.Request.Close && x.Request.ProtoAtLeast(1, 1) && (x.body == nil || x.body.isComplete())
}

// shouldLinger reports whether the caller may still be sending when x has ended the
// connection.
func (c *conn) shouldLinger(x *Exchange) bool {
	return x.body != nil && !x.body.isComplete() || c.reader.Buffered() > 0 || c.server.draining.Load()
}

// linger discards what the caller still sends for a short time, since closing with
// unread bytes would reset the connection before the response is read.
func (c *conn) linger() {
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.raw, lingerBytes)
}
