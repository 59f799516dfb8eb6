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
)

const (
	// readBuffer also bounds the pipelined requests that are read ahead.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// lingerTimeout and lingerBytes bound the reading of a body that nobody
	// wants, so that the caller can read its answer before the close.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 20 * time.Second
)

var (
	errHeaderLarge = Error.New("the headers are larger than allowed")
	past           = time.Unix(1, 0)
)

// conn is one caller's connection. Its goroutine reads requests and watches
// for the caller's departure while another one answers.
type conn struct {
	server *Server
	raw    net.Conn
	head   headReader
	reader *bufio.Reader
	writer *bufio.Writer

	mu sync.Mutex
	// open are the exchanges that are not over, in the order of their requests.
	open []*Exchange
	// ahead says that bytes of a further request wait in the reader.
	ahead bool
	// parsing says that a further request is read while others are open.
	parsing bool
	// turn says that a request was read that waits for those before it.
	turn bool
	// last says that the connection ends with an answer that was begun.
	last      bool
	idle      bool
	closeIdle bool
	idleSince time.Time
}

// maxOpen bounds the pipelined requests of a connection that are served at
// the same time.
const maxOpen = 8

// headReader bounds the bytes read while headers are parsed.
type headReader struct {
	r    io.Reader
	left int
	on   bool
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.on {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeaderLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, head: headReader{r: raw}}
	c.reader = bufio.NewReaderSize(&c.head, readBuffer)
	c.writer = bufio.NewWriterSize(&deadlineWriter{raw}, writeBuffer)
	return c
}

// deadlineWriter bounds each write.
type deadlineWriter struct{ net.Conn }

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
}

func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.raw.Close()
	c.mu.Lock()
	c.idleSince = time.Now()
	c.mu.Unlock()
	var last *Exchange
	for c.await(last) {
		x := c.read(last)
		if x == nil || !c.begin(x, last) {
			c.leave()
			return
		}
		last = x
		if x.body != nil {
			select {
			case <-x.body.done:
			case <-x.done:
			}
		}
		switch c.watch(x, true) {
		case callerGone:
			c.leave()
			return
		case exchangeOver:
			if x.closing {
				if c.lingers(x) {
					c.linger()
				}
				return
			}
		case requestAhead:
		}
	}
}

// begin hands a request to the handler: at once if it may be served beside the
// one before it, else after that. It reports false when the connection ends.
func (c *conn) begin(x, before *Exchange) bool {
	waits := before != nil && (x.body != nil || !c.server.beside(x.Request))
	c.mu.Lock()
	c.parsing, c.turn = false, waits
	c.mu.Unlock()
	if waits {
		if c.watch(before, false) == callerGone {
			return false
		}
		// The end of the exchange before woke the reader by its deadline.
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	ctx, cancel := context.WithCancelCause(c.server.ctx)
	x.cancel = cancel
	c.mu.Lock()
	c.turn = false
	if c.last {
		c.mu.Unlock()
		cancel(nil)
		return false
	}
	c.open = append(c.open, x)
	c.mu.Unlock()
	c.server.wait.Go(func() {
		defer cancel(nil)
		c.server.handler(ctx, x)
		x.finish()
	})
	return true
}

// leave ends the work for a connection that reads no more requests. Answers
// that the caller may still want are written.
func (c *conn) leave() {
	c.mu.Lock()
	open, last := append([]*Exchange(nil), c.open...), c.last
	c.mu.Unlock()
	for _, x := range open {
		if !last {
			x.cancel(ErrCallerGone)
		}
		<-x.done
	}
	if last {
		c.linger()
	}
}

// idleLimit returns when an idle connection ends.
func (c *conn) idleLimit() time.Time { return c.idleSince.Add(c.server.limits.Load().IdleTimeout) }

// await waits for the first byte of a request, for the idle time.
func (c *conn) await(last *Exchange) bool {
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
		if last == nil || c.ahead {
			_ = c.raw.SetReadDeadline(c.idleLimit())
		}
		limit := c.idleLimit()
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(limit) && !time.Now().Before(c.idleLimit()) {
			return false
		}
		c.mu.Lock()
		_ = c.raw.SetReadDeadline(c.idleLimit())
		c.mu.Unlock()
	}
}

// endIdle closes the connection if no request has begun.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle = true
	if c.idle {
		_ = c.raw.SetReadDeadline(past)
	}
}

// read parses the head of a request. It answers one that is not allowed.
func (c *conn) read(before *Exchange) *Exchange {
	l := c.server.limits.Load()
	_ = c.raw.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	c.head.on, c.head.left = true, l.MaxHeaderBytes+readBuffer-c.reader.Buffered()
	r, err := http.ReadRequest(c.reader)
	c.head.on = false
	_ = c.raw.SetReadDeadline(time.Time{})
	x := &Exchange{conn: c, Request: r, Received: time.Now(), done: make(chan struct{})}
	if before != nil {
		x.before = before.done
	}
	switch {
	case err == nil:
	case errors.Is(err, errHeaderLarge):
		x.reject(http.StatusRequestHeaderFieldsTooLarge)
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.reject(http.StatusRequestTimeout)
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNet(err):
		return nil
	default:
		x.reject(http.StatusBadRequest)
		return nil
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		x.reject(http.StatusBadRequest)
		return nil
	}
	if headerBytes(r) > l.MaxHeaderBytes {
		x.reject(http.StatusRequestHeaderFieldsTooLarge)
		return nil
	}
	if r.ContentLength > l.MaxBodyBytes {
		x.reject(http.StatusRequestEntityTooLarge)
		return nil
	}
	if r.ContentLength != 0 {
		x.body = &requestBody{
			conn: c, reader: r.Body, left: l.MaxBodyBytes, done: make(chan struct{}),
			expects: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "100-continue",
		}
	}
	return x
}

func isNet(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// headerBytes is the size of a request's head.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for k, list := range r.Header {
		for _, v := range list {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// event is why the watch over an exchange ends.
type event int

const (
	exchangeOver event = iota
	callerGone
	requestAhead
)

// watch waits for the end of an exchange, for the caller's departure or, if
// wanted, for a further request that may be read. It reads ahead, since only
// the end of the stream tells of a departure behind pipelined requests.
func (c *conn) watch(x *Exchange, further bool) event {
	for {
		n := c.reader.Buffered()
		c.mu.Lock()
		if x.over {
			c.mu.Unlock()
			return exchangeOver
		}
		if n > 0 && further && c.mayReadAhead(x) {
			c.parsing = true
			c.mu.Unlock()
			return requestAhead
		}
		c.ahead = n > 0
		_ = c.raw.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		if n >= c.reader.Size() || x.body != nil && !x.body.ended() {
			<-x.done
			return exchangeOver
		}
		_, err := c.reader.Peek(n + 1)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		c.mu.Lock()
		over := x.over
		c.mu.Unlock()
		if over {
			return exchangeOver
		}
		return callerGone
	}
}

// mayReadAhead reports whether a further request may be read while x is open.
// The mutex is held.
func (c *conn) mayReadAhead(x *Exchange) bool {
	return c.server.pipelined != nil && len(c.open) < maxOpen && !c.last && !c.server.draining.Load() &&
		!x.Request.Close && x.Request.ProtoAtLeast(1, 1) && (x.body == nil || x.body.ended())
}

// lingers reports whether the caller may still send when x has ended the
// connection.
func (c *conn) lingers(x *Exchange) bool {
	return x.body != nil && !x.body.ended() || c.reader.Buffered() > 0 || c.server.draining.Load()
}

// linger reads what the caller still sends for a short time, since closing
// with unread bytes would reset the connection before the answer is read.
func (c *conn) linger() {
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.raw, lingerBytes)
}
